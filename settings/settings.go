// Package settings holds the settings of an entry host.
package settings

import (
	"log/slog"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/keys"
)

// Encapsulations of packets.
const (
	VXLAN = "vxlan"
	Token = "token"
)

// Settings are all that an entry host is told at its start. They are written
// in JSON; a field that is left out keeps its default.
type Settings struct {
	// Encapsulation is "vxlan", or "token" where each packet carries the token of its target.
	Encapsulation string `json:"Encapsulation"`
	// Host is the name of this entry host, unique in its cell. Required.
	Host pimentospread.HostID `json:"Host"`
	// Cell is the group of hosts that serve the same addresses. Required.
	Cell pimentospread.Cell `json:"Cell"`
	// Region is the region of the host, for logs and reports.
	Region pimentospread.Region `json:"Region"`
	// FailureDomain is the failure domain of the host. Required.
	FailureDomain pimentospread.FailureDomain `json:"FailureDomain"`
	// DataAddress takes packets over UDP from the fabric and, with vxlan, from the targets. With token, packets for callers go to its port at the caller.
	DataAddress netip.AddrPort `json:"DataAddress"`
	// RequestAddress is the UDP address from which requests are sent to targets. Used with vxlan.
	RequestAddress netip.AddrPort `json:"RequestAddress"`
	// PeerAddress is the TCP address for the other hosts of the cell.
	PeerAddress netip.AddrPort `json:"PeerAddress"`
	// AdvertisedPeerAddress is the address at which the other hosts reach PeerAddress, when it is another one, as behind a proxy or with a PeerAddress for all interfaces. Used with token.
	AdvertisedPeerAddress netip.AddrPort `json:"AdvertisedPeerAddress"`
	// PeerKeys are the PEM files that authenticate the hosts of the cell to each other with TLS 1.3. Without them links are plain TCP, which is allowed on loopback addresses only.
	PeerKeys keys.Files `json:"PeerKeys"`
	// ReadyAddress is the TCP address at which the fabric asks whether the host takes packets. Used with token; vxlan answers it at AdminAddress.
	ReadyAddress netip.AddrPort `json:"ReadyAddress"`
	// AdminAddress is the TCP address of the administration API, metrics and health.
	AdminAddress netip.AddrPort `json:"AdminAddress"`
	// AllowRemoteAdmin permits an AdminAddress that is not a loopback address.
	AllowRemoteAdmin bool `json:"AllowRemoteAdmin"`
	// AdminKeys are the PEM files with which the administration API serves HTTPS. With an AuthorityPath every client must show a certificate of it. Without a certificate the API is plain HTTP, which is allowed on loopback addresses only.
	AdminKeys keys.Files `json:"AdminKeys"`
	// TrustedNetwork permits plain connections on addresses that are not loopback addresses, where the platform keeps others away from them.
	TrustedNetwork bool `json:"TrustedNetwork"`
	// AdminToken is the bearer token that changes need. Without one every change is refused.
	AdminToken string `json:"AdminToken"`
	// FabricAddress is the UDP address to which packets for callers are sent. Required with vxlan.
	FabricAddress netip.AddrPort `json:"FabricAddress"`
	// PlatformURL is the base URL of the platform's object API. Required.
	PlatformURL string `json:"PlatformURL"`
	// Seeds are peers from which a host learns the cell while the platform is down.
	Seeds []Seed `json:"Seeds"`
	// FlowShards is the number of duties that steer flows (count).
	FlowShards int `json:"FlowShards"`
	// RingCapacity is the number of items in each ring between duties (count).
	RingCapacity int `json:"RingCapacity"`
	// ProbeTimeout is the time after which a probe without an answer has failed.
	ProbeTimeout pimentospread.Duration `json:"ProbeTimeout"`
	// ShutdownGrace bounds the time from SIGTERM to the end of the process.
	ShutdownGrace pimentospread.Duration `json:"ShutdownGrace"`
	// PlatformWait is how long the platform holds a watch. A change on a connection that has gone silent is noticed after this time and 0.7 s more.
	PlatformWait pimentospread.Duration `json:"PlatformWait"`
	// FlowLifetime is the age at which a flow may be forgotten. Packets of a target that has gone are still sent to it for this time.
	FlowLifetime pimentospread.Duration `json:"FlowLifetime"`
	// ReturnGrace is how long targets are kept that are missing after the platform was away. Those that live register again within about 2 s.
	ReturnGrace pimentospread.Duration `json:"ReturnGrace"`
	// RemoteCost is how much less loaded a target of another failure domain must be than one of the own to get a new flow (requests for each slot).
	RemoteCost float64 `json:"RemoteCost"`
	// ColdSpeed is the speed of a target that is warming up, where a warm one has 1 (ratio).
	ColdSpeed pimentospread.Ratio `json:"ColdSpeed"`
	// FlowLogShare is the number of flows of which a busy host logs one from its first to its last decision (count, rounded down to a power of 2). A host with up to 10 usual decisions a second logs all of them; unusual decisions are logged always, up to 200 lines a second.
	FlowLogShare int `json:"FlowLogShare"`
	// MemoryLimitMB is the memory that the process may use (MB). Zero means no limit.
	MemoryLimitMB float64 `json:"MemoryLimitMB"`
	// LogFormat is "json" or "text".
	LogFormat string `json:"LogFormat"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"LogLevel"`
	// TracePath, when set, is the file to which the host writes a trace of its events.
	TracePath string `json:"TracePath"`
}

// Seed is a peer that is known without the platform.
type Seed struct {
	// Host is the name of the peer. Needed with vxlan.
	Host pimentospread.HostID `json:"Host"`
	// PeerAddress is the peer's TCP address.
	PeerAddress netip.AddrPort `json:"PeerAddress"`
}

// DefaultSettings returns the settings of a host that is told nothing.
func DefaultSettings() Settings {
	loopback := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0)
	return Settings{
		Encapsulation:  VXLAN,
		ReadyAddress:   loopback,
		PlatformWait:   pimentospread.Duration{Duration: 800 * time.Millisecond},
		FlowLifetime:   pimentospread.Duration{Duration: time.Minute},
		ReturnGrace:    pimentospread.Duration{Duration: 2500 * time.Millisecond},
		RemoteCost:     0.3,
		ColdSpeed:      0.5,
		FlowLogShare:   64,
		DataAddress:    loopback,
		RequestAddress: loopback,
		PeerAddress:    loopback,
		AdminAddress:   loopback,
		FlowShards:     2,
		RingCapacity:   4096,
		ProbeTimeout:   pimentospread.Duration{Duration: 500 * time.Millisecond},
		ShutdownGrace:  pimentospread.Duration{Duration: 30 * time.Second},
		LogFormat:      "json",
		LogLevel:       "info",
	}
}

// Level returns the log level. Settings that were checked have one.
func (s Settings) Level() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return slog.LevelInfo
	}
	return level
}
