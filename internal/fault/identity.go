package fault

import "github.com/joomcode/errorx"

// IdentityErrors are failures of certificates, tokens and roles.
var IdentityErrors = errorx.NewNamespace("identity")

// Identity failures.
var (
	// BadCertificate: a certificate or key cannot be read, made or verified.
	BadCertificate = IdentityErrors.NewType("bad_certificate")
	// WrongRole: the identity of the peer or operator is verified, but its role does
	// not permit the operation.
	WrongRole = IdentityErrors.NewType("wrong_role")
	// Unauthenticated: no certificate, token or header proves an identity.
	Unauthenticated = IdentityErrors.NewType("unauthenticated")
)
