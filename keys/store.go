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
	// Use names the keys in metrics and log lines, such as "peer".
	Use   string
	Files Files
	// Self is the host that the certificate must name. The zero value skips the check.
	Self    Identity
	Clock   pimentospread.Clock
	Metrics pimentospread.Metrics
	Log     *slog.Logger
}

// Store holds the keys of one use and reads them again when the files change.
type Store struct {
	deps Deps
	// current is replaced as a whole. Two handshakes that read the same change
	// at the same time store equal sets.
	current  atomic.Pointer[set]
	failures pimentospread.Counter
	reloads  pimentospread.Counter
}

// Open reads and checks the files.
func Open(d Deps) (*Store, error) {
	s := &Store{deps: d}
	c, err := d.Files.read()
	if err != nil {
		return nil, err
	}
	first := &set{contents: c}
	if first.certificate, err = s.pair(c); err != nil {
		return nil, err
	}
	if first.authority, err = d.Files.authorities(c); err != nil {
		return nil, err
	}
	// A check without authorities would trust those of the operating system.
	if d.Self != (Identity{}) && first.authority == nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("links between hosts need an authority file"), "load keys", "")
	}
	s.current.Store(first)
	s.failures = d.Metrics.Counter(fmt.Sprintf("pimentospread_keys_reload_failures_total{use=%q}", d.Use))
	s.reloads = d.Metrics.Counter(fmt.Sprintf("pimentospread_keys_reloads_total{use=%q}", d.Use))
	d.Metrics.Gauge(fmt.Sprintf("pimentospread_keys_certificate_expiry_seconds{use=%q}", d.Use), func() float64 {
		return float64(s.current.Load().certificate.Leaf.NotAfter.Unix())
	})
	return s, nil
}

// pair checks that the certificate stands for this host. An expired one is
// taken: the peers refuse it, and the host goes on with what it can do alone.
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
		err := pimentospread.ErrInvalid.New("the certificate is of %s, the settings are of %s", i, s.deps.Self)
		return p, pimentospread.At(err, "load keys", s.deps.Files.CertificatePath)
	}
	return p, nil
}

// load returns the newest sound set. A rotation replaces several files, so a
// certificate without its key is expected for a moment: the former pair stays in
// use and the next handshake reads the files again. The authorities are taken by
// themselves, so that a pair that is being replaced does not hold them back.
func (s *Store) load() *set {
	held := s.current.Load()
	c, err := s.deps.Files.read()
	if err != nil {
		s.failed(err)
		return held
	}
	if c.equal(held.contents) {
		return held
	}
	next := *held
	if pair, err := s.pair(c); err != nil {
		s.failed(err)
	} else {
		next.certificate, next.contents.certificate, next.contents.key = pair, c.certificate, c.key
	}
	if authority, err := s.deps.Files.authorities(c); err != nil {
		s.failed(err)
	} else {
		next.authority, next.contents.authority = authority, c.authority
	}
	if next.contents.equal(held.contents) {
		return held
	}
	s.current.Store(&next)
	s.reloads.Add(1)
	s.deps.Log.Info("keys read again", "use", s.deps.Use, "valid_until", next.certificate.Leaf.NotAfter)
	return &next
}

func (s *Store) failed(err error) {
	s.failures.Add(1)
	s.deps.Log.Warn("changed keys are not taken", "use", s.deps.Use, "error", err)
}

// now is the time at which certificates are checked.
func (s *Store) now() time.Time { return s.deps.Clock.Now() }

// PeerServer returns the configuration for connections from hosts of the cell.
func (s *Store) PeerServer() *tls.Config {
	base := s.base()
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		held := s.load()
		c := s.peerBase()
		c.Certificates = []tls.Certificate{held.certificate}
		// The chain is checked in VerifyConnection, with the identity.
		c.ClientAuth = tls.RequireAnyClientCert
		c.VerifyConnection = func(state tls.ConnectionState) error {
			_, err := s.verify(held, state, x509.ExtKeyUsageClientAuth)
			return err
		}
		return c, nil
	}
	return base
}

// PeerClient returns the configuration for one connection to a host of the cell.
func (s *Store) PeerClient(host pimentospread.HostID) *tls.Config {
	held := s.load()
	c := s.peerBase()
	c.Certificates = []tls.Certificate{held.certificate}
	// The names of the standard check are DNS names and addresses, and hosts
	// have neither of their own. VerifyConnection checks the chain and the identity.
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(state tls.ConnectionState) error {
		i, err := s.verify(held, state, x509.ExtKeyUsageServerAuth)
		if err != nil {
			return err
		}
		if i.Host != host {
			return refusal(CauseHost, string(host), "the certificate is of host %q", i.Host)
		}
		return nil
	}
	return c
}

// AdminServer returns the configuration of the administration API. With an
// authority, clients must show a certificate of it.
func (s *Store) AdminServer() *tls.Config {
	base := s.base()
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		held := s.load()
		c := s.base()
		c.Certificates = []tls.Certificate{held.certificate}
		if held.authority != nil {
			c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, held.authority
		}
		return c, nil
	}
	return base
}

// PeerIdentity returns the host at the other side of a connection and how long its certificate stays valid.
func (s *Store) PeerIdentity(state tls.ConnectionState) (Identity, time.Duration, error) {
	leaf := state.PeerCertificates[0]
	i, err := IdentityOf(leaf)
	return i, leaf.NotAfter.Sub(s.now()), err
}

// base has no session tickets: a resumed session would skip the check of the certificate.
func (s *Store) base() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Time: s.now, SessionTicketsDisabled: true}
}

// peerBase has one classical key exchange. The hybrid one that the library
// prefers adds 2.3 KB to each handshake, and the control traffic of a host is bounded.
func (s *Store) peerBase() *tls.Config {
	c := s.base()
	c.CurvePreferences = []tls.CurveID{tls.X25519}
	return c
}

// verify checks the chain of the other side and returns its identity.
func (s *Store) verify(held *set, state tls.ConnectionState, usage x509.ExtKeyUsage) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, refusal(CauseCertificate, "", "no certificate was shown")
	}
	leaf := state.PeerCertificates[0]
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: held.authority, Intermediates: between, CurrentTime: s.now(), KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Identity{}, refusal(causeOfChain(err), leaf.Subject.CommonName, "the certificate is refused: %s", err)
	}
	i, err := IdentityOf(leaf)
	if err != nil {
		return Identity{}, err
	}
	if i.Cell != s.deps.Self.Cell {
		return Identity{}, refusal(CauseCell, i.String(), "the certificate is of cell %q, this host is of cell %q", i.Cell, s.deps.Self.Cell)
	}
	return i, nil
}
