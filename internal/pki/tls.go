package pki

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// checkInterval is the shortest time between two looks at the files. A stat of
// three files per handshake would be cheap, but a burst of reconnects should
// cost nothing more than it must.
const checkInterval = time.Second

// ServerConfig returns a configuration that requires a certificate of one of
// the roles from clients. Changed files are used by later handshakes.
func ServerConfig(files Files, roles ...Role) (*tls.Config, error) {
	return serverConfig(files, tls.RequireAnyClientCert, roles)
}

// OptionalServerConfig is ServerConfig, except that a client may show no
// certificate, as callers do that authenticate by token.
func OptionalCertServerConfig(files Files, roles ...Role) (*tls.Config, error) {
	return serverConfig(files, tls.RequestClientCert, roles)
}

func serverConfig(files Files, auth tls.ClientAuthType, roles []Role) (*tls.Config, error) {
	source, err := newSource(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &source.current().cert, nil
		},
		// The handshake proves possession of the key; VerifyConnection verifies
		// the certificate, because ClientCAs cannot follow a changed CA file.
		ClientAuth: auth,
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 && auth == tls.RequestClientCert {
				return nil
			}
			return verifyPeer(state, "", x509.ExtKeyUsageClientAuth, source.current().roots, roles)
		},
	}, nil
}

// ClientConfig returns a configuration that shows the process's certificate
// and requires one of the roles from the server. The server's name is verified
// if the connection is dialled by DNS name. It is not if it is dialled by IP
// address: hosts are replaced at any time and their addresses come from the
// table, so the authority and the role are what identifies an entry.
func ClientConfig(files Files, roles ...Role) (*tls.Config, error) {
	source, err := newSource(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &source.current().cert, nil
		},
		// VerifyConnection verifies in place of the default, which has no way to
		// follow a changed CA file.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, state.ServerName, x509.ExtKeyUsageServerAuth, source.current().roots, roles)
		},
	}, nil
}

// verifyPeer verifies the chain, the usage, the name if there is one, and the
// role of the other end's certificate.
func verifyPeer(state tls.ConnectionState, name string, usage x509.ExtKeyUsage, roots *x509.CertPool, roles []Role) error {
	if len(state.PeerCertificates) == 0 {
		return fault.BadCertificate.New("the peer has shown no certificate")
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
		return fault.BadCertificate.Wrap(err, "peer's certificate")
	}
	return checkRole(state.PeerCertificates[0], roles)
}

// material is what the files held when they were last read.
type material struct {
	roots *x509.CertPool
	cert  tls.Certificate
}

type stamp struct {
	modified time.Time
	size     int64
}

// source reads the files again when they have changed. While they cannot be
// read or do not belong together, as in the middle of a renewal, it keeps what
// it has.
type source struct {
	files Files

	mu      sync.Mutex
	loaded  *material
	stamps  [3]stamp
	checked time.Time
}

func newSource(files Files) (*source, error) {
	s := &source{files: files}
	s.stamps = s.stat()
	loaded, err := load(files)
	if err != nil {
		return nil, err
	}
	s.loaded = loaded
	s.checked = time.Now()
	return s, nil
}

func (s *source) stat() [3]stamp {
	var stamps [3]stamp
	for i, path := range []string{s.files.CA, s.files.Cert, s.files.Key} {
		stamps[i].modified, stamps[i].size = modified(path)
	}
	return stamps
}

func (s *source) current() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < checkInterval {
		return s.loaded
	}
	s.checked = now
	stamps := s.stat()
	if stamps == s.stamps {
		return s.loaded
	}
	if loaded, err := load(s.files); err == nil {
		s.loaded = loaded
		s.stamps = stamps
	}
	return s.loaded
}

func load(files Files) (*material, error) {
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
	return &material{roots: roots, cert: cert}, nil
}
