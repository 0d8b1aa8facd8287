package auth

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/pki"
)

func certificate(t *testing.T, authority *pki.Authority, name string, role pki.Role) *tls.ConnectionState {
	t.Helper()
	certPEM, _, err := authority.Issue(name, role, nil, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	block, _ := pem.Decode(certPEM)
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.ConnectionState{PeerCertificates: []*x509.Certificate{cert}}
}

// Guards against requests that pass without proof, callers that act as
// operators and the reverse, viewers that drain, and a dev header in production.
func TestMiddleware(t *testing.T) {
	authority, err := pki.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	c := config.Default()
	c.Callers = map[string]config.Caller{"shop": {Weight: 1, Tokens: []config.TokenHash{config.HashToken("old"), config.HashToken("shop-token")}}}
	c.Operators = map[string]config.Operator{
		"ann": {Role: config.RoleOperator, Tokens: []config.TokenHash{config.HashToken("ann-token")}},
		"bob": {Role: config.RoleViewer, Tokens: []config.TokenHash{config.HashToken("bob-token")}},
	}
	var none *config.Config
	for _, k := range []struct {
		name                            string
		config                          *config.Config
		dev                             bool
		tls                             *tls.ConnectionState
		token, header                   string
		wantCaller, wantView, wantDrain int
	}{
		{"nothing", c, false, nil, "", "", 401, 401, 401},
		{"unknown token", c, false, nil, "Bearer x", "", 401, 401, 401},
		{"empty token", c, false, nil, "Bearer ", "", 401, 401, 401},
		{"other scheme", c, false, nil, "Basic shop-token", "", 401, 401, 401},
		{"caller's token", c, false, nil, "Bearer shop-token", "", 200, 401, 401},
		{"caller's older token", c, false, nil, "bearer old", "", 200, 401, 401},
		{"operator's token", c, false, nil, "Bearer ann-token", "", 401, 200, 200},
		{"viewer's token", c, false, nil, "Bearer bob-token", "", 401, 200, 403},
		{"caller's certificate", c, false, certificate(t, authority, "shop", pki.RoleCaller), "", "", 200, 403, 403},
		{"caller's certificate with an operator's token", c, false, certificate(t, authority, "shop", pki.RoleCaller), "Bearer ann-token", "", 200, 403, 403},
		{"unknown caller's certificate", c, false, certificate(t, authority, "stall", pki.RoleCaller), "", "", 403, 403, 403},
		{"operator's certificate", c, false, certificate(t, authority, "ann", pki.RoleOperator), "", "", 403, 200, 200},
		{"unknown operator's certificate", c, false, certificate(t, authority, "eve", pki.RoleOperator), "", "", 403, 200, 403},
		{"agent's certificate", c, false, certificate(t, authority, "a1", pki.RoleAgent), "", "shop", 403, 403, 403},
		{"header in production", c, false, nil, "", "shop", 401, 401, 401},
		{"header in dev mode", c, true, nil, "", "shop", 200, 401, 401},
		{"unknown header in dev mode", c, true, nil, "", "stall", 403, 401, 401},
		{"any caller in dev mode", config.Default(), true, nil, "", "stall", 200, 401, 401},
		{"name of the default settings", config.Default(), true, nil, "", "*", 403, 401, 401},
		{"no configuration", none, true, nil, "", "shop", 503, 401, 401},
		{"no configuration, operator", none, false, certificate(t, authority, "ann", pki.RoleOperator), "", "", 503, 200, 403},
	} {
		a := &Authenticator{CurrentConfig: func() *config.Config { return k.config }, Dev: k.dev}
		refuse := func(w http.ResponseWriter, _ *http.Request, status int, err error) {
			http.Error(w, err.Error(), status)
		}
		end := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			caller, isCaller := CallerOf(r.Context())
			operator, isOperator := OperatorOf(r.Context())
			if isCaller == isOperator || caller.Name+operator.Name == "" {
				t.Errorf("%s: caller %v, operator %v", k.name, caller, operator)
			}
		})
		for want, h := range map[*int]http.Handler{
			&k.wantCaller: a.RequireCaller(refuse)(end),
			&k.wantView:   a.RequireOperator(config.RoleViewer, refuse)(end),
			&k.wantDrain:  a.RequireOperator(config.RoleOperator, refuse)(end),
		} {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.TLS = k.tls
			r.Header.Set("Authorization", k.token)
			r.Header.Set(CallerHeader, k.header)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			if w.Code != *want {
				t.Errorf("%s: status %d, want %d: %s", k.name, w.Code, *want, w.Body)
			}
			if challenge := w.Header().Get("WWW-Authenticate"); (w.Code == 401) != (challenge == "Bearer") {
				t.Errorf("%s: status %d with challenge %q", k.name, w.Code, challenge)
			}
		}
	}
}
