package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"pimentospread"
)

// Deps are the dependencies of a Store.
type Deps struct {
	// Use identifies the keys in metrics and logs, such as "peer".
	Use   string
	Files Files
	// Self is the identity that the certificate must contain. The zero value skips the check.
	Self    Identity
	Clock   pimentospread.Clock
	Metrics pimentospread.Metrics
	Log     *slog.Logger
}

// Store holds a set of keys and reloads them when the files change.
type Store struct {
	deps Deps
	// current is replaced as a whole. Two handshakes that reload the same change
	// concurrently store equal sets.
	current  atomic.Pointer[keySet]
	failures pimentospread.Counter
	reloads  pimentospread.Counter
}

// Open reads and checks the files and registers the metrics of the store.
func Open(d Deps) (*Store, error) {
	s := &Store{deps: d}
	c, err := d.Files.read()
	if err != nil {
		return nil, err
	}
	initial := &keySet{contents: c}
	if initial.certificate, err = s.pair(c); err != nil {
		return nil, err
	}
	if initial.authority, err = d.Files.authorities(c); err != nil {
		return nil, err
	}
	// Verification without a pool of authorities would trust those of the operating system.
	if d.Self != (Identity{}) && initial.authority == nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("connections between hosts need an authority file"), "load keys", "")
	}
	s.current.Store(initial)
	s.failures = d.Metrics.Counter(fmt.Sprintf("pimentospread_keys_reload_failures_total{use=%q}", d.Use))
	s.reloads = d.Metrics.Counter(fmt.Sprintf("pimentospread_keys_reloads_total{use=%q}", d.Use))
	d.Metrics.Gauge(fmt.Sprintf("pimentospread_keys_certificate_expiry_seconds{use=%q}", d.Use), func() float64 {
		return float64(s.current.Load().certificate.Leaf.NotAfter.Unix())
	})
	return s, nil
}

// pair parses the certificate and key and checks that the certificate belongs to
// this host. An expired certificate is accepted: peers reject it, but the host
// can still do what needs no peers.
func (s *Store) pair(c contents) (tls.Certificate, error) {
	p, err := s.deps.Files.pair(c)
	if err != nil || s.deps.Self == (Identity{}) {
		return p, err
	}
	i, err := IdentityOf(p.Leaf)
	if err != nil {
		return p, err
	}
	if i != s.deps.Self {
		err := pimentospread.ErrInvalid.New("the certificate is for %s, the settings are for %s", i, s.deps.Self)
		return p, pimentospread.At(err, "load keys", s.deps.Files.CertificatePath)
	}
	return p, nil
}

// load returns the newest valid set. A rotation replaces several files, so a
// certificate may briefly not match its key: the previous pair then stays in use
// until a later handshake reads the files again. The authorities are updated
// independently, so that an incomplete pair does not delay them.
func (s *Store) load() *keySet {
	current := s.current.Load()
	c, err := s.deps.Files.read()
	if err != nil {
		s.reloadFailed(err)
		return current
	}
	if c.equal(current.contents) {
		return current
	}
	next := *current
	if pair, err := s.pair(c); err != nil {
		s.reloadFailed(err)
	} else {
		next.certificate, next.contents.certificate, next.contents.key = pair, c.certificate, c.key
	}
	if authority, err := s.deps.Files.authorities(c); err != nil {
		s.reloadFailed(err)
	} else {
		next.authority, next.contents.authority = authority, c.authority
	}
	if next.contents.equal(current.contents) {
		return current
	}
	s.current.Store(&next)
	s.reloads.Add(1)
	s.deps.Log.Info("keys reloaded", "use", s.deps.Use, "valid_until", next.certificate.Leaf.NotAfter)
	return &next
}

func (s *Store) reloadFailed(err error) {
	s.failures.Add(1)
	s.deps.Log.Warn("reload of changed keys failed", "use", s.deps.Use, "error", err)
}

// now returns the time at which certificates are checked.
func (s *Store) now() time.Time { return s.deps.Clock.Now() }

// PeerServer returns the TLS configuration for connections from hosts of the cell.
func (s *Store) PeerServer() *tls.Config {
	base := s.base()
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := s.load()
		c := s.peerBase()
		c.Certificates = []tls.Certificate{current.certificate}
		// VerifyConnection checks the chain and the identity.
		c.ClientAuth = tls.RequireAnyClientCert
		c.VerifyConnection = func(state tls.ConnectionState) error {
			_, err := s.verify(current, state, x509.ExtKeyUsageClientAuth)
			return err
		}
		return c, nil
	}
	return base
}

// PeerClient returns the TLS configuration for one connection to a host of the cell.
func (s *Store) PeerClient(host pimentospread.HostID) *tls.Config {
	current := s.load()
	c := s.peerBase()
	c.Certificates = []tls.Certificate{current.certificate}
	// The standard verification checks DNS names or addresses, and a host is
	// identified by neither. VerifyConnection checks the chain and the identity.
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(state tls.ConnectionState) error {
		i, err := s.verify(current, state, x509.ExtKeyUsageServerAuth)
		if err != nil {
			return err
		}
		if i.Host != host {
			return refusal(CauseHost, string(host), "the certificate is for host %q", i.Host)
		}
		return nil
	}
	return c
}

// AdminServer returns the TLS configuration of the administration API. If an
// authority is set, clients must present a certificate of it.
func (s *Store) AdminServer() *tls.Config {
	base := s.base()
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := s.load()
		c := s.base()
		c.Certificates = []tls.Certificate{current.certificate}
		if current.authority != nil {
			c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, current.authority
		}
		return c, nil
	}
	return base
}

// PeerIdentity returns the identity of the remote host of a connection and how
// long its certificate stays valid.
func (s *Store) PeerIdentity(state tls.ConnectionState) (Identity, time.Duration, error) {
	leaf := state.PeerCertificates[0]
	i, err := IdentityOf(leaf)
	return i, leaf.NotAfter.Sub(s.now()), err
}

// base returns a configuration without session tickets, since a resumed session
// would skip the check of the certificate.
func (s *Store) base() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Time: s.now, SessionTicketsDisabled: true}
}

// peerBase allows only X25519 for the key exchange. The hybrid exchange that the
// library prefers adds 2.3 KB to each handshake, and the control traffic of a
// host is limited.
func (s *Store) peerBase() *tls.Config {
	c := s.base()
	c.CurvePreferences = []tls.CurveID{tls.X25519}
	return c
}

// verify checks the certificate chain of the remote side and returns its identity.
func (s *Store) verify(current *keySet, state tls.ConnectionState, usage x509.ExtKeyUsage) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, refusal(CauseCertificate, "", "the peer presented no certificate")
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: current.authority, Intermediates: intermediates, CurrentTime: s.now(), KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Identity{}, refusal(chainErrorCause(err), leaf.Subject.CommonName, "the certificate is invalid: %s", err)
	}
	i, err := IdentityOf(leaf)
	if err != nil {
		return Identity{}, err
	}
	if i.Cell != s.deps.Self.Cell {
		return Identity{}, refusal(CauseCell, i.String(), "the certificate is for cell %q, this host is in cell %q", i.Cell, s.deps.Self.Cell)
	}
	return i, nil
}
