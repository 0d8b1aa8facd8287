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

// Validity of certificates unless another is asked for. Certificates are
// renewed when less than a third of it is left.
const DefaultValidity = 90 * 24 * time.Hour

const (
	certSuffix = ".crt"
	keySuffix  = ".key"
)

// Files names the PEM files that one process needs.
type Files struct {
	// CA holds the certificates of the authorities that are trusted. During a
	// change of authority it holds the old one and the new one.
	CA string
	// Cert and Key are the process's own.
	Cert string
	Key  string
}

// FilesOf returns the files of the holder of a name and role in dir.
func FilesOf(dir string, role Role, name string) Files {
	base := filepath.Join(dir, string(role)+"-"+name)
	return Files{CA: filepath.Join(dir, AuthorityCertFile), Cert: base + certSuffix, Key: base + keySuffix}
}

// IssueTo issues a certificate and writes it and its key to dir. Names become
// part of file names, so they must not hold path separators.
func (a *Authority) IssueTo(dir, commonName string, role Role, addresses []string, validity time.Duration) (Files, error) {
	if strings.ContainsAny(commonName, `/\`) || strings.HasPrefix(commonName, ".") {
		return Files{}, fault.BadCertificate.New("name %q: path separators and a leading dot are not allowed", commonName)
	}
	certPEM, keyPEM, err := a.Issue(commonName, role, addresses, validity)
	if err != nil {
		return Files{}, err
	}
	files := FilesOf(dir, role, commonName)
	if err := writeFile(files.Key, keyPEM, 0o600); err != nil {
		return Files{}, err
	}
	return files, writeFile(files.Cert, certPEM, 0o644)
}

// Held is a certificate in a directory.
type CertificateInfo struct {
	Identity
	Files     Files
	Addresses []string
	NotBefore time.Time
	NotAfter  time.Time
}

// Due reports whether the certificate should be renewed.
func (h CertificateInfo) RenewalDue(now time.Time) bool {
	validity := h.NotAfter.Sub(h.NotBefore)
	return h.NotAfter.Sub(now) < validity/3
}

// List returns the certificates in dir, except the authority's, by file name.
func ListCertificates(dir string) ([]CertificateInfo, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+certSuffix))
	if err != nil {
		return nil, fault.BadCertificate.Wrap(err, "list certificates in %s", dir)
	}
	slices.Sort(paths)
	var all []CertificateInfo
	for _, path := range paths {
		if filepath.Base(path) == AuthorityCertFile {
			continue
		}
		held, err := readHeld(dir, path)
		if err != nil {
			return nil, err
		}
		all = append(all, held)
	}
	return all, nil
}

func readHeld(dir, path string) (CertificateInfo, error) {
	der, err := readPEM(path, pemCertificate)
	if err != nil {
		return CertificateInfo{}, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return CertificateInfo{}, fault.BadCertificate.Wrap(err, "certificate %s", path)
	}
	id, err := IdentityOf(cert)
	if err != nil {
		return CertificateInfo{}, err
	}
	held := CertificateInfo{Identity: id, NotBefore: cert.NotBefore, NotAfter: cert.NotAfter}
	held.Files = Files{CA: filepath.Join(dir, AuthorityCertFile), Cert: path, Key: strings.TrimSuffix(path, certSuffix) + keySuffix}
	held.Addresses = slices.Clone(cert.DNSNames)
	for _, ip := range cert.IPAddresses {
		held.Addresses = append(held.Addresses, ip.String())
	}
	return held, nil
}

// Renew issues new certificates, with new keys, in place of those in dir that
// are due, or of all of them. It returns the renewed ones.
func (a *Authority) Renew(dir string, now time.Time, all bool) ([]CertificateInfo, error) {
	held, err := ListCertificates(dir)
	if err != nil {
		return nil, err
	}
	var renewed []CertificateInfo
	for _, h := range held {
		if !all && !h.RenewalDue(now) {
			continue
		}
		if _, err := a.IssueTo(dir, h.Name, h.Role, h.Addresses, h.NotAfter.Sub(h.NotBefore)); err != nil {
			return renewed, err
		}
		renewed = append(renewed, h)
	}
	return renewed, nil
}

func modified(path string) (time.Time, int64) {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}, -1
	}
	return info.ModTime(), info.Size()
}

// NameIn returns the name of a certificate's holder.
func CommonNameOf(certFile string) (string, error) {
	der, err := readPEM(certFile, pemCertificate)
	if err != nil {
		return "", err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return "", fault.BadCertificate.Wrap(err, "certificate %s", certFile)
	}
	return cert.Subject.CommonName, nil
}
