package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"net"
	"net/netip"
	"net/url"
	"time"

	"pimentospread"
)

// skew is how far the clock of a host may be behind that of the authority.
const skew = 5 * time.Minute

// KeyPair is a certificate with its private key, in PEM.
type KeyPair struct {
	Certificate, Key []byte
}

// Authority is a private authority for tests and small deployments.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// Pair is what a later run needs to issue more certificates.
	Pair KeyPair
}

// NewAuthority makes an authority that is valid from now on.
func NewAuthority(name string, now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, failed(err, name)
	}
	template := template(name, now, validity)
	template.IsCA, template.BasicConstraintsValid = true, true
	// An authority of its own issues leaf certificates only.
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return LoadAuthority(pair)
}

// LoadAuthority returns the authority of an earlier run.
func LoadAuthority(p KeyPair) (*Authority, error) {
	c, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, failed(err, "")
	}
	key, ok := c.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !c.Leaf.IsCA {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("not an authority with an ECDSA key"), "load authority", c.Leaf.Subject.CommonName)
	}
	return &Authority{certificate: c.Leaf, key: key, Pair: p}, nil
}

// IssueHost issues the certificate of a host, for both sides of a link and for the
// administration API at the addresses.
func (a *Authority) IssueHost(i Identity, addresses []netip.Addr, now time.Time, validity time.Duration) (KeyPair, error) {
	t := template(i.String(), now, validity)
	t.URIs = []*url.URL{i.URI()}
	for _, address := range addresses {
		t.IPAddresses = append(t.IPAddresses, net.IP(address.Unmap().AsSlice()))
	}
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return a.issue(t)
}

// IssueOperator issues a certificate for the command line. It names no host, so no peer accepts it.
func (a *Authority) IssueOperator(name string, now time.Time, validity time.Duration) (KeyPair, error) {
	t := template(name, now, validity)
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	return a.issue(t)
}

func (a *Authority) issue(t *x509.Certificate) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, failed(err, t.Subject.CommonName)
	}
	return sign(t, a.certificate, key, a.key)
}

// template leaves the serial number to the library, which draws a random one.
func template(name string, now time.Time, validity time.Duration) *x509.Certificate {
	return &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-skew), NotAfter: now.Add(validity),
		KeyUsage: x509.KeyUsageDigitalSignature,
	}
}

func sign(t, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, parentKey)
	if err != nil {
		return KeyPair{}, failed(err, t.Subject.CommonName)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, failed(err, t.Subject.CommonName)
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}),
	}, nil
}

func failed(err error, name string) error {
	return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "certificate cannot be made"), "issue", name)
}
