// Package member implements the membership of a cell: the roster from the
// platform, the liveness of hosts, and the ranking of hosts for a key.
package member

import (
	"encoding/json"
	"net/netip"

	"pimentospread"
)

// HostState is the state of a host in the roster.
type HostState string

// States of a host in the roster.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
)

// Host is the roster entry of a host.
type Host struct {
	ID            pimentospread.HostID        `json:"ID" msgpack:"ID"`
	FailureDomain pimentospread.FailureDomain `json:"FailureDomain" msgpack:"FailureDomain"`
	PeerAddress   netip.AddrPort              `json:"PeerAddress" msgpack:"PeerAddress"`
	DataAddress   netip.AddrPort              `json:"DataAddress" msgpack:"DataAddress"`
	AdminAddress  netip.AddrPort              `json:"AdminAddress" msgpack:"AdminAddress"`
	State         HostState                   `json:"State" msgpack:"State"`
}

// Roster is the platform's list of the hosts of a cell. It can be out of date.
type Roster struct {
	// Version is the platform's object version of the list.
	Version pimentospread.ObjectVersion `json:"-" msgpack:"Version"`
	Hosts   []Host                      `json:"Hosts" msgpack:"Hosts"`
}

// Validate checks every host and that no host appears twice.
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

// Validate checks the required fields of a host.
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
		return pimentospread.At(pimentospread.ErrInvalid.New("host %q has unknown state %q", h.ID, h.State), step, "")
	default:
		return nil
	}
}

// DecodeRoster decodes a roster object of the platform. Unknown fields are ignored,
// because the platform writes this object, not an operator.
func DecodeRoster(o pimentospread.Object) (Roster, error) {
	var r Roster
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return Roster{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "roster %q cannot be decoded", o.Name), "decode", "")
	}
	r.Version = o.Version
	return r, r.Validate()
}

// Find returns the host with the given ID.
func (r Roster) Find(id pimentospread.HostID) (Host, bool) {
	for _, h := range r.Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return Host{}, false
}
