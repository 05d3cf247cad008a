package host

import (
	"crypto/tls"
	"net"

	"pimentospread/keys"
)

// openKeys loads the key files in the settings. It sets adminTLS and returns the
// keys for peer connections; either is nil if the settings have no files for it.
func (h *Host) openKeys() (*keys.Store, error) {
	if !h.settings.AdminKeys.IsZero() {
		admin, err := keys.Open(keys.Deps{
			Use: "admin", Files: h.settings.AdminKeys, Clock: h.clock, Metrics: h.metrics, Log: h.log,
		})
		if err != nil {
			return nil, err
		}
		h.adminTLS = admin.AdminServer()
	}
	if h.settings.PeerKeys.IsZero() {
		return nil, nil
	}
	return keys.Open(keys.Deps{
		Use: "peer", Files: h.settings.PeerKeys, Clock: h.clock, Metrics: h.metrics, Log: h.log,
		Self: keys.Identity{Cell: h.settings.Cell, Host: h.settings.Host},
	})
}

// adminListener returns the listener of the administration API, with TLS if keys
// for it were loaded.
func (h *Host) adminListener() net.Listener {
	if h.adminTLS == nil {
		return h.sockets.admin
	}
	return tls.NewListener(h.sockets.admin, h.adminTLS)
}
