package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/auth"
	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/pki"
	"github.com/damasklb/damasklb/internal/status"
)

// Guards against an operator interface that ctl cannot reach by certificate,
// that lets a caller's certificate in, or that a false entry can stand in for.
func TestStatusByCertificate(t *testing.T) {
	dir := t.TempDir()
	authority, err := pki.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	if err := authority.Save(dir); err != nil {
		t.Fatal(err)
	}
	files := map[pki.Role]pki.Files{}
	for _, role := range pki.Roles() {
		if files[role], err = authority.IssueTo(dir, "x", role, []string{"127.0.0.1"}, time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	a := &auth.Authenticator{CurrentConfig: config.Default}
	refuse := func(w http.ResponseWriter, _ *http.Request, status int, err error) {
		http.Error(w, err.Error(), status)
	}
	handler := a.RequireOperator(config.RoleViewer, refuse)(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status.Report{Entry: "entry-1"})
	}))
	for _, c := range []struct {
		server, client pki.Role
		want           int
		message        string
	}{
		{pki.RoleEntry, pki.RoleOperator, ExitDone, "reported by entry entry-1"},
		{pki.RoleEntry, pki.RoleCaller, ExitFailed, "status 403"},
		{pki.RoleAgent, pki.RoleOperator, ExitFailed, `has role agent, allowed are [entry]`},
	} {
		server := httptest.NewUnstartedServer(handler)
		config, err := pki.OptionalCertServerConfig(files[c.server], pki.RoleOperator, pki.RoleCaller)
		if err != nil {
			t.Fatal(err)
		}
		server.Listener = tls.NewListener(server.Listener, config)
		server.Config.ErrorLog = log.New(io.Discard, "", 0)
		server.Start()
		var out bytes.Buffer
		f := files[c.client]
		code := Run(context.Background(), []string{"ctl", "status", "--entry-url", "https://" + server.Listener.Addr().String(),
			"--tls-ca", f.CA, "--tls-cert", f.Cert, "--tls-key", f.Key}, Env{Stdout: &out, Stderr: &out})
		if code != c.want || !strings.Contains(out.String(), c.message) {
			t.Errorf("%s at %s: exit code %d, %s", c.client, c.server, code, out.String())
		}
		server.Close()
	}
}
