// Package keys provides the TLS configurations of the connections between hosts
// and of the administration API. The key files are read again on each handshake,
// so a rotation needs no restart.
package keys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"

	"pimentospread"
)

// Files are the paths of a set of PEM files. They may be on a memory file system.
type Files struct {
	// CertificatePath is the file with the certificate, followed by any intermediate certificates.
	CertificatePath string `json:"CertificatePath"`
	// KeyPath is the file with the private key of the certificate.
	KeyPath string `json:"KeyPath"`
	// AuthorityPath is the file with the authorities whose certificates are accepted.
	AuthorityPath string `json:"AuthorityPath"`
}

// IsZero reports whether no path is set.
func (f Files) IsZero() bool { return f == Files{} }

// contents holds the bytes of the files.
type contents struct {
	certificate, key, authority []byte
}

func (c contents) equal(other contents) bool {
	return bytes.Equal(c.certificate, other.certificate) && bytes.Equal(c.key, other.key) &&
		bytes.Equal(c.authority, other.authority)
}

// read returns the contents of the files whose paths are set.
func (f Files) read() (contents, error) {
	var c contents
	for _, file := range []struct {
		path string
		into *[]byte
	}{{f.CertificatePath, &c.certificate}, {f.KeyPath, &c.key}, {f.AuthorityPath, &c.authority}} {
		if file.path == "" {
			continue
		}
		data, err := os.ReadFile(file.path)
		if err != nil {
			return contents{}, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "key file cannot be read"), "read keys", file.path)
		}
		*file.into = data
	}
	return c, nil
}

// keySet is the checked content of the files.
type keySet struct {
	contents    contents
	certificate tls.Certificate
	// authority is nil if AuthorityPath is not set.
	authority *x509.CertPool
}

// pair parses the certificate and key and checks that they match.
func (f Files) pair(c contents) (tls.Certificate, error) {
	p, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return p, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "certificate and key cannot be loaded or do not match"), "load keys", f.CertificatePath)
	}
	return p, nil
}

// authorities parses the authority file. It returns nil if AuthorityPath is not set.
func (f Files) authorities(c contents) (*x509.CertPool, error) {
	if f.AuthorityPath == "" {
		return nil, nil
	}
	return ParseAuthorities(c.authority, f.AuthorityPath)
}

// ParseAuthorities returns the authorities in the data of a PEM file. The path is
// used only in the error.
func ParseAuthorities(data []byte, path string) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("the authority file contains no certificate"), "load keys", path)
	}
	return pool, nil
}
