package configcheck

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"pimentospread"
)

// Change is what happened to an entry.
type Change string

// Changes of entries.
const (
	Added   Change = "Added"
	Removed Change = "Removed"
	Changed Change = "Changed"
)

// Entry is a type of entry of a configuration.
type Entry string

// Types of entries.
const (
	EntryRoute   Entry = "Route"
	EntryService Entry = "Service"
	// EntryLimits holds the limits of the whole configuration. It has no name.
	EntryLimits Entry = "Limits"
)

// Difference is one entry that differs between two configurations.
type Difference struct {
	Entry  Entry  `json:"Entry"`
	Name   string `json:"Name"`
	Change Change `json:"Change"`
	// Fields holds the fields that differ. It is empty for added and removed entries.
	Fields []FieldChange `json:"Fields,omitempty"`
	// Effect is what callers notice.
	Effect string `json:"Effect"`
}

// FieldChange is a field with its former and its new value as text.
type FieldChange struct {
	Field string `json:"Field"`
	From  string `json:"From"`
	To    string `json:"To"`
}

// Compare returns the differences between two configurations: removed, then added and changed
// routes, services in the same order, and limits.
func Compare(from, to pimentospread.Configuration) []Difference {
	differences := append(compareRoutes(from, to), compareServices(from.Services, to.Services)...)
	var fields fieldChanges
	fields.add("IdleTimeout", from.IdleTimeout, to.IdleTimeout, "the state of idle flows may be dropped after another time")
	if len(fields.changes) > 0 {
		differences = append(differences, fields.difference(EntryLimits, ""))
	}
	return differences
}

func compareRoutes(from, to pimentospread.Configuration) []Difference {
	var differences []Difference
	before, after := routesByName(from.Routes), routesByName(to.Routes)
	kept := routesByAddress(to.Routes)
	for _, r := range lastOfName(from.Routes, routeName) {
		if _, ok := after[r.Name]; !ok {
			differences = append(differences, Difference{Entry: EntryRoute, Name: string(r.Name), Change: Removed, Effect: removalEffect(r.Address, kept)})
		}
	}
	for _, r := range lastOfName(to.Routes, routeName) {
		old, ok := before[r.Name]
		if !ok {
			differences = append(differences, Difference{
				Entry: EntryRoute, Name: string(r.Name), Change: Added,
				Effect: additionEffect(r),
			})
		} else if !old.Equal(r) {
			differences = append(differences, routeDifference(old, r, kept))
		}
	}
	return differences
}

// removalEffect describes what happens to the flows of an address that a route no longer has.
// Hosts reset flows by their address, so another route keeps them open.
func removalEffect(address netip.AddrPort, kept map[netip.AddrPort]pimentospread.RouteName) string {
	if !address.IsValid() {
		return "no flows change, because its former address is invalid"
	}
	if name, ok := kept[address]; ok {
		return fmt.Sprintf("open flows to %s stay open and belong to route %q", address, name)
	}
	return fmt.Sprintf("open and new flows to %s are reset", address)
}

// refused is the effect of a route whose address is not valid.
const refused = "hosts refuse the configuration, because the address is invalid"

func additionEffect(r pimentospread.Route) string {
	if !r.Address.IsValid() {
		return refused
	}
	return fmt.Sprintf("new flows to %s go to %s", r.Address, splitText(r.Services))
}

func addressEffect(from, to netip.AddrPort, kept map[netip.AddrPort]pimentospread.RouteName) string {
	if !to.IsValid() {
		return refused
	}
	return removalEffect(from, kept) + ", and new flows are accepted at " + to.String()
}

// addressText describes an address. The address of a route is not valid if it was not decoded.
func addressText(address netip.AddrPort) string {
	if !address.IsValid() {
		return "invalid"
	}
	return address.String()
}

func routeDifference(old, r pimentospread.Route, kept map[netip.AddrPort]pimentospread.RouteName) Difference {
	var f fieldChanges
	f.add("Address", addressText(old.Address), addressText(r.Address), addressEffect(old.Address, r.Address, kept))
	f.add("Services", splitText(old.Services), splitText(r.Services), "new flows go to "+splitText(r.Services)+", and open flows stay at their targets")
	f.add("Timeout", old.Timeout, r.Timeout, shorterOrLonger("requests may take", old.Timeout, r.Timeout))
	f.add("Latency", old.Latency, r.Latency, shorterOrLonger("a response may take", old.Latency, r.Latency)+" to count as in time")
	f.add("Priority", old.Priority, r.Priority, priorityEffect(old.Priority, r.Priority))
	f.add("Idempotent", old.Idempotent, r.Idempotent, idempotentEffect(r.Idempotent))
	return f.difference(EntryRoute, string(r.Name))
}

func shorterOrLonger(what string, from, to time.Duration) string {
	if to < from {
		return what + " less time"
	}
	return what + " more time"
}

func priorityEffect(from, to pimentospread.Priority) string {
	if to < from {
		return "under overload flows of the route are refused later"
	}
	return "under overload flows of the route are refused earlier"
}

func idempotentEffect(idempotent bool) string {
	if idempotent {
		return "requests may run more than once"
	}
	return "requests may no longer run more than once"
}

func compareServices(from, to []pimentospread.Service) []Difference {
	var differences []Difference
	before, after := servicesByName(from), servicesByName(to)
	for _, s := range lastOfName(from, serviceName) {
		if _, ok := after[s.Name]; !ok {
			differences = append(differences, Difference{Entry: EntryService, Name: string(s.Name), Change: Removed, Effect: "its targets have no limits"})
		}
	}
	for _, s := range lastOfName(to, serviceName) {
		old, ok := before[s.Name]
		if !ok {
			differences = append(differences, Difference{Entry: EntryService, Name: string(s.Name), Change: Added, Effect: "its limits hold for its targets"})
		} else if old != s {
			differences = append(differences, serviceDifference(old, s))
		}
	}
	return differences
}

func serviceDifference(old, s pimentospread.Service) Difference {
	var f fieldChanges
	f.add("WarmupRate", old.WarmupRate, s.WarmupRate, "cold targets get new flows at another rate")
	f.add("Warmup", old.Warmup, s.Warmup, "targets count as cold for another time after their start")
	f.add("MaxConnections", old.MaxConnections, s.MaxConnections, "targets hold another number of flows")
	return f.difference(EntryService, string(s.Name))
}

// fieldChanges collects the fields of an entry that differ, and their effects.
type fieldChanges struct {
	changes []FieldChange
	effects []string
}

// add records the field if its values differ. Values must be comparable.
func (f *fieldChanges) add(field string, from, to any, effect string) {
	if from == to {
		return
	}
	f.changes = append(f.changes, FieldChange{Field: field, From: fmt.Sprint(from), To: fmt.Sprint(to)})
	f.effects = append(f.effects, effect)
}

func (f *fieldChanges) difference(entry Entry, name string) Difference {
	return Difference{Entry: entry, Name: name, Change: Changed, Fields: f.changes, Effect: strings.Join(f.effects, "; ")}
}

// splitText describes the services of a route with their weights, such as "a 90, b 10".
func splitText(services []pimentospread.WeightedService) string {
	if len(services) == 1 {
		return string(services[0].Service)
	}
	parts := make([]string, 0, len(services))
	for _, s := range services {
		parts = append(parts, fmt.Sprintf("%s %d", s.Service, s.Weight))
	}
	return strings.Join(parts, ", ")
}

func routeName(r pimentospread.Route) pimentospread.RouteName { return r.Name }

func serviceName(s pimentospread.Service) pimentospread.ServiceName { return s.Name }

// lastOfName returns the entries without those whose name a later entry has too.
func lastOfName[T any, N comparable](entries []T, name func(T) N) []T {
	last := make(map[N]int, len(entries))
	for i, e := range entries {
		last[name(e)] = i
	}
	var kept []T
	for i, e := range entries {
		if last[name(e)] == i {
			kept = append(kept, e)
		}
	}
	return kept
}

func routesByName(routes []pimentospread.Route) map[pimentospread.RouteName]pimentospread.Route {
	m := make(map[pimentospread.RouteName]pimentospread.Route, len(routes))
	for _, r := range routes {
		m[r.Name] = r
	}
	return m
}

func routesByAddress(routes []pimentospread.Route) map[netip.AddrPort]pimentospread.RouteName {
	m := make(map[netip.AddrPort]pimentospread.RouteName, len(routes))
	for _, r := range routes {
		m[r.Address] = r.Name
	}
	return m
}

func servicesByName(services []pimentospread.Service) map[pimentospread.ServiceName]pimentospread.Service {
	m := make(map[pimentospread.ServiceName]pimentospread.Service, len(services))
	for _, s := range services {
		m[s.Name] = s
	}
	return m
}
