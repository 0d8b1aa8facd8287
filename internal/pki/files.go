package pki

import (
	"crypto/x509"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/damasklb/damasklb/internal/fault"
)

// DefaultValidity is the validity of a certificate unless another is requested.
// Certificates are renewed when less than a third of their validity is left.
const DefaultValidity = 90 * 24 * time.Hour

const (
	certSuffix = ".crt"
	keySuffix  = ".key"
)

// Files names the PEM files that one process needs.
type Files struct {
	// CA is the file with the certificates of the trusted authorities. While an
	// authority is being replaced, it holds the old and the new certificate.
	CA string
	// Cert and Key are the files with the process's own certificate and key.
	Cert string
	Key  string
}

// FilesOf returns the names of the files in dir that belong to the holder of a role
// and name.
func FilesOf(dir string, role Role, name string) Files {
	base := filepath.Join(dir, string(role)+"-"+name)
	return Files{CA: filepath.Join(dir, AuthorityCertFile), Cert: base + certSuffix, Key: base + keySuffix}
}

// IssueTo issues a certificate and writes it and its key to dir. The name becomes
// part of the file names, so it must not contain path separators.
func (a *Authority) IssueTo(dir, commonName string, role Role, addresses []string, validity time.Duration) (Files, error) {
	if strings.ContainsAny(commonName, `/\`) || strings.HasPrefix(commonName, ".") {
		return Files{}, fault.BadCertificate.New("name %q: path separators and a leading dot are not allowed", commonName)
	}
	certPEM, keyPEM, err := a.Issue(commonName, role, addresses, validity)
	if err != nil {
		return Files{}, err
	}
	files := FilesOf(dir, role, commonName)
	if err := replaceFile(files.Key, keyPEM, 0o600); err != nil {
		return Files{}, err
	}
	return files, replaceFile(files.Cert, certPEM, 0o644)
}

// CertificateInfo describes a certificate in a directory.
type CertificateInfo struct {
	Identity
	Files     Files
	Addresses []string
	NotBefore time.Time
	NotAfter  time.Time
}

// RenewalDue reports whether the certificate should be renewed.
func (c CertificateInfo) RenewalDue(now time.Time) bool {
	validity := c.NotAfter.Sub(c.NotBefore)
	return c.NotAfter.Sub(now) < validity/3
}

// ListCertificates returns the certificates in dir, sorted by file name, without
// the authority's.
func ListCertificates(dir string) ([]CertificateInfo, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+certSuffix))
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "list certificates in %s", dir)
	}
	slices.Sort(paths)
	var certs []CertificateInfo
	for _, path := range paths {
		if filepath.Base(path) == AuthorityCertFile {
			continue
		}
		info, err := readCertificateInfo(dir, path)
		if err != nil {
			return nil, err
		}
		certs = append(certs, info)
	}
	return certs, nil
}

func readCertificateInfo(dir, path string) (CertificateInfo, error) {
	der, err := readPEM(path, pemCertificate)
	if err != nil {
		return CertificateInfo{}, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return CertificateInfo{}, fault.BadCertificate.Wrap(err, "parse certificate %s", path)
	}
	id, err := IdentityOf(cert)
	if err != nil {
		return CertificateInfo{}, err
	}
	info := CertificateInfo{Identity: id, NotBefore: cert.NotBefore, NotAfter: cert.NotAfter}
	info.Files = Files{CA: filepath.Join(dir, AuthorityCertFile), Cert: path, Key: strings.TrimSuffix(path, certSuffix) + keySuffix}
	info.Addresses = slices.Clone(cert.DNSNames)
	for _, ip := range cert.IPAddresses {
		info.Addresses = append(info.Addresses, ip.String())
	}
	return info, nil
}

// Renew replaces the certificates in dir that are due for renewal, or all of them,
// with new certificates that have new keys. It returns the replaced ones.
func (a *Authority) Renew(dir string, now time.Time, all bool) ([]CertificateInfo, error) {
	certs, err := ListCertificates(dir)
	if err != nil {
		return nil, err
	}
	var renewed []CertificateInfo
	for _, cert := range certs {
		if !all && !cert.RenewalDue(now) {
			continue
		}
		if _, err := a.IssueTo(dir, cert.Name, cert.Role, cert.Addresses, cert.NotAfter.Sub(cert.NotBefore)); err != nil {
			return renewed, err
		}
		renewed = append(renewed, cert)
	}
	return renewed, nil
}

func modTimeAndSize(path string) (time.Time, int64) {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}, -1
	}
	return info.ModTime(), info.Size()
}

// CommonNameOf returns the common name in a certificate file, which is the name of
// the certificate's holder.
func CommonNameOf(certFile string) (string, error) {
	der, err := readPEM(certFile, pemCertificate)
	if err != nil {
		return "", err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return "", fault.BadCertificate.Wrap(err, "parse certificate %s", certFile)
	}
	return cert.Subject.CommonName, nil
}
