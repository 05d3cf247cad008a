package keys

import "crypto/tls"

// AdminClient returns the TLS configuration for clients of the administration
// API. The files of the certificate and its key may be omitted.
func AdminClient(f Files) (*tls.Config, error) {
	c, err := f.read()
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if config.RootCAs, err = ParseAuthorities(c.authority, f.AuthorityPath); err != nil {
		return nil, err
	}
	if f.CertificatePath == "" && f.KeyPath == "" {
		return config, nil
	}
	pair, err := f.pair(c)
	if err != nil {
		return nil, err
	}
	config.Certificates = []tls.Certificate{pair}
	return config, nil
}
