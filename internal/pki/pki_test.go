package pki

import (
	"crypto/tls"
	"net"
	"testing"
	"time"
)

func newDir(t *testing.T) (string, *Authority) {
	t.Helper()
	dir := t.TempDir()
	a, err := NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Save(dir); err != nil {
		t.Fatal(err)
	}
	a, err = LoadAuthority(dir)
	if err != nil {
		t.Fatal(err)
	}
	return dir, a
}

func issue(t *testing.T, a *Authority, dir, name string, role Role) Files {
	t.Helper()
	files, err := a.IssueTo(dir, name, role, []string{"127.0.0.1", "localhost"}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// handshake returns the server's name and the errors of both ends. It uses a
// socket, because both ends may write at the same time, which blocks a pipe.
func handshake(server, client *tls.Config) (string, error, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err, err
	}
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = tls.Server(conn, server).Handshake()
			conn.Close()
		}
		done <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return "", err, err
	}
	defer conn.Close()
	c := tls.Client(conn, client)
	clientErr := c.Handshake()
	if clientErr != nil {
		conn.Close()
	}
	name := ""
	if certs := c.ConnectionState().PeerCertificates; len(certs) > 0 {
		name = certs[0].Subject.CommonName
	}
	return name, <-done, clientErr
}

// Guards against a peer that is let in with a certificate of another role or
// of another installation's authority, at either end.
func TestRolesAndAuthorities(t *testing.T) {
	dir, authority := newDir(t)
	otherDir, other := newDir(t)
	entry := issue(t, authority, dir, "e1", RoleEntry)
	agent := issue(t, authority, dir, "a1", RoleAgent)
	caller := issue(t, authority, dir, "shop", RoleCaller)
	foreign := issue(t, other, otherDir, "a1", RoleAgent)
	mixed := Files{CA: entry.CA, Cert: foreign.Cert, Key: foreign.Key}
	for _, c := range []struct {
		name           string
		server, client Files
		wantServer     bool
		wantClient     bool
	}{
		{"agent to entry", entry, agent, true, true},
		{"caller in place of agent", entry, caller, false, true},
		{"agent in place of entry", agent, agent, true, false},
		{"client of another authority", entry, mixed, false, true},
		{"server of another authority", mixed, agent, true, false},
		{"caller's certificate used by a server", caller, agent, true, false},
	} {
		server, err := ServerConfig(c.server, RoleAgent)
		if err != nil {
			t.Fatal(err)
		}
		client, err := ClientConfig(c.client, RoleEntry)
		if err != nil {
			t.Fatal(err)
		}
		client.ServerName = "localhost"
		_, serverErr, clientErr := handshake(server, client)
		serverOK := serverErr == nil || !c.wantClient // a refusal by the client ends the server's handshake too
		if serverOK != c.wantServer || (clientErr == nil) != c.wantClient {
			t.Errorf("%s: server %v, client %v", c.name, serverErr, clientErr)
		}
	}
}

// Guards against a client without a certificate where one is required, one with
// an expired certificate, and a client by token that is not let in.
func TestClientCertificates(t *testing.T) {
	dir, authority := newDir(t)
	entry := issue(t, authority, dir, "e1", RoleEntry)
	expired, err := authority.IssueTo(dir, "old", RoleCaller, nil, time.Nanosecond)
	if err != nil {
		t.Fatal(err)
	}
	required, _ := ServerConfig(entry, RoleCaller)
	optional, _ := OptionalCertServerConfig(entry, RoleCaller)
	late, _ := ClientConfig(expired, RoleEntry)
	bare, _ := ClientConfig(entry, RoleEntry)
	bare.GetClientCertificate = nil
	for _, c := range []struct {
		name           string
		server, client *tls.Config
		want           bool
	}{
		{"required, none", required, bare, false},
		{"required, expired", required, late, false},
		{"optional, none", optional, bare, true},
		{"optional, expired", optional, late, false},
	} {
		if _, err, _ := handshake(c.server.Clone(), c.client); (err == nil) != c.want {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// Guards against a DNS name that the server's certificate does not hold.
func TestServerNameIsVerified(t *testing.T) {
	dir, authority := newDir(t)
	entry := issue(t, authority, dir, "e1", RoleEntry)
	server, _ := ServerConfig(entry, RoleEntry)
	client, _ := ClientConfig(entry, RoleEntry)
	client.ServerName = "elsewhere.example"
	if _, _, err := handshake(server, client); err == nil {
		t.Error("a server with another name was accepted")
	}
}

// Guards against a renewed certificate that is used only after a restart, and
// against an outage because of a half-finished renewal.
func TestReload(t *testing.T) {
	dir, authority := newDir(t)
	entry := issue(t, authority, dir, "e1", RoleEntry)
	agent := issue(t, authority, dir, "a1", RoleAgent)
	server, err := ServerConfig(entry, RoleAgent)
	if err != nil {
		t.Fatal(err)
	}
	client, err := ClientConfig(agent, RoleEntry)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		change func() error
		want   string
	}{
		{func() error { return nil }, "e1"},
		{func() error { return writeFile(entry.Key, []byte("half"), 0o600) }, "e1"},
		{func() error {
			cert, key, err := authority.Issue("e2", RoleEntry, nil, time.Hour)
			if err == nil {
				err = writeFile(entry.Key, key, 0o600)
			}
			if err == nil {
				err = writeFile(entry.Cert, cert, 0o644)
			}
			return err
		}, "e2"},
	} {
		if err := step.change(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(checkInterval + 50*time.Millisecond)
		name, serverErr, clientErr := handshake(server, client)
		if name != step.want || serverErr != nil || clientErr != nil {
			t.Errorf("got %q, want %q (server %v, client %v)", name, step.want, serverErr, clientErr)
		}
	}
}

// Guards against renewal that loses names, roles or addresses, or that leaves
// out a certificate that is about to expire.
func TestRenew(t *testing.T) {
	dir, authority := newDir(t)
	issue(t, authority, dir, "e1", RoleEntry)
	before, _ := ListCertificates(dir)
	if renewed, err := authority.Renew(dir, time.Now(), false); err != nil || len(renewed) != 0 {
		t.Errorf("renewed %v, %v before it was due", renewed, err)
	}
	if renewed, err := authority.Renew(dir, time.Now().Add(50*time.Minute), false); err != nil || len(renewed) != 1 {
		t.Errorf("renewed %v, %v when it was due", renewed, err)
	}
	after, err := ListCertificates(dir)
	if err != nil || len(after) != 1 || after[0].Identity != before[0].Identity || len(after[0].Addresses) != 2 {
		t.Errorf("after renewal: %+v, %v", after, err)
	}
}
