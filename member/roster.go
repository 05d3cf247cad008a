// Package member holds the hosts of a cell: the roster that the platform
// lists, who is alive, and the rank of hosts for a key.
package member

import (
	"encoding/json"
	"net/netip"

	"pimentospread"
)

// HostState is the state of a host in the platform's list.
type HostState string

// States of a host in the roster.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
)

// Host is one entry host of a cell.
type Host struct {
	ID            pimentospread.HostID        `json:"ID" msgpack:"ID"`
	FailureDomain pimentospread.FailureDomain `json:"FailureDomain" msgpack:"FailureDomain"`
	PeerAddress   netip.AddrPort              `json:"PeerAddress" msgpack:"PeerAddress"`
	DataAddress   netip.AddrPort              `json:"DataAddress" msgpack:"DataAddress"`
	AdminAddress  netip.AddrPort              `json:"AdminAddress" msgpack:"AdminAddress"`
	State         HostState                   `json:"State" msgpack:"State"`
}

// Roster is the platform's list of the hosts of a cell. It may lag.
type Roster struct {
	// Version is the object version under which the platform holds the list.
	Version pimentospread.ObjectVersion `json:"-" msgpack:"Version"`
	Hosts   []Host                      `json:"Hosts" msgpack:"Hosts"`
}

// Validate checks a roster that was received.
func (r Roster) Validate() error {
	const step = "check roster"
	seen := map[pimentospread.HostID]bool{}
	for _, h := range r.Hosts {
		if seen[h.ID] {
			return pimentospread.At(pimentospread.ErrInvalid.New("host %q appears twice", h.ID), step, "")
		}
		seen[h.ID] = true
		if err := h.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Validate checks a host that was received.
func (h Host) Validate() error {
	const step = "check host"
	switch {
	case h.ID == "":
		return pimentospread.At(pimentospread.ErrInvalid.New("host has no ID"), step, "")
	case h.FailureDomain == "":
		return pimentospread.At(pimentospread.ErrInvalid.New("host %q has no failure domain", h.ID), step, "")
	case !h.PeerAddress.IsValid() || h.PeerAddress.Port() == 0:
		return pimentospread.At(pimentospread.ErrInvalid.New("host %q has no peer address", h.ID), step, "")
	case h.State != Live && h.State != Leaving:
		return pimentospread.At(pimentospread.ErrInvalid.New("host %q has the state %q", h.ID, h.State), step, "")
	default:
		return nil
	}
}

// DecodeRoster reads the platform's list of hosts. Fields that the platform adds
// are ignored, because the platform and not the operator writes this object.
func DecodeRoster(o pimentospread.Object) (Roster, error) {
	var r Roster
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return Roster{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "roster %q is not valid", o.Name), "decode", "")
	}
	r.Version = o.Version
	return r, r.Validate()
}

// Find returns the host with the given identifier.
func (r Roster) Find(id pimentospread.HostID) (Host, bool) {
	for _, h := range r.Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return Host{}, false
}
