// Package auth authenticates the sender of an HTTP request, a caller or an
// operator, by client certificate or bearer token. Callers and operators are
// separate: neither can act as the other.
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

// CallerHeader is the header that names the caller in dev mode.
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

// HasRole reports whether the operator has the permissions of a role. RoleOperator
// includes those of every role.
func (o Operator) HasRole(role config.OperatorRole) bool {
	return o.Role == role || o.Role == config.RoleOperator
}

// Authenticator checks requests against the configuration in force.
type Authenticator struct {
	// CurrentConfig returns the configuration in force, or nil if there is none.
	CurrentConfig func() *config.Config
	// Dev accepts CallerHeader as a caller's identity. It must be false in
	// production.
	Dev bool
}

// AuthenticateCaller returns the caller that sent the request.
//
// Errors: fault.Unauthenticated if nothing proves an identity;
// fault.WrongRole if the identity is not that of an admitted caller;
// fault.NoVersion if there is no configuration yet.
func (a *Authenticator) AuthenticateCaller(r *http.Request) (Caller, error) {
	c := a.CurrentConfig()
	if c == nil {
		return Caller{}, fault.NoVersion.New("there is no configuration yet")
	}
	name, err := a.callerName(c, r)
	if err != nil {
		return Caller{}, err
	}
	settings, admitted := c.Caller(name)
	// ValidName rejects "*", which no caller may use as its name.
	if !admitted || !config.ValidName(name) {
		return Caller{}, fault.WrongRole.New("caller %q is not admitted by the configuration", name)
	}
	return Caller{Name: name, Settings: settings}, nil
}

func (a *Authenticator) callerName(c *config.Config, r *http.Request) (string, error) {
	id, hasCertificate, err := pki.PeerIdentity(r.TLS)
	switch {
	case err != nil:
		return "", err
	case hasCertificate && id.Role != pki.RoleCaller:
		return "", fault.WrongRole.New("%q has a certificate of role %s, not of a caller", id.Name, id.Role)
	case hasCertificate:
		return id.Name, nil
	}
	token, hasToken := bearerToken(r)
	if hasToken {
		return findTokenHolder(token, c.Callers, func(c config.Caller) []config.TokenHash { return c.Tokens })
	}
	if name := r.Header.Get(CallerHeader); a.Dev && name != "" {
		return name, nil
	}
	return "", fault.Unauthenticated.New("a caller's certificate or bearer token is needed")
}

// AuthenticateOperator returns the operator that sent the request. The holder of an
// operator's certificate who is not in the configuration is a viewer, so that the
// status can be read before the first configuration is applied.
//
// Errors: as AuthenticateCaller, except fault.NoVersion.
func (a *Authenticator) AuthenticateOperator(r *http.Request) (Operator, error) {
	c := a.CurrentConfig()
	if c == nil {
		c = &config.Config{}
	}
	id, hasCertificate, err := pki.PeerIdentity(r.TLS)
	switch {
	case err != nil:
		return Operator{}, err
	case hasCertificate && id.Role != pki.RoleOperator:
		return Operator{}, fault.WrongRole.New("%q has a certificate of role %s, not of an operator", id.Name, id.Role)
	case hasCertificate:
		return operatorNamed(c, id.Name), nil
	}
	token, hasToken := bearerToken(r)
	if !hasToken {
		return Operator{}, fault.Unauthenticated.New("an operator's certificate or bearer token is needed")
	}
	name, err := findTokenHolder(token, c.Operators, func(o config.Operator) []config.TokenHash { return o.Tokens })
	if err != nil {
		return Operator{}, err
	}
	return operatorNamed(c, name), nil
}

// operatorNamed returns the operator with its role in the configuration, or as a
// viewer if the configuration does not list it.
func operatorNamed(c *config.Config, name string) Operator {
	if o, ok := c.Operators[name]; ok {
		return Operator{Name: name, Role: o.Role}
	}
	return Operator{Name: name, Role: config.RoleViewer}
}

// bearerToken returns the token of the Authorization header (RFC 6750).
func bearerToken(r *http.Request) (string, bool) {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return strings.TrimSpace(token), true
}

// findTokenHolder returns the name of the holder of a token. It compares the token's
// hash with every known hash in constant time, so that the time it takes does not
// reveal a partial match.
func findTokenHolder[V any](token string, holders map[string]V, tokens func(V) []config.TokenHash) (string, error) {
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

// RefuseFunc answers a request whose authentication failed. The user of the
// middleware chooses the form of the body.
type RefuseFunc func(w http.ResponseWriter, r *http.Request, status int, err error)

type callerKey struct{}
type operatorKey struct{}

// RequireCaller is middleware that admits only authenticated callers. The next handler
// gets the caller by CallerFromContext.
func (a *Authenticator) RequireCaller(refuse RefuseFunc) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			caller, err := a.AuthenticateCaller(r)
			if err != nil {
				reject(w, r, refuse, err)
				return
			}
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, caller)))
		})
	}
}

// RequireOperator is middleware that admits only operators that have the role. The next
// handler gets the operator by OperatorFromContext.
func (a *Authenticator) RequireOperator(role config.OperatorRole, refuse RefuseFunc) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			operator, err := a.AuthenticateOperator(r)
			if err == nil && !operator.HasRole(role) {
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

func reject(w http.ResponseWriter, r *http.Request, refuse RefuseFunc, err error) {
	status := HTTPStatus(err)
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	refuse(w, r, status, err)
}

// HTTPStatus returns the HTTP status for a failed authentication.
func HTTPStatus(err error) int {
	switch {
	case errorx.IsOfType(err, fault.NoVersion):
		return http.StatusServiceUnavailable
	case errorx.IsOfType(err, fault.WrongRole):
		return http.StatusForbidden
	}
	return http.StatusUnauthorized
}

// CallerFromContext returns the caller that the middleware has authenticated.
func CallerFromContext(ctx context.Context) (Caller, bool) {
	caller, ok := ctx.Value(callerKey{}).(Caller)
	return caller, ok
}

// OperatorFromContext returns the operator that the middleware has authenticated.
func OperatorFromContext(ctx context.Context) (Operator, bool) {
	operator, ok := ctx.Value(operatorKey{}).(Operator)
	return operator, ok
}
