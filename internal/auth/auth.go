// Package auth finds out who sends an HTTP request: a caller or an operator, by
// client certificate or by bearer token. Callers and operators are kept apart:
// neither can act as the other.
package auth

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/damasklb/damasklb/internal/config"
	"github.com/damasklb/damasklb/internal/fault"
	"github.com/damasklb/damasklb/internal/pki"
)

// CallerHeader names the caller in dev mode.
const CallerHeader = "Damasklb-Caller"

// Caller is an authenticated caller. Its settings are those in force when the
// request arrived.
type Caller struct {
	Name     string
	Settings config.Caller
}

// Operator is an authenticated operator.
type Operator struct {
	Name string
	Role config.OperatorRole
}

// May reports whether the operator may do what needs a role.
func (o Operator) May(role config.OperatorRole) bool {
	return o.Role == role || o.Role == config.RoleOperator
}

// Authenticator checks requests against the configuration in force.
type Authenticator struct {
	// Current returns the configuration in force, or nil if there is none.
	CurrentConfig func() *config.Config
	// Dev accepts CallerHeader from callers. It must be off in production.
	Dev bool
}

// Caller authenticates a caller.
//
// Errors: fault.Unauthenticated if nothing proves an identity;
// fault.WrongRole if the identity is not that of an admitted caller;
// fault.NoVersion if there is no configuration yet.
func (a *Authenticator) Caller(r *http.Request) (Caller, error) {
	c := a.CurrentConfig()
	if c == nil {
		return Caller{}, fault.NoVersion.New("there is no configuration yet")
	}
	name, err := a.callerName(c, r)
	if err != nil {
		return Caller{}, err
	}
	settings, admitted := c.Caller(name)
	// The name "*" is not one that a caller may take.
	if !admitted || !config.ValidName(name) {
		return Caller{}, fault.WrongRole.New("caller %q is not admitted by the configuration", name)
	}
	return Caller{Name: name, Settings: settings}, nil
}

func (a *Authenticator) callerName(c *config.Config, r *http.Request) (string, error) {
	id, shown, err := pki.PeerIdentity(r.TLS)
	switch {
	case err != nil:
		return "", err
	case shown && id.Role != pki.RoleCaller:
		return "", fault.WrongRole.New("%q has a certificate of role %s, not of a caller", id.Name, id.Role)
	case shown:
		return id.Name, nil
	}
	token, given := bearer(r)
	if given {
		return findToken(token, c.Callers, func(c config.Caller) []config.TokenHash { return c.Tokens })
	}
	if name := r.Header.Get(CallerHeader); a.Dev && name != "" {
		return name, nil
	}
	return "", fault.Unauthenticated.New("a caller's certificate or bearer token is needed")
}

// Operator authenticates an operator. The holder of an operator's certificate
// who is not in the configuration is a viewer, so that the status can be seen
// before the first configuration is applied.
//
// Errors: as Caller, except fault.NoVersion.
func (a *Authenticator) Operator(r *http.Request) (Operator, error) {
	c := a.CurrentConfig()
	if c == nil {
		c = &config.Config{}
	}
	id, shown, err := pki.PeerIdentity(r.TLS)
	switch {
	case err != nil:
		return Operator{}, err
	case shown && id.Role != pki.RoleOperator:
		return Operator{}, fault.WrongRole.New("%q has a certificate of role %s, not of an operator", id.Name, id.Role)
	case shown:
		return listed(c, id.Name), nil
	}
	token, given := bearer(r)
	if !given {
		return Operator{}, fault.Unauthenticated.New("an operator's certificate or bearer token is needed")
	}
	name, err := findToken(token, c.Operators, func(o config.Operator) []config.TokenHash { return o.Tokens })
	if err != nil {
		return Operator{}, err
	}
	return listed(c, name), nil
}

func listed(c *config.Config, name string) Operator {
	if o, ok := c.Operators[name]; ok {
		return Operator{Name: name, Role: o.Role}
	}
	return Operator{Name: name, Role: config.RoleViewer}
}

// bearer returns the token of the Authorization header (RFC 6750).
func bearer(r *http.Request) (string, bool) {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return strings.TrimSpace(token), true
}

// findToken returns the name of the holder of a token. It compares with every
// hash in constant time, so that the time tells nothing about a near match.
func findToken[V any](token string, holders map[string]V, tokens func(V) []config.TokenHash) (string, error) {
	hash := config.HashToken(token)
	found := ""
	for name, holder := range holders {
		for _, known := range tokens(holder) {
			if subtle.ConstantTimeCompare(hash[:], known[:]) == 1 {
				found = name
			}
		}
	}
	if found == "" {
		return "", fault.Unauthenticated.New("the bearer token is not known")
	}
	return found, nil
}

// Refuse answers a request whose authentication failed. The caller of the
// middleware chooses the form of the body.
type Refuse func(w http.ResponseWriter, r *http.Request, status int, err error)

type callerKey struct{}
type operatorKey struct{}

// Callers is middleware that lets authenticated callers through; CallerOf
// returns who it was.
func (a *Authenticator) RequireCaller(refuse Refuse) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			caller, err := a.Caller(r)
			if err != nil {
				reject(w, r, refuse, err)
				return
			}
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, caller)))
		})
	}
}

// Operators is middleware that lets operators of a role through; OperatorOf
// returns who it was.
func (a *Authenticator) RequireOperator(role config.OperatorRole, refuse Refuse) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			operator, err := a.Operator(r)
			if err == nil && !operator.May(role) {
				err = fault.WrongRole.New("operator %q has role %s, %s is needed", operator.Name, operator.Role, role)
			}
			if err != nil {
				reject(w, r, refuse, err)
				return
			}
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
		})
	}
}

func reject(w http.ResponseWriter, r *http.Request, refuse Refuse, err error) {
	status := StatusOf(err)
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	refuse(w, r, status, err)
}

// StatusOf is the HTTP status for a failed authentication.
func StatusOf(err error) int {
	switch {
	case errorx.IsOfType(err, fault.NoVersion):
		return http.StatusServiceUnavailable
	case errorx.IsOfType(err, fault.WrongRole):
		return http.StatusForbidden
	}
	return http.StatusUnauthorized
}

// CallerOf returns the caller that the middleware has authenticated.
func CallerOf(ctx context.Context) (Caller, bool) {
	caller, ok := ctx.Value(callerKey{}).(Caller)
	return caller, ok
}

// OperatorOf returns the operator that the middleware has authenticated.
func OperatorOf(ctx context.Context) (Operator, bool) {
	operator, ok := ctx.Value(operatorKey{}).(Operator)
	return operator, ok
}
