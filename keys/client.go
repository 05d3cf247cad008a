package keys

import "crypto/tls"

// AdminClient returns the configuration of a command that calls the
// administration API. The certificate and its key may be left out.
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
