package controlplane_test

import (
	"encoding/json"
	"time"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/member"
	"pimentospread/peer"
)

const simWatchTimeout = 30 * time.Second

// simPlatform simulates a platform with one release and one roster, and counts calls.
type simPlatform struct {
	sim       *sim
	available bool
	latency   time.Duration
	lossRate  float64
	// staleRate is the share of reads that return the release before the newest one.
	staleRate float64
	// previousRelease is the release before the newest one.
	release, previousRelease *controlplane.PackedRelease
	publishedAt              time.Time
	roster                   member.Roster
	// versions are the current object versions.
	versions       map[pimentospread.ObjectKind]pimentospread.ObjectVersion
	pendingWatches []*simWatch
	calls          int
	// delivered is called after a watch has delivered a release to a host.
	delivered func()
}

type simWatch struct {
	host        *simHost
	cell        *controlplane.Cell
	kind        pimentospread.ObjectKind
	lastVersion pimentospread.ObjectVersion
	delay       time.Duration
	done        bool
	// callNumber counts the calls, so that the timeout of an earlier call does not end a later one.
	callNumber int
}

func (p *simPlatform) setRoster(hosts []*simHost) {
	p.roster.Hosts = nil
	for _, h := range hosts {
		p.roster.Hosts = append(p.roster.Hosts, h.self)
	}
	p.roster.Version++
	p.objectChanged(pimentospread.KindRoster, p.roster.Version)
}

// publish publishes a release with the next generation.
func (p *simPlatform) publish() {
	g := pimentospread.Generation(1)
	if p.release != nil {
		g = p.release.Release.Generation + 1
	}
	data, err := json.Marshal(newRelease(g, 4))
	if err != nil {
		p.sim.fail("encode: %v", err)
	}
	p.previousRelease = p.release
	p.release, err = controlplane.Pack(data, decodeRelease)
	if err != nil {
		p.sim.fail("pack: %v", err)
	}
	p.publishedAt = p.sim.now
	p.objectChanged(pimentospread.KindRelease, pimentospread.ObjectVersion(g))
}

func (p *simPlatform) objectChanged(kind pimentospread.ObjectKind, v pimentospread.ObjectVersion) {
	if p.versions == nil {
		p.versions = map[pimentospread.ObjectKind]pimentospread.ObjectVersion{}
	}
	p.versions[kind] = v
	waiting := p.pendingWatches
	p.pendingWatches = nil
	for _, w := range waiting {
		if w.kind != kind {
			p.pendingWatches = append(p.pendingWatches, w)
			continue
		}
		p.deliver(w)
	}
}

func (p *simPlatform) reachableFrom(h *simHost) bool {
	return p.available && p.sim.partitions[h.self.FailureDomain] == 0
}

func (p *simPlatform) setAvailable(up bool) {
	p.available = up
	p.sim.lastFaultAt = p.sim.now
	p.dropConnections()
}

// dropConnections breaks the watches of hosts that cannot reach the platform.
func (p *simPlatform) dropConnections() {
	waiting := p.pendingWatches
	p.pendingWatches = nil
	for _, w := range waiting {
		if p.reachableFrom(w.host) {
			p.pendingWatches = append(p.pendingWatches, w)
			continue
		}
		p.retry(w)
	}
}

func (p *simPlatform) objectEvent(kind pimentospread.ObjectKind) controlplane.Event {
	if kind == pimentospread.KindRoster {
		r := p.roster
		return controlplane.RosterRead{Roster: r}
	}
	return controlplane.ReleaseRead{PackedRelease: p.release}
}

func (p *simPlatform) read(h *simHost) {
	p.calls += 2
	if !p.reachableFrom(h) || p.sim.random.Float64() < p.lossRate {
		h.handleAfter(10*time.Millisecond, controlplane.PlatformReadDone{})
		return
	}
	e := p.objectEvent(pimentospread.KindRelease)
	if p.previousRelease != nil && p.sim.random.Float64() < p.staleRate {
		e = controlplane.ReleaseRead{PackedRelease: p.previousRelease}
	}
	h.handleAfter(p.latency, e)
	h.handleAfter(p.latency, p.objectEvent(pimentospread.KindRoster))
	h.handleAfter(p.latency, controlplane.PlatformReadDone{Answered: true})
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

func (p *simPlatform) stopped(w *simWatch) bool { return w.done || w.host.cell != w.cell }

func (p *simPlatform) call(w *simWatch) {
	if p.stopped(w) {
		return
	}
	p.calls++
	switch {
	case !p.reachableFrom(w.host):
		p.retry(w)
	case p.versions[w.kind] > w.lastVersion:
		p.deliver(w)
	default:
		p.pendingWatches = append(p.pendingWatches, w)
		w.callNumber++
		n := w.callNumber
		p.sim.after(simWatchTimeout, func() {
			if w.callNumber == n {
				p.timeout(w)
			}
		})
	}
}

func (p *simPlatform) timeout(w *simWatch) {
	for i, pending := range p.pendingWatches {
		if pending == w {
			p.pendingWatches = append(p.pendingWatches[:i:i], p.pendingWatches[i+1:]...)
			p.call(w)
			return
		}
	}
}

func (p *simPlatform) retry(w *simWatch) {
	p.sim.after(w.delay, func() { p.call(w) })
	w.delay = min(2*w.delay, 3*time.Second)
}

func (p *simPlatform) deliver(w *simWatch) {
	if p.sim.random.Float64() < p.lossRate {
		p.retry(w)
		return
	}
	e, v := p.objectEvent(w.kind), p.versions[w.kind]
	p.sim.after(p.latency, func() {
		if p.stopped(w) {
			return
		}
		if !p.reachableFrom(w.host) {
			p.retry(w)
			return
		}
		w.lastVersion, w.delay = v, 250*time.Millisecond
		w.host.handle(e)
		if p.delivered != nil && w.kind == pimentospread.KindRelease {
			p.delivered()
		}
		p.call(w)
	})
}

// countBytes adds the encoded size of a message to bytesByKind.
func (s *sim) countBytes(from *simHost, m pimentospread.Message) {
	if s.bytesByKind == nil {
		return
	}
	frame, err := peer.Encode(from.self.ID, from.incarnation, m)
	if err != nil {
		s.fail("encode: %v", err)
	}
	s.bytesByKind[m.MessageKind()] += len(frame)
}
