package pki

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// reloadInterval is the shortest time between two checks of the files for changes.
// A stat of three files per handshake would be cheap, but a burst of reconnects
// should cause no avoidable work.
const reloadInterval = time.Second

// ServerConfig returns a TLS configuration that requires from clients a certificate
// with one of the roles. Later handshakes use changed files.
func ServerConfig(files Files, roles ...Role) (*tls.Config, error) {
	return serverConfig(files, tls.RequireAnyClientCert, roles)
}

// OptionalCertServerConfig is like ServerConfig, but a client may send no
// certificate, as callers do that authenticate by token.
func OptionalCertServerConfig(files Files, roles ...Role) (*tls.Config, error) {
	return serverConfig(files, tls.RequestClientCert, roles)
}

func serverConfig(files Files, auth tls.ClientAuthType, roles []Role) (*tls.Config, error) {
	creds, err := newReloader(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &creds.current().cert, nil
		},
		// The handshake proves possession of the key; VerifyConnection verifies
		// the certificate, because ClientCAs cannot follow a changed CA file.
		ClientAuth: auth,
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 && auth == tls.RequestClientCert {
				return nil
			}
			return verifyPeer(state, "", x509.ExtKeyUsageClientAuth, creds.current().roots, roles)
		},
	}, nil
}

// ClientConfig returns a TLS configuration that sends the process's certificate
// and requires from the server a certificate with one of the roles. The server's
// name is verified if the connection is dialled by DNS name. It is not verified if
// the connection is dialled by IP address: hosts may be replaced at any time and
// their addresses come from the table, so an entry is identified by the authority
// and the role.
func ClientConfig(files Files, roles ...Role) (*tls.Config, error) {
	creds, err := newReloader(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &creds.current().cert, nil
		},
		// VerifyConnection verifies the certificate instead of the default
		// verification, which cannot follow a changed CA file.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, state.ServerName, x509.ExtKeyUsageServerAuth, creds.current().roots, roles)
		},
	}, nil
}

// verifyPeer verifies the chain, the usage, the role and, unless name is empty, the
// name of the peer's certificate.
func verifyPeer(state tls.ConnectionState, name string, usage x509.ExtKeyUsage, roots *x509.CertPool, roles []Role) error {
	if len(state.PeerCertificates) == 0 {
		return fault.BadCertificate.New("the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	options := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		DNSName:       name,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fault.BadCertificate.Wrap(err, "verify the peer's certificate")
	}
	return checkRole(state.PeerCertificates[0], roles)
}

// credentials are the contents of the files when they were last read.
type credentials struct {
	roots *x509.CertPool
	cert  tls.Certificate
}

// fileStamp is the state of a file by which a change is detected.
type fileStamp struct {
	modified time.Time
	size     int64
}

// reloader reads the files again when they have changed. While the files cannot be
// read or do not match each other, as in the middle of a renewal, it retains the
// credentials that it has.
type reloader struct {
	files Files

	mu          sync.Mutex
	credentials *credentials
	stamps      [3]fileStamp
	lastCheck   time.Time
}

func newReloader(files Files) (*reloader, error) {
	r := &reloader{files: files}
	r.stamps = r.stat()
	loaded, err := loadCredentials(files)
	if err != nil {
		return nil, err
	}
	r.credentials = loaded
	r.lastCheck = time.Now()
	return r, nil
}

func (r *reloader) stat() [3]fileStamp {
	var stamps [3]fileStamp
	for i, path := range []string{r.files.CA, r.files.Cert, r.files.Key} {
		stamps[i].modified, stamps[i].size = modTimeAndSize(path)
	}
	return stamps
}

// current returns the credentials, reloaded if the files have changed.
func (r *reloader) current() *credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.lastCheck) < reloadInterval {
		return r.credentials
	}
	r.lastCheck = now
	stamps := r.stat()
	if stamps == r.stamps {
		return r.credentials
	}
	if loaded, err := loadCredentials(r.files); err == nil {
		r.credentials = loaded
		r.stamps = stamps
	}
	return r.credentials
}

func loadCredentials(files Files) (*credentials, error) {
	raw, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "read %s", files.CA)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return nil, fault.BadCertificate.New("%s holds no certificate", files.CA)
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "load %s and %s", files.Cert, files.Key)
	}
	return &credentials{roots: roots, cert: cert}, nil
}
