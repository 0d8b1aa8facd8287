// Package pki creates the certificate authority and the certificates of an
// installation, and builds mutual-TLS configurations from files. A certificate
// holds the role of its holder in the organisational unit (OU) and the name in the
// common name (CN). A peer whose certificate has another role than required is
// refused.
package pki

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/damasklb/damasklb/internal/fault"
)

// Role is the role in which the holder of a certificate may act.
type Role string

// Roles.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
	RoleCaller   Role = "caller"
)

// Roles returns all roles.
func Roles() []Role { return []Role{RoleEntry, RoleAgent, RoleOperator, RoleCaller} }

// ParseRole returns the role with the name s.
func ParseRole(s string) (Role, error) {
	for _, r := range Roles() {
		if string(r) == s {
			return r, nil
		}
	}
	return "", fault.BadCertificate.New("role %q is not one of %v", s, Roles())
}

// acceptsConnections reports whether processes with the role accept connections.
func (r Role) acceptsConnections() bool { return r == RoleEntry || r == RoleAgent }

// Identity is the name and the role in a certificate.
type Identity struct {
	Name string
	Role Role
}

// IdentityOf returns the identity in a certificate that has been verified. A
// certificate with more than one OU is refused, because its role is ambiguous.
func IdentityOf(cert *x509.Certificate) (Identity, error) {
	units := cert.Subject.OrganizationalUnit
	if len(units) != 1 {
		return Identity{}, fault.BadCertificate.New("certificate of %q has %d organisational units, not 1", cert.Subject.CommonName, len(units))
	}
	role, err := ParseRole(units[0])
	if err != nil {
		return Identity{}, err
	}
	return Identity{Name: cert.Subject.CommonName, Role: role}, nil
}

// PeerIdentity returns the identity of the peer of a connection. The second
// result is false if the peer has sent no certificate.
func PeerIdentity(state *tls.ConnectionState) (Identity, bool, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, false, nil
	}
	id, err := IdentityOf(state.PeerCertificates[0])
	return id, err == nil, err
}

func checkRole(cert *x509.Certificate, roles []Role) error {
	id, err := IdentityOf(cert)
	if err != nil {
		return err
	}
	for _, r := range roles {
		if id.Role == r {
			return nil
		}
	}
	return fault.WrongRole.New("peer %q has role %s, allowed are %v", id.Name, id.Role, roles)
}
