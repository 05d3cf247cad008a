package discovery

import (
	"time"

	"pimentospread"
)

// Target is one process of a target with its state in the directory.
type Target struct {
	Registration pimentospread.Registration
	Token        pimentospread.Token
	// Latest is the token of the latest process with the name and the address of this one. A
	// target accepts packets for any of its processes, so a flow that carries the token of
	// an earlier one may have opened at the latest one.
	Latest pimentospread.Token
	// Since is when this process was first listed. It is zero for a departed one.
	Since time.Time
	// WarmUntil is the end of the warm-up, during which the target is slow.
	WarmUntil time.Time
	// Departed is set if the registration was removed or replaced by that of a later
	// process. Such a target only gets packets of its open flows.
	Departed bool
}

// Targets returns the registered targets sorted by name, followed by the departed ones.
func (d *Directory) Targets() []Target {
	targets := make([]Target, 0, len(d.entries)+len(d.departed))
	for _, name := range d.names() {
		e := d.entries[name]
		targets = append(targets, Target{Registration: e.registration, Token: e.token, Latest: e.token, Since: e.since, WarmUntil: e.warmUntil})
	}
	last := d.lastDeparted()
	for token, target := range d.departed {
		targets = append(targets, Target{Registration: target.registration, Token: token, Latest: d.latest(target.registration, last), Departed: true})
	}
	return targets
}

// lastDeparted returns the process of each name that departed last.
func (d *Directory) lastDeparted() map[pimentospread.RegistrationName]departed {
	last := make(map[pimentospread.RegistrationName]departed, len(d.departed))
	for _, target := range d.departed {
		if other, ok := last[target.registration.Name]; !ok || target.after(other) {
			last[target.registration.Name] = target
		}
	}
	return last
}

// after reports whether the target departed after another process of the same name.
func (t departed) after(other departed) bool {
	if t.until.Equal(other.until) {
		return t.registration.Born > other.registration.Born
	}
	return t.until.After(other.until)
}

// latest returns the token of the latest process at the address of a departed one. A
// process at another address does not get the packets of its flows.
func (d *Directory) latest(r pimentospread.Registration, last map[pimentospread.RegistrationName]departed) pimentospread.Token {
	if e, ok := d.entries[r.Name]; ok && e.registration.Address == r.Address {
		return e.token
	}
	if l := last[r.Name].registration; l.Address == r.Address {
		return l.Token()
	}
	return r.Token()
}
