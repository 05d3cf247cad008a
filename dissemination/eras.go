package dissemination

import (
	"slices"

	"pimentospread"
)

// Hosts of releases before this one exchange revisions without the era of the store. On
// the wire, versions are therefore their revisions, and the eras follow in a field that
// those hosts skip.

// versions returns the versions in the message, always in the same order.
func (m *StateUpdate) versions() []*pimentospread.ObjectVersion {
	list := []*pimentospread.ObjectVersion{&m.Position.Targets, &m.Position.Peers}
	for i := range m.Updates {
		list = append(list, &m.Updates[i].From, &m.Updates[i].Revision)
	}
	if m.Peers != nil {
		list = append(list, &m.Peers.From, &m.Peers.Revision)
	}
	return list
}

// versions returns the versions in the message, always in the same order.
func (m *Subscribe) versions() []*pimentospread.ObjectVersion {
	return []*pimentospread.ObjectVersion{&m.Position.Targets, &m.Position.Peers}
}

// withoutEras returns a copy of the message whose versions are only revisions, and the
// eras that they had. There are no eras if all of them are zero.
func (m *StateUpdate) withoutEras() (*StateUpdate, []pimentospread.Era) {
	stripped := *m
	stripped.Updates = slices.Clone(m.Updates)
	if m.Peers != nil {
		peers := *m.Peers
		stripped.Peers = &peers
	}
	return &stripped, stripEras(stripped.versions())
}

// withoutEras is the same for a subscription.
func (m *Subscribe) withoutEras() (*Subscribe, []pimentospread.Era) {
	stripped := *m
	return &stripped, stripEras(stripped.versions())
}

// stripEras replaces the versions by their revisions and returns the eras, or nil if all
// are zero.
func stripEras(versions []*pimentospread.ObjectVersion) []pimentospread.Era {
	eras := make([]pimentospread.Era, len(versions))
	for i, v := range versions {
		eras[i] = v.Era()
		*v = pimentospread.NewObjectVersion(0, v.Revision())
	}
	if !slices.ContainsFunc(eras, func(e pimentospread.Era) bool { return e > 0 }) {
		return nil
	}
	return eras
}

// addEras gives the versions their eras. No eras leave them as they are.
func addEras(versions []*pimentospread.ObjectVersion, eras []pimentospread.Era) error {
	if len(eras) == 0 {
		return nil
	}
	if len(eras) != len(versions) {
		return pimentospread.At(pimentospread.ErrInvalid.New("message has %d eras for %d versions", len(eras), len(versions)), "decode", "")
	}
	for i, v := range versions {
		*v = pimentospread.NewObjectVersion(eras[i], v.Revision())
	}
	return nil
}

// hasEras reports whether any version has an era.
func hasEras(versions []*pimentospread.ObjectVersion) bool {
	return slices.ContainsFunc(versions, func(v *pimentospread.ObjectVersion) bool { return v.Era() > 0 })
}

// HasEras reports whether any version in the message has an era. Hosts of earlier releases
// send none.
func (m *StateUpdate) HasEras() bool { return hasEras(m.versions()) }

// AssumeEras gives versions without an era that of the receiver's position.
func (m *StateUpdate) AssumeEras(p Position) {
	assumeEra(p.Targets.Era(), &m.Position.Targets)
	assumeEra(p.Peers.Era(), &m.Position.Peers)
	for i := range m.Updates {
		assumeEra(p.Targets.Era(), &m.Updates[i].From, &m.Updates[i].Revision)
	}
	if m.Peers != nil {
		assumeEra(p.Peers.Era(), &m.Peers.From, &m.Peers.Revision)
	}
}

// AssumeEras gives versions without an era that of the receiver's position.
func (m *Subscribe) AssumeEras(p Position) {
	assumeEra(p.Targets.Era(), &m.Position.Targets)
	assumeEra(p.Peers.Era(), &m.Position.Peers)
}

// assumeEra sets the era of the versions that have none. Zero versions stay, because they
// stand for no state.
func assumeEra(era pimentospread.Era, versions ...*pimentospread.ObjectVersion) {
	for _, v := range versions {
		if *v > 0 && v.Era() == 0 {
			*v = pimentospread.NewObjectVersion(era, v.Revision())
		}
	}
}
