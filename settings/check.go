package settings

import (
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strings"

	"pimentospread"
	"pimentospread/keys"
	"pimentospread/strict"
)

const (
	maxFlowShards   = 64
	maxRingCapacity = 1 << 20
	// maxMemoryMB is 1 TB, so that a value given in bytes is rejected.
	maxMemoryMB = 1 << 20
	// maxLinkMbps is 1 Tbit/s, so that a value given in bits is rejected.
	maxLinkMbps = 1_000_000
)

// Decode decodes settings; fields that are absent keep their defaults. It returns
// all faults at once, also for unknown fields. An error means that data is not JSON.
func Decode(data []byte) (Settings, []pimentospread.Fault, error) {
	s := DefaultSettings()
	faults, err := strict.Decode(data, &s)
	if err != nil {
		return Settings{}, nil, err
	}
	undecoded := map[string]bool{}
	for _, f := range faults {
		undecoded[f.Path] = true
	}
	for _, f := range s.Check() {
		// A value that could not be decoded has a fault already. Its default may fail
		// the check, which would be a misleading second fault.
		if !undecoded[f.Path] {
			faults = append(faults, f)
		}
	}
	return s, faults, nil
}

// Check returns all faults of the settings, in the order of the fields.
func (s Settings) Check() []pimentospread.Fault {
	var c checker
	c.required("Host", string(s.Host))
	c.required("FailureDomain", string(s.FailureDomain))
	c.address("DataAddress", s.DataAddress)
	switch s.Encapsulation {
	case VXLAN:
		s.checkVXLAN(&c)
	case Token:
		s.checkToken(&c)
	default:
		c.fault("Encapsulation", "%q is neither %s nor %s", s.Encapsulation, VXLAN, Token)
	}
	c.address("PeerAddress", s.PeerAddress)
	c.address("AdminAddress", s.AdminAddress)
	if s.AdminAddress.IsValid() && !s.AdminAddress.Addr().IsLoopback() && !s.AllowRemoteAdmin {
		c.fault("AdminAddress", "%s is not a loopback address and AllowRemoteAdmin is false", s.AdminAddress)
	}
	s.checkLinks(&c)
	if u, err := url.Parse(s.PlatformURL); err != nil || u.Host == "" {
		c.fault("PlatformURL", "%q is not a URL with a host", s.PlatformURL)
	}
	c.positive("ShutdownGrace", s.ShutdownGrace)
	c.between("RingCapacity", s.RingCapacity, 1, maxRingCapacity)
	if !(s.MemoryLimitMB >= 0 && s.MemoryLimitMB <= maxMemoryMB) {
		c.fault("MemoryLimitMB", "is %v, must be between 0 and %d", s.MemoryLimitMB, maxMemoryMB)
	}
	if !(s.LinkMbps >= 0 && s.LinkMbps <= maxLinkMbps) {
		c.fault("LinkMbps", "is %v, must be between 0 and %d", s.LinkMbps, maxLinkMbps)
	}
	s.checkLog(&c)
	sortByField(c.faults)
	return c.faults
}

// sortByField sorts faults by the order of the fields of Settings.
func sortByField(faults []pimentospread.Fault) {
	position := map[string]int{}
	for i, f := range reflect.VisibleFields(reflect.TypeFor[Settings]()) {
		position[f.Name] = i
	}
	field := func(f pimentospread.Fault) int {
		name, _, _ := strings.Cut(f.Path, ".")
		name, _, _ = strings.Cut(name, "[")
		return position[name]
	}
	slices.SortStableFunc(faults, func(a, b pimentospread.Fault) int { return field(a) - field(b) })
}

// checkVXLAN checks the fields that are used only with VXLAN.
func (s Settings) checkVXLAN(c *checker) {
	c.required("Cell", string(s.Cell))
	c.address("RequestAddress", s.RequestAddress)
	if !s.FabricAddress.IsValid() || s.FabricAddress.Port() == 0 {
		c.fault("FabricAddress", "%q is not an address with a port", s.FabricAddress)
	}
	c.between("FlowShards", s.FlowShards, 1, maxFlowShards)
	c.positive("ProbeTimeout", s.ProbeTimeout)
}

// checkToken checks the fields that are used only with tokens.
func (s Settings) checkToken(c *checker) {
	c.address("ReadyAddress", s.ReadyAddress)
	c.positive("PlatformWait", s.PlatformWait)
	c.positive("FlowLifetime", s.FlowLifetime)
	c.positive("ReturnGrace", s.ReturnGrace)
	if !(s.RemoteCost >= 0) {
		c.fault("RemoteCost", "is %v, must not be below 0", s.RemoteCost)
	}
	c.share("ColdSpeed", s.ColdSpeed)
	if advertised := s.AdvertisedPeerAddress; advertised.Addr().IsUnspecified() && advertised.IsValid() {
		c.fault("AdvertisedPeerAddress", "%s is not the address of a single host", advertised)
	} else if s.PeerAddress.Addr().IsUnspecified() && s.PeerAddress.IsValid() && !advertised.IsValid() {
		c.fault("AdvertisedPeerAddress", "is required when PeerAddress is %s", s.PeerAddress)
	}
	c.between("FlowLogShare", s.FlowLogShare, 1, math.MaxInt32)
}

// checkLinks checks the key files, and that connections without keys stay on
// loopback addresses or a trusted network.
func (s Settings) checkLinks(c *checker) {
	c.keyFiles("PeerKeys", s.PeerKeys, true)
	c.keyFiles("AdminKeys", s.AdminKeys, false)
	for i, seed := range s.Seeds {
		if s.Encapsulation == VXLAN {
			c.required(fmt.Sprintf("Seeds[%d].Host", i), string(seed.Host))
		}
		c.address(fmt.Sprintf("Seeds[%d].PeerAddress", i), seed.PeerAddress)
	}
	if s.TrustedNetwork {
		return
	}
	c.requireKeys("PeerAddress", s.PeerAddress, "PeerKeys", s.PeerKeys)
	c.requireKeys("AdminAddress", s.AdminAddress, "AdminKeys", s.AdminKeys)
	for i, seed := range s.Seeds {
		c.requireKeys(fmt.Sprintf("Seeds[%d].PeerAddress", i), seed.PeerAddress, "PeerKeys", s.PeerKeys)
	}
}

func (s Settings) checkLog(c *checker) {
	if s.LogFormat != "json" && s.LogFormat != "text" {
		c.fault("LogFormat", "%q is neither json nor text", s.LogFormat)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		c.fault("LogLevel", "%q is not one of debug, info, warn, error", s.LogLevel)
	}
}

// checker collects faults.
type checker struct {
	faults []pimentospread.Fault
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, pimentospread.Faultf(path, format, args...))
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.fault(path, "is required")
	}
}

func (c *checker) address(path string, value netip.AddrPort) {
	if !value.IsValid() {
		c.fault(path, "is not an address with a port")
	}
}

// keyFiles requires either no file or all of them. The authority file is
// required only if authority is set.
func (c *checker) keyFiles(path string, f keys.Files, authority bool) {
	if f.IsZero() {
		return
	}
	c.required(path+".CertificatePath", f.CertificatePath)
	c.required(path+".KeyPath", f.KeyPath)
	if authority {
		c.required(path+".AuthorityPath", f.AuthorityPath)
	}
}

// requireKeys reports an address that is not a loopback address when no key files
// are set, since nothing authenticates the other end of its connections then.
func (c *checker) requireKeys(path string, value netip.AddrPort, group string, f keys.Files) {
	if value.IsValid() && f.IsZero() && !value.Addr().Unmap().IsLoopback() {
		c.fault(path, "%s is not a loopback address and %s is not set", value, group)
	}
}

func (c *checker) between(path string, value, low, high int) {
	if value < low || value > high {
		c.fault(path, "is %d, must be between %d and %d", value, low, high)
	}
}

func (c *checker) positive(path string, value pimentospread.Duration) {
	if value.Duration <= 0 {
		c.fault(path, "is %s, must be above 0s", value)
	}
}

func (c *checker) share(path string, value pimentospread.Ratio) {
	if !(value > 0 && value <= 1) {
		c.fault(path, "is %v, must be above 0 and at most 1", value)
	}
}
