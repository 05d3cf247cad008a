package routing

import (
	"time"

	"pimentospread"
)

// Delta is the difference between two versions of the configuration. If From is
// zero it holds the whole configuration To.
type Delta struct {
	From, To    pimentospread.ConfigurationVersion
	IdleTimeout time.Duration
	Changed     []pimentospread.Route
	Removed     []pimentospread.RouteName
	// Services holds all services of To. Hosts of earlier releases read a delta as exactly the
	// fields above, so it is encoded apart.
	Services []pimentospread.Service `msgpack:"-"`
	// Priorities holds those of routes that did not change, except the highest. A host that got
	// From by way of a host of an earlier release lacks them. It is encoded apart, too.
	Priorities map[pimentospread.RouteName]pimentospread.Priority `msgpack:"-"`
}

// Diff returns the delta that turns the configuration from into to.
func Diff(from, to pimentospread.Configuration) Delta {
	d := Delta{From: from.Version, To: to.Version, IdleTimeout: to.IdleTimeout, Services: to.Services}
	previous := byName(from.Routes)
	for _, r := range to.Routes {
		if old, ok := previous[r.Name]; !ok || !old.Equal(r) {
			d.Changed = append(d.Changed, r)
		} else if r.Priority != 0 {
			if d.Priorities == nil {
				d.Priorities = map[pimentospread.RouteName]pimentospread.Priority{}
			}
			d.Priorities[r.Name] = r.Priority
		}
		delete(previous, r.Name)
	}
	for _, r := range from.Routes {
		if _, removed := previous[r.Name]; removed {
			d.Removed = append(d.Removed, r.Name)
		}
	}
	return d
}

// Apply returns the configuration that results from applying the delta to c. It
// reports false if the delta starts at another version than that of c.
func (d Delta) Apply(c pimentospread.Configuration) (pimentospread.Configuration, bool) {
	if d.From != 0 && d.From != c.Version {
		return pimentospread.Configuration{}, false
	}
	var base []pimentospread.Route
	if d.From != 0 {
		base = c.Routes
	}
	changed, removed := byName(d.Changed), map[pimentospread.RouteName]bool{}
	for _, name := range d.Removed {
		removed[name] = true
	}
	next := pimentospread.Configuration{Version: d.To, IdleTimeout: d.IdleTimeout, Services: d.Services}
	for _, r := range base {
		if replacement, ok := changed[r.Name]; ok {
			r = replacement
			delete(changed, r.Name)
		} else if priority, ok := d.Priorities[r.Name]; ok {
			r.Priority = priority
		}
		if !removed[r.Name] {
			next.Routes = append(next.Routes, r)
		}
	}
	for _, r := range d.Changed {
		if _, added := changed[r.Name]; added {
			next.Routes = append(next.Routes, r)
		}
	}
	return next, true
}

func byName(routes []pimentospread.Route) map[pimentospread.RouteName]pimentospread.Route {
	m := make(map[pimentospread.RouteName]pimentospread.Route, len(routes))
	for _, r := range routes {
		m[r.Name] = r
	}
	return m
}
