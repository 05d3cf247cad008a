package controlplane_test

import (
	"encoding/json"
	"time"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/member"
	"pimentospread/peer"
)

const simWait = 30 * time.Second

// simPlatform keeps one release and one roster and counts calls.
type simPlatform struct {
	sim  *sim
	up   bool
	lag  time.Duration
	lost float64
	// stale is the share of reads that return the release before the newest one.
	stale float64
	// before is the release before the newest one.
	release, before *controlplane.PackedRelease
	published       time.Time
	roster          member.Roster
	// versions of the objects.
	versions map[pimentospread.ObjectKind]pimentospread.ObjectVersion
	waiting  []*simWatch
	calls    int
	// delivered is called after a host has got a release.
	delivered func()
}

type simWatch struct {
	host  *simHost
	cell  *controlplane.Cell
	kind  pimentospread.ObjectKind
	after pimentospread.ObjectVersion
	delay time.Duration
	done  bool
	// waits numbers the calls, so that an old timeout does not end a new call.
	waits int
}

func (p *simPlatform) list(hosts []*simHost) {
	p.roster.Hosts = nil
	for _, h := range hosts {
		p.roster.Hosts = append(p.roster.Hosts, h.self)
	}
	p.roster.Version++
	p.changed(pimentospread.KindRoster, p.roster.Version)
}

// publish accepts the next generation.
func (p *simPlatform) publish() {
	g := pimentospread.Generation(1)
	if p.release != nil {
		g = p.release.Release.Generation + 1
	}
	data, err := json.Marshal(newRelease(g, 4))
	if err != nil {
		p.sim.fail("encode: %v", err)
	}
	p.before = p.release
	p.release, err = controlplane.Pack(data, decodeRelease)
	if err != nil {
		p.sim.fail("pack: %v", err)
	}
	p.published = p.sim.now
	p.changed(pimentospread.KindRelease, pimentospread.ObjectVersion(g))
}

func (p *simPlatform) changed(kind pimentospread.ObjectKind, v pimentospread.ObjectVersion) {
	if p.versions == nil {
		p.versions = map[pimentospread.ObjectKind]pimentospread.ObjectVersion{}
	}
	p.versions[kind] = v
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		if w.kind != kind {
			p.waiting = append(p.waiting, w)
			continue
		}
		p.answer(w)
	}
}

func (p *simPlatform) reaches(h *simHost) bool { return p.up && p.sim.side[h.self.FailureDomain] == 0 }

func (p *simPlatform) setUp(up bool) {
	p.up = up
	p.sim.disturbed = p.sim.now
	p.interrupt()
}

// interrupt breaks the connections of hosts that are cut off.
func (p *simPlatform) interrupt() {
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		if p.reaches(w.host) {
			p.waiting = append(p.waiting, w)
			continue
		}
		p.retry(w)
	}
}

func (p *simPlatform) event(kind pimentospread.ObjectKind) controlplane.Event {
	if kind == pimentospread.KindRoster {
		r := p.roster
		return controlplane.RosterRead{Roster: r}
	}
	return controlplane.ReleaseRead{Content: p.release}
}

func (p *simPlatform) read(h *simHost) {
	p.calls += 2
	if !p.reaches(h) || p.sim.random.Float64() < p.lost {
		h.later(10*time.Millisecond, controlplane.PlatformReadDone{})
		return
	}
	e := p.event(pimentospread.KindRelease)
	if p.before != nil && p.sim.random.Float64() < p.stale {
		e = controlplane.ReleaseRead{Content: p.before}
	}
	h.later(p.lag, e)
	h.later(p.lag, p.event(pimentospread.KindRoster))
	h.later(p.lag, controlplane.PlatformReadDone{Answered: true})
}

func (p *simPlatform) watch(h *simHost, on bool) {
	for _, w := range h.watches {
		w.done = true
	}
	if !on {
		return
	}
	for _, kind := range []pimentospread.ObjectKind{pimentospread.KindRelease, pimentospread.KindRoster} {
		w := &simWatch{host: h, cell: h.cell, kind: kind, delay: 250 * time.Millisecond}
		h.watches[kind] = w
		p.call(w)
	}
}

func (p *simPlatform) over(w *simWatch) bool { return w.done || w.host.cell != w.cell }

func (p *simPlatform) call(w *simWatch) {
	if p.over(w) {
		return
	}
	p.calls++
	switch {
	case !p.reaches(w.host):
		p.retry(w)
	case p.versions[w.kind] > w.after:
		p.answer(w)
	default:
		p.waiting = append(p.waiting, w)
		w.waits++
		n := w.waits
		p.sim.after(simWait, func() {
			if w.waits == n {
				p.timeout(w)
			}
		})
	}
}

func (p *simPlatform) timeout(w *simWatch) {
	for i, o := range p.waiting {
		if o == w {
			p.waiting = append(p.waiting[:i:i], p.waiting[i+1:]...)
			p.call(w)
			return
		}
	}
}

func (p *simPlatform) retry(w *simWatch) {
	p.sim.after(w.delay, func() { p.call(w) })
	w.delay = min(2*w.delay, 3*time.Second)
}

func (p *simPlatform) answer(w *simWatch) {
	if p.sim.random.Float64() < p.lost {
		p.retry(w)
		return
	}
	e, v := p.event(w.kind), p.versions[w.kind]
	p.sim.after(p.lag, func() {
		if p.over(w) {
			return
		}
		if !p.reaches(w.host) {
			p.retry(w)
			return
		}
		w.after, w.delay = v, 250*time.Millisecond
		w.host.handle(e)
		if p.delivered != nil && w.kind == pimentospread.KindRelease {
			p.delivered()
		}
		p.call(w)
	})
}

// count adds the encoded size of a message that a host sends.
func (s *sim) count(from *simHost, m pimentospread.Message) {
	if s.bytes == nil {
		return
	}
	frame, err := peer.Encode(from.self.ID, from.incarnation, m)
	if err != nil {
		s.fail("encode: %v", err)
	}
	s.bytes[m.MessageKind()] += len(frame)
}
