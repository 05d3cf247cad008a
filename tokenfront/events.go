// Package tokenfront runs an entry host whose packets carry the token of their
// target. It starts the duties and joins them by rings.
package tokenfront

import (
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/dissemination"
)

// event is what the belief duty hears.
type event interface{ isEvent() }

// targetsHeard is an update of the registrations.
type targetsHeard struct {
	update discovery.Update
	// unreadable names entries that could not be read, with the reason.
	unreadable []unreadableEntry
}

type unreadableEntry struct {
	name   pimentospread.RegistrationName
	reason error
}

// configurationHeard is a configuration as operators wrote it.
type configurationHeard struct {
	configuration pimentospread.Configuration
}

// contact says whether a call to the platform was answered.
type contact struct {
	kind pimentospread.ObjectKind
	at   time.Time
	// err is nil when the platform answered, which proves that all changes up to then were told.
	err error
}

// hostsHeard is an update of the hosts of the system.
type hostsHeard struct{ update dissemination.PeersUpdate }

// message is what another host sent.
type message struct{ inbound pimentospread.Inbound }

// leaving says that this host is about to stop.
type leaving struct{}

func (hostsHeard) isEvent()         {}
func (message) isEvent()            {}
func (leaving) isEvent()            {}
func (targetsHeard) isEvent()       {}
func (configurationHeard) isEvent() {}
func (contact) isEvent()            {}
