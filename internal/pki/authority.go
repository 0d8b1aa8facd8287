package pki

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// Names of the authority's files in the key directory.
const (
	AuthorityCertFile = "ca.crt"
	AuthorityKeyFile  = "ca.key"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	// backdate is how far NotBefore lies in the past, for hosts whose clocks are
	// behind that of the issuer.
	backdate   = 5 * time.Minute
	serialBits = 127
)

const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// Authority signs the certificates of one installation.
type Authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// NewAuthority creates an authority with a new key.
func NewAuthority(name string) (*Authority, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(authorityValidity),
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "sign certificate of authority %q", name)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "parse certificate of authority %q", name)
	}
	return &Authority{cert: cert, key: key}, nil
}

// CertPEM returns the authority's certificate, which peers need to verify each
// other's certificates.
func (a *Authority) CertPEM() []byte { return encodePEM(pemCertificate, a.cert.Raw) }

// Issue creates a key and signs a certificate for it. The addresses are the IP
// addresses and DNS names of the holder.
func (a *Authority) Issue(commonName string, role Role, addresses []string, validity time.Duration) (certPEM, keyPEM []byte, err error) {
	if _, err := ParseRole(string(role)); err != nil {
		return nil, nil, err
	}
	if commonName == "" || validity <= 0 {
		return nil, nil, fault.BadCertificate.New("a certificate needs a name and a positive validity, got %q and %v", commonName, validity)
	}
	key, err := newKey()
	if err != nil {
		return nil, nil, err
	}
	template, err := a.leafTemplate(commonName, role, addresses, validity)
	if err != nil {
		return nil, nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, nil, fault.BadCertificate.Wrap(err, "sign certificate of %q", commonName)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, fault.BadCertificate.Wrap(err, "encode key of %q", commonName)
	}
	return encodePEM(pemCertificate, der), encodePEM(pemKey, keyDER), nil
}

func (a *Authority) leafTemplate(commonName string, role Role, addresses []string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	usages := []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if role.acceptsConnections() {
		usages = append(usages, x509.ExtKeyUsageServerAuth)
	}
	cert := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: commonName, OrganizationalUnit: []string{string(role)}},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  usages,
	}
	for _, address := range addresses {
		if ip := net.ParseIP(address); ip != nil {
			cert.IPAddresses = append(cert.IPAddresses, ip)
			continue
		}
		cert.DNSNames = append(cert.DNSNames, address)
	}
	return cert, nil
}

// Save writes the authority's certificate and key to dir.
func (a *Authority) Save(dir string) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return fault.BadCertificate.Wrap(err, "encode key of authority")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fault.BadCertificate.Wrap(err, "create directory %s", dir)
	}
	if err := replaceFile(filepath.Join(dir, AuthorityKeyFile), encodePEM(pemKey, keyDER), 0o600); err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, AuthorityCertFile), a.CertPEM(), 0o644)
}

// LoadAuthority reads an authority that Save has written.
func LoadAuthority(dir string) (*Authority, error) {
	certDER, err := readPEM(filepath.Join(dir, AuthorityCertFile), pemCertificate)
	if err != nil {
		return nil, err
	}
	keyDER, err := readPEM(filepath.Join(dir, AuthorityKeyFile), pemKey)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "parse certificate of authority in %s", dir)
	}
	key, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "parse key of authority in %s", dir)
	}
	signer, ok := key.(*ecdsa.PrivateKey)
	if !ok || !signer.PublicKey.Equal(cert.PublicKey) {
		return nil, fault.BadCertificate.New("key of the authority in %s does not match its certificate", dir)
	}
	return &Authority{cert: cert, key: signer}, nil
}

// newKey generates an ECDSA key on P-256, which every TLS client in use supports;
// some do not support Ed25519.
func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "generate key")
	}
	return key, nil
}

func newSerial() (*big.Int, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "generate serial number")
	}
	return serial, nil
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

func readPEM(path, blockType string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "read %s", path)
	}
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != blockType {
		return nil, fault.BadCertificate.New("%s holds no PEM block %q", path, blockType)
	}
	return block.Bytes, nil
}

// replaceFile replaces a file atomically, so that a process that reloads it never
// reads a partly written file.
func replaceFile(path string, content []byte, mode os.FileMode) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, content, mode); err != nil {
		return fault.BadCertificate.Wrap(err, "write %s", temporary)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fault.BadCertificate.Wrap(err, "replace %s", path)
	}
	return nil
}
