package tokenfront

import (
	"log/slog"
	"time"

	"pimentospread"
	"pimentospread/dissemination"
	"pimentospread/evacuation"
	"pimentospread/platform"
)

// evacuationsWatchWait is how long the platform holds a watch of the evacuations. A silent watch
// is noticed after this time and 0.7 s, which leaves time within the bound of 5 s to list and
// to pass the change on.
const evacuationsWatchWait = 2 * time.Second

// translateEvacuations converts objects into an update of the evacuated failure domains. It skips
// objects without a name, because other hosts reject domains without one.
func translateEvacuations(full bool, from, revision pimentospread.ObjectVersion, changes []pimentospread.Change) (event, error) {
	last := map[pimentospread.FailureDomain]bool{}
	for _, c := range changes {
		if domain := platform.EvacuatedDomain(c.Object); domain != "" {
			last[domain] = !c.Deleted
		}
	}
	u := evacuation.Update{Full: full, From: from, Revision: revision}
	for domain, evacuated := range last {
		if evacuated {
			u.Present = append(u.Present, domain)
		} else {
			u.Removed = append(u.Removed, domain)
		}
	}
	return evacuationsUpdate{u}, nil
}

// handleEvacuations applies an update of the evacuations from the platform. It logs the first of
// several updates in a row that are ignored.
func (ctl *controller) handleEvacuations(u evacuation.Update) {
	if ctl.evacuations == nil {
		return
	}
	ignored := !ctl.evacuations.Accepts(u)
	if ignored && !ctl.ignoringEvacuations {
		ctl.log.Warn("update of the evacuations from the platform was ignored", "revision", ctl.evacuations.Revision(),
			"update_from", u.From, "update_revision", u.Revision, "full", u.Full)
	}
	if ctl.ignoringEvacuations = ignored; ignored {
		return
	}
	known := ctl.evacuations.Revision() > 0
	changes := ctl.evacuations.Apply(ctl.clock.Now(), u)
	ctl.changed = ctl.changed || !known
	ctl.recordEvacuations(changes)
}

// applyEvacuations applies the evacuations in a state update. The state of a host that has
// none confirms nothing.
func (ctl *controller) applyEvacuations(now time.Time, m *dissemination.StateUpdate) {
	if ctl.evacuations == nil {
		return
	}
	if m.Evacuations == nil {
		m.Age = max(m.Age, dissemination.UnconfirmedAge)
		return
	}
	known := ctl.evacuations.Revision() > 0
	changes := ctl.evacuations.ApplySnapshot(now, *m.Evacuations)
	ctl.changed = ctl.changed || !known && ctl.evacuations.Revision() > 0
	ctl.recordEvacuations(changes)
}

// recordEvacuations logs changes of the evacuations and marks the view as outdated.
func (ctl *controller) recordEvacuations(changes []evacuation.Change) {
	for _, c := range changes {
		ctl.changed = true
		text := "failure domain returned to service"
		if c.Evacuated {
			text = "failure domain evacuated"
		}
		ctl.log.Info(text, "target_domain", c.FailureDomain, "targets", ctl.directory.InDomain(c.FailureDomain),
			"revision", ctl.evacuations.Revision(), "source", ctl.exchange.source())
		if c.Evacuated && ctl.directory.InDomain(c.FailureDomain) == 0 {
			ctl.log.Warn("evacuated failure domain has no targets; check its name", "target_domain", c.FailureDomain,
				slog.Uint64("revision", ctl.evacuations.Revision().Revision()))
		}
	}
}

// evacuationsConfirmed returns up to when a view may count as confirmed by the last answer of the
// platform about evacuations that was not ignored. Their watch waits longer than the others.
func (ctl *controller) evacuationsConfirmed(confirmed time.Time) time.Time {
	if ctl.evacuations == nil {
		return confirmed
	}
	contact := ctl.contacts[platform.KindEvacuations]
	if contact == nil || ctl.evacuations.Revision() == 0 {
		return time.Time{}
	}
	if limit := contact.lastAnswer.Add(evacuationsWatchWait); limit.Before(confirmed) {
		return limit
	}
	return confirmed
}

// lacksEvacuations reports whether this host watches evacuations and has none yet, or older ones
// than the state update.
func (ctl *controller) lacksEvacuations(m *dissemination.StateUpdate) bool {
	if ctl.evacuations == nil || m.Evacuations == nil {
		return false
	}
	return ctl.evacuations.Revision() < m.Evacuations.Revision
}
