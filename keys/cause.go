package keys

import (
	"crypto/x509"
	"errors"
	"net"
	"net/netip"

	"github.com/joomcode/errorx"

	"pimentospread"
)

// Cause says why a connection was refused.
type Cause string

// Causes of refused connections.
const (
	CauseAuthority   Cause = "authority"   // the authority is not trusted
	CauseExpired     Cause = "expired"     // the certificate is expired or not yet valid
	CauseIdentity    Cause = "identity"    // the certificate names no host
	CauseCell        Cause = "cell"        // the certificate is of another cell
	CauseHost        Cause = "host"        // the certificate is of another host than the one dialed
	CauseCertificate Cause = "certificate" // the certificate is unfit for another reason
	CauseRemote      Cause = "remote"      // the peer refused the certificate of this host
	CausePlaintext   Cause = "plain"       // this host has no keys and the peer is not on loopback
	CauseProtocol    Cause = "protocol"    // the peer does not speak TLS 1.3, or the connection broke
)

// Causes returns all causes, for the registration of metrics.
func Causes() []Cause {
	return []Cause{
		CauseAuthority, CauseExpired, CauseIdentity, CauseCell, CauseHost, CauseCertificate, CauseRemote,
		CausePlaintext, CauseProtocol,
	}
}

var causeProperty = errorx.RegisterProperty("cause")

// NewPlaintextError returns the error of a connection that would be plain off loopback.
func NewPlaintextError(host pimentospread.HostID, address netip.AddrPort) error {
	return refusal(CausePlaintext, string(host), "%s is not a loopback address and this host has no peer keys", address)
}

func refusal(cause Cause, peer, format string, args ...any) *errorx.Error {
	err := pimentospread.At(pimentospread.ErrRefused.New(format, args...), "verify", peer)
	return err.WithProperty(causeProperty, cause)
}

// CauseOf returns the cause of a failed handshake.
func CauseOf(err error) Cause {
	if e := errorx.Cast(err); e != nil {
		if v, ok := e.Property(causeProperty); ok {
			cause, _ := v.(Cause)
			return cause
		}
	}
	if IsRemoteAlert(err) {
		return CauseRemote
	}
	return CauseProtocol
}

// IsRemoteAlert reports whether the other side ended the connection with an alert of TLS.
func IsRemoteAlert(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "remote error"
}

// causeOfChain returns the cause of a failed check of a certificate chain.
func causeOfChain(err error) Cause {
	var unknown x509.UnknownAuthorityError
	if errors.As(err, &unknown) {
		return CauseAuthority
	}
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return CauseExpired
	}
	return CauseCertificate
}
