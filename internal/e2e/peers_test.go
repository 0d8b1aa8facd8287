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

// Guards against peers that reach a port without the certificate that the port
// asks for, or with one for another role.
func TestUnauthenticatedPeersAreRefused(t *testing.T) {
	r := start(t, func(o *rig.Options) { o.Entries, o.Agents, o.TLS = 1, 1, true })
	stranger, err := pki.NewAuthority("stranger")
	must(t, err)
	strangers := t.TempDir()
	must(t, stranger.Save(strangers))
	foreign, err := stranger.IssueTo(strangers, "w1", pki.RoleAgent, []string{"127.0.0.1"}, time.Hour)
	must(t, err)
	foreignCaller, err := stranger.IssueTo(strangers, "c1", pki.RoleCaller, []string{"127.0.0.1"}, time.Hour)
	must(t, err)
	caller, err := r.Issue("c1", pki.RoleCaller)
	must(t, err)
	operator, err := r.Issue("o1", pki.RoleOperator)
	must(t, err)
	worker := pki.FilesOf(r.KeyDir, pki.RoleAgent, "w1")

	t.Run("link port", func(t *testing.T) {
		for _, c := range []struct {
			name    string
			files   *pki.Files
			role    wire.Role
			greeted bool
		}{
			{"no certificate", nil, wire.RoleAgent, false},
			{"caller's certificate", &caller, wire.RoleAgent, false},
			{"operator's certificate", &operator, wire.RoleAgent, false},
			{"certificate of another authority", &foreign, wire.RoleAgent, false},
			{"agent that claims to be an entry", &worker, wire.RoleEntry, false},
			{"agent", &worker, wire.RoleAgent, true},
		} {
			if greeted := greet(t, r.Entries[0].LinkAddress, c.files, c.role); greeted != c.greeted {
				t.Errorf("%s: greeted %v", c.name, greeted)
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
			{"agent's certificate", url, &worker, 0},
			{"certificate of another authority", url, &foreignCaller, 0},
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

// clientTLS trusts any server, as an intruder would.
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

// greet reports whether the entry answers a greeting.
func greet(t *testing.T, address string, files *pki.Files, role wire.Role) bool {
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
	// A peer that is refused after its greeting gets nothing more.
	_, err = wire.Read(stream)
	return hello && err == nil
}

// post submits a job with a caller's header, which counts in dev mode only, and
// returns the status.
func post(t *testing.T, url string, files *pki.Files) int {
	t.Helper()
	config := clientTLS(t, files)
	config.NextProtos = nil
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, url+"/v1/jobs", strings.NewReader(jobOf(1, 0, time.Second)))
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

// Guards against an announce port, which has no authentication, that other hosts
// can reach.
func TestAnnouncePortIsOnLoopback(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", ":0", "[::]:0"} {
		a, err := agent.Start(agent.Options{AnnounceListen: address, LinkListen: "127.0.0.1:0", LinkClientTLS: &tls.Config{}})
		if err == nil {
			a.Kill()
			t.Errorf("%s was accepted", address)
		}
	}
}
