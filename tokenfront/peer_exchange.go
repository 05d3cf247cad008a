package tokenfront

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pimentospread"
	"pimentospread/dissemination"
	"pimentospread/ring"
)

const (
	// settleTime is the time in which hosts that start within 0.3 s of each other
	// register and appear in the list of hosts.
	settleTime = 700 * time.Millisecond
	// hostsListDelay is the time after which hosts that start together have registered.
	hostsListDelay = 500 * time.Millisecond
	// watchStartDelay is the time after which a host that has settled receives updates
	// from its source.
	watchStartDelay = settleTime + 500*time.Millisecond
	// fanOut limits what a host sends, also when all its followers start together, and gives
	// four levels to the 481 hosts of a failure domain in two years.
	fanOut = 8
	// sourceTimeout is the time without a state update after which a source is
	// considered lost. It is longer than two intervals between state updates.
	sourceTimeout = 1200 * time.Millisecond
	// answerTimeout is the time in which a new source answers. It covers a connection and a
	// few subscriptions. Three sources in a row that are lost take 2.4 s then, less than the
	// shortest bound of 3 s for drains and configurations.
	answerTimeout = 600 * time.Millisecond
	// readDuration is how long hosts whose state was stale read the platform.
	readDuration = 3 * time.Second
	// relayMaxAge is the age of the state at which a relay tries the platform itself.
	// It exceeds the maximum age in normal operation, which is a watch and its response
	// together, and leaves time to try the platform within the limits of 3 s for drains
	// and configurations.
	relayMaxAge = 1400 * time.Millisecond
	// followerMaxAge is the same for hosts that are not relays.
	followerMaxAge = 1800 * time.Millisecond
	// platformRetrySpread spreads the attempts of the hosts of a failure domain, so that
	// they try the platform about five times a second, whatever their number.
	platformRetrySpread = 200 * time.Millisecond
	// seedDelay is the time after the start in which an available platform has responded,
	// also when many hosts start together.
	seedDelay = 400 * time.Millisecond
	// platformListTimeout is how long a starting host waits for the list of targets from
	// the platform while the platform responds to other calls: two attempts.
	platformListTimeout = 2 * listTimeout
	// minAvoidDuration is how long a lost source is not used. A restart takes seconds.
	minAvoidDuration = 10 * time.Second
	// maxAvoidDuration limits the duration, which doubles while the source stays lost.
	maxAvoidDuration = 2 * time.Minute
	// stateUpdateInterval is the interval between state updates when nothing changes.
	stateUpdateInterval = 500 * time.Millisecond
	// stateUpdateConfirmationStep is the progress of the confirmed time that is published
	// at once. A delay at each host would add up along the path.
	stateUpdateConfirmationStep = 300 * time.Millisecond
	// subscribeInterval is the interval at which a subscription is renewed.
	subscribeInterval = time.Second
	// subscriptionLease is three intervals and a margin, so that a renewal may be lost.
	subscriptionLease = 3500 * time.Millisecond
	// hostsWatchWait is how long the platform holds a watch of the hosts. Changes of
	// hosts only affect the choice of sources, and hosts detect a lost source on their own.
	hostsWatchWait = 10 * time.Second
	// maxRegisterPause is the maximum pause after a failed registration.
	maxRegisterPause = 4 * time.Second
	// lostHostTimeout is the time without a message after which the entry of a watched host is
	// removed. A replaced host returns under its name sooner.
	lostHostTimeout = 2 * time.Minute
)

// network sends messages to other hosts.
type network interface {
	SetPeers(ctx context.Context, peers map[pimentospread.HostID]netip.AddrPort) error
	Send(ctx context.Context, message pimentospread.Outbound) error
}

// peerExchange is the part of the controller that exchanges state with other hosts.
type peerExchange struct {
	self        dissemination.Peer
	log         *slog.Logger
	selector    *dissemination.Selector
	distributor *dissemination.Distributor
	network     network
	// watcherActivations are the rings that activate and pause the watchers.
	watcherActivations []*ring.Ring[bool]
	// reregistrations requests that the registrar registers this host again.
	reregistrations *ring.Ring[struct{}]
	// removals holds the hosts whose entries the registrar removes.
	removals *ring.Ring[pimentospread.HostID]

	// seeds are the addresses of hosts whose names are not known.
	seeds map[pimentospread.HostID]netip.AddrPort
	// referred are the hosts that a seed named to ask instead of itself, and asked those that
	// were asked last.
	referred, asked map[pimentospread.HostID]netip.AddrPort
	// restored is set once the platform's store was restored while this host ran. Versions
	// that hosts of earlier releases send without an era are ambiguous from then on.
	restored bool
	// platformFailing is set from a failed call to the platform until one succeeds.
	platformFailing bool
	peers           dissemination.Peers
	// hostsChanged is set if the hosts changed since the last view.
	hostsChanged bool
	// peersSource tracks the source of the list of hosts.
	peersSource dissemination.SourceTracker
	// path lists the hosts over which the state was last confirmed. It is empty if the
	// platform confirmed it directly.
	path []pimentospread.HostID
	// lastSeen is the time of the last message from each host that this host watches. One that
	// has sent none is entered by removeLostHosts.
	lastSeen map[pimentospread.HostID]time.Time
	// connected are the hosts to which connections are kept.
	connected map[pimentospread.HostID]netip.AddrPort
	position  dissemination.Position
	// digest covers the targets at the position.
	digest pimentospread.Digest
	// evacuations is the digest of the evacuations that this host has.
	evacuations pimentospread.Digest
	// subscribed is the time of the last subscription.
	subscribed time.Time
	// sourceAnswered is set once the chosen peer has sent a state update, and sourceAnsweredAt
	// is the time of the last one.
	sourceAnswered   bool
	sourceAnsweredAt time.Time
	// subscribeBackoff and seedBackoff space repeated subscriptions to the source and to
	// the seeds.
	subscribeBackoff, seedBackoff backoff
	published                     time.Time
	// announcedConfirmed is the confirmed time that was last published to subscribers.
	announcedConfirmed time.Time
	started            time.Time
	// platformAnsweredAt is the time of the last response of the platform to any call.
	platformAnsweredAt time.Time
	// stopping is set once this host has announced its shutdown, and left once it has ended
	// its own subscription.
	stopping, left bool
}

// source returns the name of the source of updates, for the log.
func (e *peerExchange) source() string {
	if len(e.path) > 0 {
		return string(e.path[0])
	}
	return "platform"
}

// platformAnswered records that the platform has confirmed the state up to a time.
func (e *peerExchange) platformAnswered(ctx context.Context, now, confirmed time.Time) {
	e.platformFailing = false
	stale := now.Sub(e.selector.Confirmed()) >= relayMaxAge
	if confirmed.After(e.selector.Confirmed()) {
		e.path = nil
	}
	e.selector.PlatformAnswered(confirmed)
	if stale {
		// The source gets no updates from the platform, but can get them from this host.
		e.subscribe(ctx, now)
	}
}

// platformFailed records a failed call to the platform.
func (e *peerExchange) platformFailed(ctx context.Context, now time.Time) {
	e.platformFailing = true
	e.selector.PlatformFailed(now, rand.Float64())
	e.chooseSource(ctx, now)
}

// handleHosts applies an update of the hosts from the platform.
func (e *peerExchange) handleHosts(ctx context.Context, now time.Time, u dissemination.PeersUpdate) {
	e.applyHosts(ctx, now, u)
	e.peersSource.ReadPlatform(e.peers.Revision())
}

// applyHosts applies an update of the hosts from any source. If this host is missing
// from the list although it started a while ago, its entry was removed.
func (e *peerExchange) applyHosts(ctx context.Context, now time.Time, u dissemination.PeersUpdate) {
	before := e.peers.Digest()
	changed, applied := e.peers.Apply(u)
	if !applied {
		return
	}
	e.distributor.RecordPeers(before, changed)
	if self, ok := e.peers.Find(e.self.Host); (!ok || self != e.self) && !e.stopping && now.Sub(e.started) >= settleTime {
		_ = e.reregistrations.Put(ctx, struct{}{})
	}
	if len(changed) == 0 {
		return
	}
	e.hostsChanged = true
	e.selector.SetPeers(e.peers.All())
	e.log.Info("hosts changed", "hosts", len(e.peers.All()), "revision", e.peers.Revision(), "relay", e.selector.IsRelay())
}

// handleSubscribe records the subscription of another host and responds to it.
func (e *peerExchange) handleSubscribe(ctx context.Context, now time.Time, from pimentospread.HostID, m *dissemination.Subscribe, s dissemination.State) {
	e.lastSeen[from] = now
	if !m.Leaves {
		e.selector.ReceivedSubscription(now, from, m.Age)
	}
	answers := e.distributor.Subscribe(now, from, m, s)
	if e.stopping && !m.Leaves {
		// The subscriber started after this host had announced that it leaves.
		answers = append(answers, pimentospread.Outbound{To: from, Message: &dissemination.StateUpdate{Leaves: true}})
	}
	e.chooseSource(ctx, now)
	e.updateConnections(ctx, now)
	e.send(ctx, answers)
	if !m.Leaves && isBehind(s.Position(), m.Position) {
		// A host that started after the platform was restored may have read an older
		// configuration than its followers have in force.
		request := e.subscription(now)
		request.Once = true
		e.send(ctx, []pimentospread.Outbound{{To: from, Message: request}})
	}
}

// handleStateUpdate applies the age of the sender's state and its list of hosts. The
// state s is that of this host after the state update, and lacksEvacuations is set if the
// evacuations of the update could not be applied to it.
func (e *peerExchange) handleStateUpdate(
	ctx context.Context, now time.Time, from pimentospread.HostID, m *dissemination.StateUpdate, s dissemination.State, lacksEvacuations bool,
) {
	e.lastSeen[from] = now
	e.handleReferral(m)
	if from == e.selector.Sources().Peer {
		e.sourceAnswered, e.sourceAnsweredAt = true, now
	}
	before := e.selector.Confirmed()
	e.position, e.digest, e.evacuations = s.Position(), s.Directory.Digest(), s.EvacuationsDigest()
	behind := isBehind(e.position, m.Position) || lacksEvacuations
	if behind {
		e.selector.ReceivedMessage(now, from)
	} else {
		e.selector.ReceivedStateUpdate(now, from, m.Age, m.Path)
	}
	if e.selector.Confirmed().After(before) {
		e.path = append([]pimentospread.HostID{from}, m.Path...)
	}
	if u := m.Peers; u != nil && e.peersSource.Accept(from, u.Full, u.From, e.peers.Revision()) {
		e.applyHosts(ctx, now, *u)
	}
	if behind && from == e.selector.Sources().Peer {
		e.subscribe(ctx, now)
	}
	e.chooseSource(ctx, now)
	if now.Sub(before) >= relayMaxAge && now.Sub(e.selector.Confirmed()) < relayMaxAge {
		e.probe(ctx, now)
	}
}

// probe asks the host that the selector probes, if any, for changes.
func (e *peerExchange) probe(ctx context.Context, now time.Time) {
	host := e.selector.Probe(now)
	if host == "" {
		return
	}
	e.updateConnections(ctx, now)
	e.send(ctx, []pimentospread.Outbound{{To: host, Message: e.subscription(now)}})
}

// isBehind reports whether position a lacks an update that b has.
func isBehind(a, b dissemination.Position) bool {
	return a.Targets < b.Targets || a.Configuration < b.Configuration
}

// handlePeerLeft handles the announcement that another host shuts down.
func (e *peerExchange) handlePeerLeft(ctx context.Context, now time.Time, from pimentospread.HostID) {
	e.selector.PeerLeft(now, from)
	e.chooseSource(ctx, now)
}

// tick renews subscriptions, changes a stale source and removes lost hosts.
func (e *peerExchange) tick(ctx context.Context, now time.Time) {
	e.chooseSource(ctx, now)
	// The first subscription may be lost because the connection is not yet open.
	if !e.sourceAnswered && e.subscribeBackoff.due(now) || now.Sub(e.subscribed) >= subscribeInterval {
		e.subscribe(ctx, now)
	}
	e.probe(ctx, now)
	e.subscribeToSeeds(ctx, now)
	e.removeLostHosts(ctx, now)
}

// chooseSource switches to another source if the selector selects one.
func (e *peerExchange) chooseSource(ctx context.Context, now time.Time) {
	if e.left {
		return
	}
	before := e.selector.Sources()
	next, changed := e.selector.Decide(now, rand.Float64())
	if !changed {
		return
	}
	e.log.Info("source of updates chosen", "platform", next.Platform, "peer", next.Peer, "peer_before", before.Peer,
		"age", now.Sub(e.selector.Confirmed()), "relay", e.selector.IsRelay())
	if next.Platform != before.Platform {
		for _, r := range e.watcherActivations {
			_ = r.Put(ctx, next.Platform)
		}
	}
	if next.Peer == before.Peer {
		return
	}
	if before.Peer != "" {
		e.send(ctx, []pimentospread.Outbound{{To: before.Peer, Message: &dissemination.Subscribe{Address: e.self.Address, Leaves: true}}})
	}
	e.sourceAnswered, e.subscribeBackoff = false, backoff{}
	e.updateConnections(ctx, now)
	e.subscribe(ctx, now)
}

// subscribe sends a subscription to the chosen peer.
func (e *peerExchange) subscribe(ctx context.Context, now time.Time) {
	peer := e.selector.Sources().Peer
	if peer == "" || e.left || e.awaitsPlatformList(now) {
		return
	}
	e.subscribed = now
	e.send(ctx, []pimentospread.Outbound{{To: peer, Message: e.subscription(now)}})
}

// subscription returns a subscription from the current position of this host.
func (e *peerExchange) subscription(now time.Time) *dissemination.Subscribe {
	p := e.position
	p.Peers = e.peers.Revision()
	return &dissemination.Subscribe{Address: e.self.Address, Position: p, TargetsDigest: e.digest, PeersDigest: e.peers.Digest(), EvacuationsDigest: e.evacuations, Age: max(now.Sub(e.selector.Confirmed()), 0)}
}

// publish sends state updates to subscribers after a change and at regular intervals.
func (e *peerExchange) publish(ctx context.Context, now time.Time, changed bool, s dissemination.State) {
	e.position, e.digest, e.evacuations = s.Position(), s.Directory.Digest(), s.EvacuationsDigest()
	progressed := s.Confirmed.Sub(e.announcedConfirmed) >= stateUpdateConfirmationStep
	if e.stopping || !changed && !progressed && now.Sub(e.published) < stateUpdateInterval {
		return
	}
	e.published, e.announcedConfirmed = now, s.Confirmed
	e.send(ctx, e.distributor.Publish(now, s))
	e.updateConnections(ctx, now)
}

// updateConnections keeps connections only to the source and the subscribers, and to
// the seeds until the first targets and routes are there.
func (e *peerExchange) updateConnections(ctx context.Context, now time.Time) {
	want := e.distributor.Subscribers()
	if e.needsSeeds(now) {
		maps.Copy(want, e.seeds)
		maps.Copy(want, e.asked)
	}
	for _, id := range []pimentospread.HostID{e.selector.Sources().Peer, e.selector.Probe(now)} {
		if p, ok := e.peers.Find(id); ok {
			want[p.Host] = p.Address
		}
	}
	if maps.Equal(want, e.connected) {
		return
	}
	e.connected = want
	_ = e.network.SetPeers(ctx, want)
}

// announceLeave announces the shutdown of this host to its subscribers. The host steers
// packets for seconds more and needs updates for that long, so it keeps its source.
func (e *peerExchange) announceLeave(ctx context.Context) {
	e.stopping = true
	e.send(ctx, e.distributor.Leave())
}

// leaveSource ends the subscription of this host once it no longer steers packets.
func (e *peerExchange) leaveSource(ctx context.Context) {
	e.left = true
	if peer := e.selector.Sources().Peer; peer != "" {
		e.send(ctx, []pimentospread.Outbound{{To: peer, Message: &dissemination.Subscribe{Address: e.self.Address, Leaves: true}}})
	}
}

// removeLostHosts requests the removal of entries of hosts that this host watches and that
// have sent nothing for a long time. A host that runs and uses another source for that long
// registers again when its entry is removed.
func (e *peerExchange) removeLostHosts(ctx context.Context, now time.Time) {
	watched := e.selector.Watched()
	maps.DeleteFunc(e.lastSeen, func(id pimentospread.HostID, _ time.Time) bool { return !slices.Contains(watched, id) })
	for _, id := range watched {
		last, ok := e.lastSeen[id]
		if !ok {
			e.lastSeen[id] = now
			continue
		}
		if now.Sub(last) >= lostHostTimeout {
			e.lastSeen[id] = now
			_ = e.removals.Put(ctx, id)
		}
	}
}

// send queues messages. The next subscription repeats a lost one.
func (e *peerExchange) send(ctx context.Context, messages []pimentospread.Outbound) {
	for _, m := range messages {
		if err := e.network.Send(ctx, m); err != nil {
			e.log.Debug("message to peer not queued", "peer", m.To, "kind", m.Message.MessageKind(), "error", err)
		}
	}
}
