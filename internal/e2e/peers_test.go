package e2e

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/damasklb/damasklb/internal/agent"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/rig"
	"github.com/damasklb/damasklb/internal/transport"
	"github.com/damasklb/damasklb/internal/wire"
)

// Guards against ports that accept peers without the certificate that they
// require, or with one of another role or authority.
func TestUnauthenticatedPeersAreRefused(t *testing.T) {
	r := start(t, func(o *rig.Options) { o.Entries, o.Agents, o.TLS = 1, 1, true })
	otherAuthority, err := pki.NewAuthority("stranger")
	must(t, err)
	otherKeys := t.TempDir()
	must(t, otherAuthority.Save(otherKeys))
	otherAgent, err := otherAuthority.IssueTo(otherKeys, "w1", pki.RoleAgent, []string{"127.0.0.1"}, time.Hour)
	must(t, err)
	otherCaller, err := otherAuthority.IssueTo(otherKeys, "c1", pki.RoleCaller, []string{"127.0.0.1"}, time.Hour)
	must(t, err)
	caller, err := r.Issue("c1", pki.RoleCaller)
	must(t, err)
	operator, err := r.Issue("o1", pki.RoleOperator)
	must(t, err)
	agentFiles := pki.FilesOf(r.KeyDir, pki.RoleAgent, "w1")

	t.Run("link port", func(t *testing.T) {
		for _, c := range []struct {
			name     string
			files    *pki.Files
			role     wire.Role
			accepted bool
		}{
			{"no certificate", nil, wire.RoleAgent, false},
			{"caller's certificate", &caller, wire.RoleAgent, false},
			{"operator's certificate", &operator, wire.RoleAgent, false},
			{"certificate of another authority", &otherAgent, wire.RoleAgent, false},
			{"agent that claims to be an entry", &agentFiles, wire.RoleEntry, false},
			{"agent", &agentFiles, wire.RoleAgent, true},
		} {
			if accepted := exchangeHello(t, r.Entries[0].LinkAddress, c.files, c.role); accepted != c.accepted {
				t.Errorf("%s: accepted %v", c.name, accepted)
			}
		}
	})
	t.Run("HTTP port", func(t *testing.T) {
		url := r.URLs()[0]
		for _, c := range []struct {
			name   string
			url    string
			files  *pki.Files
			status int // 0: the connection is refused
		}{
			{"no certificate", url, nil, 401},
			{"agent's certificate", url, &agentFiles, 0},
			{"certificate of another authority", url, &otherCaller, 0},
			{"operator as caller", url, &operator, 403},
			{"plain HTTP", strings.Replace(url, "https", "http", 1), nil, 400},
			{"caller", url, &caller, 200},
		} {
			if status := post(t, c.url, c.files); status != c.status {
				t.Errorf("%s: status %d, not %d", c.name, status, c.status)
			}
		}
	})
	if n := len(r.StartCounts()); n != 1 {
		t.Errorf("%d tasks have started, not only that of the caller", n)
	}
}

// clientTLS returns a configuration that verifies no server certificate, as an
// unauthorized client would use.
func clientTLS(t *testing.T, files *pki.Files) *tls.Config {
	t.Helper()
	c := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13, NextProtos: []string{transport.Protocol}}
	if files != nil {
		pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		must(t, err)
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	}
	return c
}

// exchangeHello reports whether the entry answers a Hello and keeps the
// connection open.
func exchangeHello(t *testing.T, address string, files *pki.Files, role wire.Role) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, address, clientTLS(t, files), nil)
	if err != nil {
		return false
	}
	defer func() { _ = conn.CloseWithError(0, "") }()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return false
	}
	frame, err := wire.Encode(&wire.Hello{Version: wire.ProtocolVersion, Role: role, ID: "intruder", Incarnation: "i"})
	must(t, err)
	if _, err := stream.Write(frame); err != nil {
		return false
	}
	ping, err := wire.Encode(&wire.Ping{Seq: 1})
	must(t, err)
	if _, err := stream.Write(ping); err != nil {
		return false
	}
	must(t, stream.SetReadDeadline(time.Now().Add(3*time.Second)))
	m, err := wire.Read(stream)
	if err != nil {
		return false
	}
	_, hello := m.(*wire.Hello)
	// A peer that is refused after its Hello receives no second message.
	_, err = wire.Read(stream)
	return hello && err == nil
}

// post submits a job with a caller's header, which only dev mode evaluates, and
// returns the status, or 0 if the request failed.
func post(t *testing.T, url string, files *pki.Files) int {
	t.Helper()
	config := clientTLS(t, files)
	config.NextProtos = nil
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, url+"/v1/jobs", strings.NewReader(jobBody(1, 0, time.Second)))
	must(t, err)
	req.Header.Set("Idempotency-Key", "k")
	req.Header.Set("Damasklb-Caller", "c1")
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	t.Logf("status %d %.200s", resp.StatusCode, body)
	return resp.StatusCode
}

// Guards against an announcement port that other hosts can reach, since it has no
// authentication.
func TestAnnouncePortIsOnLoopback(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", ":0", "[::]:0"} {
		a, err := agent.Start(agent.Options{AnnounceListen: address, LinkListen: "127.0.0.1:0", LinkClientTLS: &tls.Config{}})
		if err == nil {
			a.Kill()
			t.Errorf("%s was accepted", address)
		}
	}
}
