// Package member holds the hosts of a cell: the roster that the platform
// lists, who is alive, and the rank of hosts for a key.
package member

import (
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
