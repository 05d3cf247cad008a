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

// maxClockSkew is how far the clock of a host may be behind that of the machine
// that issues its certificate.
const maxClockSkew = 5 * time.Minute

// Pair is a certificate and its private key, in PEM.
type Pair struct {
	Certificate, Key []byte
}

// Authority is a private certificate authority for tests and small deployments.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// Pair is the certificate and key that LoadAuthority needs to issue more certificates later.
	Pair Pair
}

// NewAuthority creates an authority that is valid from now.
func NewAuthority(name string, now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, certificateError(err, name)
	}
	template := template(name, now, validity)
	template.IsCA, template.BasicConstraintsValid = true, true
	// The authority issues only leaf certificates.
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return LoadAuthority(pair)
}

// LoadAuthority returns the authority whose Pair is p.
func LoadAuthority(p Pair) (*Authority, error) {
	c, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, certificateError(err, "")
	}
	key, ok := c.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !c.Leaf.IsCA {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("the certificate is not that of an authority with an ECDSA key"), "load authority", c.Leaf.Subject.CommonName)
	}
	return &Authority{certificate: c.Leaf, key: key, Pair: p}, nil
}

// IssueHost issues a certificate for a host. It is valid for accepting and dialing
// connections of peers and for the administration API at the addresses.
func (a *Authority) IssueHost(i Identity, addresses []netip.Addr, now time.Time, validity time.Duration) (Pair, error) {
	t := template(i.String(), now, validity)
	t.URIs = []*url.URL{i.URI()}
	for _, address := range addresses {
		t.IPAddresses = append(t.IPAddresses, net.IP(address.Unmap().AsSlice()))
	}
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return a.issue(t)
}

// IssueOperator issues a client certificate for the command line. It contains no
// host identity, so peers reject it.
func (a *Authority) IssueOperator(name string, now time.Time, validity time.Duration) (Pair, error) {
	t := template(name, now, validity)
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	return a.issue(t)
}

func (a *Authority) issue(t *x509.Certificate) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, certificateError(err, t.Subject.CommonName)
	}
	return sign(t, a.certificate, key, a.key)
}

// template returns a certificate without a serial number, for which the library
// generates a random one.
func template(name string, now time.Time, validity time.Duration) *x509.Certificate {
	return &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-maxClockSkew), NotAfter: now.Add(validity),
		KeyUsage: x509.KeyUsageDigitalSignature,
	}
}

func sign(t, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, certificateError(err, t.Subject.CommonName)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, certificateError(err, t.Subject.CommonName)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// certificateError returns the error for a certificate or key that cannot be created
// or loaded.
func certificateError(err error, name string) error {
	return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "certificate cannot be created or loaded"), "issue", name)
}
