// Package settings defines, decodes and checks the settings of an entry host.
package settings

import (
	"log/slog"
	"net/netip"
	"time"

	"pimentospread"
	"pimentospread/keys"
)

// Values of Settings.Encapsulation.
const (
	VXLAN = "vxlan"
	Token = "token"
)

// Settings are the startup settings of an entry host, written as JSON. The
// comments of the fields become the reference page.
type Settings struct {
	// Encapsulation is the packet encapsulation: "vxlan", or "token", with which each packet carries the token of its target.
	Encapsulation string `json:"Encapsulation"`
	// Host is the name of this entry host, unique in its cell. Required.
	Host pimentospread.HostID `json:"Host"`
	// Cell is the name of the group of hosts that serve the same addresses. Required with vxlan.
	Cell pimentospread.Cell `json:"Cell"`
	// Region is the region of the host, shown in logs and reports.
	Region pimentospread.Region `json:"Region"`
	// FailureDomain is the failure domain of the host. Required.
	FailureDomain pimentospread.FailureDomain `json:"FailureDomain"`
	// DataAddress is the UDP address that receives packets from the fabric and, with vxlan, from the targets. With token, packets for a caller are sent to the same port number at the caller.
	DataAddress netip.AddrPort `json:"DataAddress"`
	// RequestAddress is the UDP address from which requests are sent to targets. Used with vxlan.
	RequestAddress netip.AddrPort `json:"RequestAddress"`
	// PeerAddress is the TCP address that accepts connections from the other hosts of the cell.
	PeerAddress netip.AddrPort `json:"PeerAddress"`
	// AdvertisedPeerAddress is the address at which the other hosts reach PeerAddress, if it differs, such as behind a proxy or when PeerAddress is for all interfaces. Used with token.
	AdvertisedPeerAddress netip.AddrPort `json:"AdvertisedPeerAddress"`
	// PeerKeys are the PEM files that authenticate the hosts of the cell to each other with TLS 1.3. Without them connections are plain TCP, which is allowed only on loopback addresses.
	PeerKeys keys.Files `json:"PeerKeys"`
	// ReadyAddress is the TCP address that answers the readiness checks of the fabric. Used with token; with vxlan, AdminAddress answers them.
	ReadyAddress netip.AddrPort `json:"ReadyAddress"`
	// AdminAddress is the TCP address of the administration API, metrics and health.
	AdminAddress netip.AddrPort `json:"AdminAddress"`
	// AllowRemoteAdmin allows an AdminAddress that is not a loopback address.
	AllowRemoteAdmin bool `json:"AllowRemoteAdmin"`
	// AdminKeys are the PEM files with which the administration API serves HTTPS. With an AuthorityPath every client must present a certificate of that authority. Without a certificate the API is plain HTTP, which is allowed only on loopback addresses.
	AdminKeys keys.Files `json:"AdminKeys"`
	// TrustedNetwork allows plain connections on addresses that are not loopback addresses. Set it only where the platform prevents access to them from outside.
	TrustedNetwork bool `json:"TrustedNetwork"`
	// AdminToken is the bearer token required for changes through the administration API. Without one every change is refused.
	AdminToken string `json:"AdminToken"`
	// FabricAddress is the UDP address to which packets for callers are sent. Required with vxlan.
	FabricAddress netip.AddrPort `json:"FabricAddress"`
	// PlatformURL is the base URL of the platform's object API. Required.
	PlatformURL string `json:"PlatformURL"`
	// Seeds are peers from which a host obtains the state of the cell while the platform is down.
	Seeds []Seed `json:"Seeds"`
	// FlowShards is the number of concurrent workers that assign flows to targets (count).
	FlowShards int `json:"FlowShards"`
	// RingCapacity is the capacity of each queue between the duties of a host (count).
	RingCapacity int `json:"RingCapacity"`
	// ProbeTimeout is the time after which an unanswered health probe counts as failed.
	ProbeTimeout pimentospread.Duration `json:"ProbeTimeout"`
	// ShutdownGrace is the maximum time from SIGTERM to the end of the process.
	ShutdownGrace pimentospread.Duration `json:"ShutdownGrace"`
	// PlatformWait is the time for which the platform holds a watch open. If a connection fails silently, changes are noticed after at most this time plus 0.7 s.
	PlatformWait pimentospread.Duration `json:"PlatformWait"`
	// FlowLifetime is the age at which a flow may be removed. Packets for a target that is no longer registered are still sent to it for this time.
	FlowLifetime pimentospread.Duration `json:"FlowLifetime"`
	// ReturnGrace is the time for which targets are kept that are missing after an outage of the platform. Running targets register again within about 2 s.
	ReturnGrace pimentospread.Duration `json:"ReturnGrace"`
	// Evacuations makes the host read which failure domains operators have evacuated on the platform, and send no new flows to their targets. Used with token.
	Evacuations bool `json:"Evacuations"`
	// RemoteCost is the amount by which a target in another failure domain must be less loaded than one in the same failure domain to get a new flow (requests per slot).
	RemoteCost float64 `json:"RemoteCost"`
	// ColdSpeed is the speed of a target that is warming up, relative to a warm one (ratio).
	ColdSpeed pimentospread.Ratio `json:"ColdSpeed"`
	// EvenLoad makes each host prefer a few targets of its failure domain for new flows, chosen so that all targets are preferred by the same number of hosts, and prefer targets that respond faster. Used with token.
	EvenLoad bool `json:"EvenLoad"`
	// LoadShedding enables that a host refuses new flows of a service that gets more work than its targets complete in time, those of the routes with the lowest priority first. Used with token.
	LoadShedding bool `json:"LoadShedding"`
	// FlowLogShare is the number of flows out of which a busy host logs one, with all its decisions (count, rounded down to a power of 2). A host with at most 10 usual decisions per second logs all of them. Unusual decisions are always logged, up to 200 lines per second.
	FlowLogShare int `json:"FlowLogShare"`
	// MemoryLimitMB is the memory limit of the process (MB). Zero means no limit.
	MemoryLimitMB float64 `json:"MemoryLimitMB"`
	// LinkMbps is the speed of the host's link (megabits per second). Hosts with faster links pass on changes to the others. Zero means that it is unknown. Used with token.
	LinkMbps float64 `json:"LinkMbps"`
	// LogFormat is "json" or "text".
	LogFormat string `json:"LogFormat"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"LogLevel"`
	// TracePath is the file to which the host writes a trace of its events. Empty means no trace.
	TracePath string `json:"TracePath"`
}

// Seed is a peer that is configured rather than discovered through the platform.
type Seed struct {
	// Host is the name of the peer. Required with vxlan.
	Host pimentospread.HostID `json:"Host"`
	// PeerAddress is the PeerAddress of the peer.
	PeerAddress netip.AddrPort `json:"PeerAddress"`
}

// DefaultSettings returns the default of each field.
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

// Level returns the log level, or Info if LogLevel is invalid, which Check rules out.
func (s Settings) Level() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return slog.LevelInfo
	}
	return level
}
