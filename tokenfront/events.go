// Package tokenfront runs an entry host for packets that carry the token of their
// target. It starts the duties of the host, which are long-running goroutines, and
// connects them with rings.
package tokenfront

import (
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/dissemination"
	"pimentospread/evacuation"
)

// event is an input of the controller.
type event interface{ isEvent() }

// targetsUpdate is an update of the registrations of targets.
type targetsUpdate struct {
	update discovery.Update
	// invalid lists the registrations that could not be decoded.
	invalid []invalidRegistration
}

// invalidRegistration is a registration that could not be decoded, with the reason.
type invalidRegistration struct {
	name   pimentospread.RegistrationName
	reason error
}

// configurationUpdate is a configuration that was read from the platform.
type configurationUpdate struct {
	configuration pimentospread.Configuration
}

// evacuationsUpdate is an update of the evacuated failure domains from the platform.
type evacuationsUpdate struct{ update evacuation.Update }

// platformResult is the result of a call to the platform.
type platformResult struct {
	kind pimentospread.ObjectKind
	at   time.Time
	// err is nil if the call succeeded. All changes up to that time have then been
	// received.
	err error
}

// hostsUpdate is an update of the list of hosts.
type hostsUpdate struct{ update dissemination.PeersUpdate }

// peerMessage is a message from another host.
type peerMessage struct{ inbound pimentospread.Inbound }

// shutdownStarted is sent when this host starts its shutdown.
type shutdownStarted struct{}

// steeringEnded is sent when this host gets no more packets during its shutdown.
type steeringEnded struct{}

func (hostsUpdate) isEvent()         {}
func (evacuationsUpdate) isEvent()   {}
func (peerMessage) isEvent()         {}
func (shutdownStarted) isEvent()     {}
func (steeringEnded) isEvent()       {}
func (targetsUpdate) isEvent()       {}
func (configurationUpdate) isEvent() {}
func (platformResult) isEvent()      {}
