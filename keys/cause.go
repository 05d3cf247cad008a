package keys

import (
	"crypto/x509"
	"errors"
	"net"
	"net/netip"

	"github.com/joomcode/errorx"

	"pimentospread"
)

// Cause is the reason why a connection was refused.
type Cause string

// Causes of refused connections.
const (
	CauseAuthority   Cause = "authority"   // the authority is not trusted
	CauseExpired     Cause = "expired"     // the certificate has expired or is not yet valid
	CauseIdentity    Cause = "identity"    // the certificate does not contain exactly one host identity
	CauseCell        Cause = "cell"        // the certificate belongs to another cell
	CauseHost        Cause = "host"        // the certificate belongs to another host than the one dialed
	CauseCertificate Cause = "certificate" // the certificate is invalid for another reason
	CauseRemote      Cause = "remote"      // the peer ended the handshake with a TLS alert, such as for the certificate of this host
	CausePlaintext   Cause = "plain"       // this host has no keys and the peer is not on a loopback address
	CauseProtocol    Cause = "protocol"    // the peer does not support TLS 1.3, or the connection failed
)

// Causes returns all causes, for registering metrics.
func Causes() []Cause {
	return []Cause{
		CauseAuthority, CauseExpired, CauseIdentity, CauseCell, CauseHost, CauseCertificate, CauseRemote,
		CausePlaintext, CauseProtocol,
	}
}

var causeProperty = errorx.RegisterProperty("cause")

// NewPlaintextError returns the error for a host without keys that would have to
// dial a plain connection to an address that is not a loopback address.
func NewPlaintextError(host pimentospread.HostID, address netip.AddrPort) error {
	return refusal(CausePlaintext, string(host), "%s is not a loopback address and this host has no peer keys", address)
}

// refusal returns a refused error that CauseOf maps to the cause.
func refusal(cause Cause, peer, format string, args ...any) *errorx.Error {
	err := pimentospread.At(pimentospread.ErrRefused.New(format, args...), "verify", peer)
	return err.WithProperty(causeProperty, cause)
}

// CauseOf returns the cause of a failed handshake or dial.
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

// IsRemoteAlert reports whether the remote side ended the connection with a TLS alert.
func IsRemoteAlert(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "remote error"
}

// chainErrorCause returns the cause of a failed verification of a certificate chain.
func chainErrorCause(err error) Cause {
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
