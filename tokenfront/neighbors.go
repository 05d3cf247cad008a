package tokenfront

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
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
	// sourceTimeout is the time without news after which a source is considered lost. It
	// is longer than two news intervals.
	sourceTimeout = 1200 * time.Millisecond
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
	// seedDelay is the time after the start in which an available platform has responded.
	seedDelay = 150 * time.Millisecond
	// platformListTimeout is how long a starting host waits for the list of targets from
	// the platform while the platform responds to other calls: two attempts.
	platformListTimeout = 2 * listTimeout
	// minAvoidDuration is how long a lost source is not used. A restart takes seconds.
	minAvoidDuration = 10 * time.Second
	// maxAvoidDuration limits the duration, which doubles while the source stays lost.
	maxAvoidDuration = 2 * time.Minute
	// newsInterval is the interval between news when nothing changes.
	newsInterval = 500 * time.Millisecond
	// newsConfirmationStep is the progress of the confirmed time that is published at
	// once. A delay at each host would add up along the path.
	newsConfirmationStep = 300 * time.Millisecond
	// subscribeInterval is the interval at which a subscription is renewed.
	subscribeInterval = time.Second
	// subscriptionLease is three intervals and a margin, so that a renewal may be lost.
	subscriptionLease = 3500 * time.Millisecond
	// hostsWatchWait is how long the platform holds a watch of the hosts. Changes of
	// hosts only affect the choice of sources, and hosts detect a lost source on their own.
	hostsWatchWait = 10 * time.Second
	// maxRegisterPause is the maximum pause after a failed registration.
	maxRegisterPause = 4 * time.Second
	// lostHostTimeout is the time without a subscription after which the entry of a host of
	// the own failure domain is removed. A replaced host returns under its name sooner.
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
	peers dissemination.Peers
	// peersSource tracks the source of the list of hosts.
	peersSource dissemination.SourceTracker
	// path lists the hosts over which the state was last confirmed. It is empty if the
	// platform confirmed it directly.
	path []pimentospread.HostID
	// lastSeen is the time of the last subscription from each host. A host that has sent
	// none is entered when removeLostHosts first finds it in the list.
	lastSeen map[pimentospread.HostID]time.Time
	// connected are the hosts to which connections are kept.
	connected map[pimentospread.HostID]netip.AddrPort
	position  dissemination.Position
	// digest covers the targets at the position.
	digest pimentospread.Digest
	// subscribed is the time of the last subscription.
	subscribed time.Time
	// sourceAnswered is set once the chosen peer has sent news.
	sourceAnswered bool
	// subscribeBackoff and seedBackoff space repeated subscriptions to the source and to
	// the seeds.
	subscribeBackoff, seedBackoff backoff
	published                     time.Time
	// announcedConfirmed is the confirmed time that was last published to subscribers.
	announcedConfirmed time.Time
	started            time.Time
	// platformAnsweredAt is the time of the last response of the platform to any call.
	platformAnsweredAt time.Time
	// stopping is set once this host has announced its shutdown.
	stopping bool
}

// source returns the name of the source of updates, for the log.
func (n *peerExchange) source() string {
	if len(n.path) > 0 {
		return string(n.path[0])
	}
	return "platform"
}

// platformAnswered records that the platform has confirmed the state up to a time.
func (n *peerExchange) platformAnswered(ctx context.Context, now, confirmed time.Time) {
	stale := now.Sub(n.selector.Confirmed()) >= relayMaxAge
	if confirmed.After(n.selector.Confirmed()) {
		n.path = nil
	}
	n.selector.PlatformAnswered(confirmed)
	if stale {
		// The source gets no updates from the platform, but can get them from this host.
		n.subscribe(ctx, now)
	}
}

// platformFailed records a failed call to the platform.
func (n *peerExchange) platformFailed(ctx context.Context, now time.Time) {
	n.selector.PlatformFailed(now, rand.Float64())
	n.chooseSource(ctx, now)
}

// handleHosts applies an update of the hosts from the platform.
func (n *peerExchange) handleHosts(ctx context.Context, now time.Time, u dissemination.PeersUpdate) {
	n.applyHosts(ctx, now, u)
	n.peersSource.ReadPlatform(n.peers.Revision())
}

// applyHosts applies an update of the hosts from any source. If this host is missing
// from the list although it started a while ago, its entry was removed.
func (n *peerExchange) applyHosts(ctx context.Context, now time.Time, u dissemination.PeersUpdate) {
	before := n.peers.Digest()
	changed, applied := n.peers.Apply(u)
	if !applied {
		return
	}
	n.distributor.RecordPeers(before, changed)
	if self, ok := n.peers.Find(n.self.Host); (!ok || self != n.self) && !n.stopping && now.Sub(n.started) >= settleTime {
		_ = n.reregistrations.Put(ctx, struct{}{})
	}
	if len(changed) == 0 {
		return
	}
	n.selector.SetPeers(n.peers.All())
	n.log.Info("hosts changed", "hosts", len(n.peers.All()), "revision", n.peers.Revision(), "relay", n.selector.IsRelay())
}

// handleSubscribe records the subscription of another host and responds to it.
func (n *peerExchange) handleSubscribe(ctx context.Context, now time.Time, from pimentospread.HostID, m *dissemination.Subscribe, s dissemination.State) {
	n.lastSeen[from] = now
	if !m.Leaves {
		n.selector.ReceivedSubscription(now, from, m.Age)
	}
	answers := n.distributor.Subscribe(now, from, m, s)
	n.chooseSource(ctx, now)
	n.updateConnections(ctx, now)
	n.send(ctx, answers)
}

// handleNews applies the age of the sender's state and its list of hosts. The state s
// is that of this host after the news.
func (n *peerExchange) handleNews(ctx context.Context, now time.Time, from pimentospread.HostID, m *dissemination.News, s dissemination.State) {
	n.sourceAnswered = n.sourceAnswered || from == n.selector.Choice().Peer
	before := n.selector.Confirmed()
	n.selector.ReceivedNews(now, from, m.Age, m.Path)
	if n.selector.Confirmed().After(before) {
		n.path = append([]pimentospread.HostID{from}, m.Path...)
	}
	if u := m.Peers; u != nil && n.peersSource.Accept(from, u.Full, u.From, n.peers.Revision()) {
		n.applyHosts(ctx, now, *u)
	}
	n.position, n.digest = s.Position(), s.Directory.Digest()
	if from == n.selector.Choice().Peer && isBehind(n.position, m.Position) {
		n.subscribe(ctx, now)
	}
	n.chooseSource(ctx, now)
}

// isBehind reports whether position a lacks an update that b has.
func isBehind(a, b dissemination.Position) bool {
	return a.Targets < b.Targets || a.Configuration < b.Configuration
}

// handlePeerLeft handles the announcement that another host shuts down.
func (n *peerExchange) handlePeerLeft(ctx context.Context, now time.Time, from pimentospread.HostID) {
	n.selector.PeerLeft(now, from)
	n.chooseSource(ctx, now)
}

// tick renews subscriptions, changes a stale source and removes lost hosts.
func (n *peerExchange) tick(ctx context.Context, now time.Time) {
	n.chooseSource(ctx, now)
	// The first subscription may be lost because the connection is not yet open.
	if !n.sourceAnswered && n.subscribeBackoff.due(now) || now.Sub(n.subscribed) >= subscribeInterval {
		n.subscribe(ctx, now)
	}
	if n.selector.Probe(now) != "" {
		n.updateConnections(ctx, now)
		n.send(ctx, []pimentospread.Outbound{{To: n.selector.Probe(now), Message: n.subscription(now)}})
	}
	n.subscribeToSeeds(ctx, now)
	n.removeLostHosts(ctx, now)
}

// chooseSource switches to another source if the selector selects one.
func (n *peerExchange) chooseSource(ctx context.Context, now time.Time) {
	if n.stopping {
		return
	}
	before := n.selector.Choice()
	next, changed := n.selector.Decide(now, rand.Float64())
	if !changed {
		return
	}
	n.log.Info("source of updates chosen", "platform", next.Platform, "peer", next.Peer, "peer_before", before.Peer,
		"age", now.Sub(n.selector.Confirmed()), "relay", n.selector.IsRelay())
	if next.Platform != before.Platform {
		for _, r := range n.watcherActivations {
			_ = r.Put(ctx, next.Platform)
		}
	}
	if next.Peer == before.Peer {
		return
	}
	if before.Peer != "" {
		n.send(ctx, []pimentospread.Outbound{{To: before.Peer, Message: &dissemination.Subscribe{Address: n.self.Address, Leaves: true}}})
	}
	n.sourceAnswered, n.subscribeBackoff = false, backoff{}
	n.updateConnections(ctx, now)
	n.subscribe(ctx, now)
}

// subscribe sends a subscription to the chosen peer.
func (n *peerExchange) subscribe(ctx context.Context, now time.Time) {
	peer := n.selector.Choice().Peer
	if peer == "" || n.stopping || n.awaitsPlatformList(now) {
		return
	}
	n.subscribed = now
	n.send(ctx, []pimentospread.Outbound{{To: peer, Message: n.subscription(now)}})
}

// subscription returns a subscription from the current position of this host.
func (n *peerExchange) subscription(now time.Time) *dissemination.Subscribe {
	p := n.position
	p.Peers = n.peers.Revision()
	return &dissemination.Subscribe{Address: n.self.Address, Position: p, TargetsDigest: n.digest, PeersDigest: n.peers.Digest(), Age: max(now.Sub(n.selector.Confirmed()), 0)}
}

// publish sends news to subscribers after a change and at regular intervals.
func (n *peerExchange) publish(ctx context.Context, now time.Time, changed bool, s dissemination.State) {
	n.position, n.digest = s.Position(), s.Directory.Digest()
	progressed := s.Confirmed.Sub(n.announcedConfirmed) >= newsConfirmationStep
	if n.stopping || !changed && !progressed && now.Sub(n.published) < newsInterval {
		return
	}
	n.published, n.announcedConfirmed = now, s.Confirmed
	n.send(ctx, n.distributor.Publish(now, s))
	n.updateConnections(ctx, now)
}

// updateConnections keeps connections only to the source and the subscribers, and to
// the seeds until the first targets and routes are there.
func (n *peerExchange) updateConnections(ctx context.Context, now time.Time) {
	want := n.distributor.Subscribers()
	if n.position.Targets == 0 || n.position.Configuration == 0 {
		maps.Copy(want, n.seeds)
	}
	for _, id := range []pimentospread.HostID{n.selector.Choice().Peer, n.selector.Probe(now)} {
		if p, ok := n.peers.Find(id); ok {
			want[p.Host] = p.Address
		}
	}
	if maps.Equal(want, n.connected) {
		return
	}
	n.connected = want
	_ = n.network.SetPeers(ctx, want)
}

// announceLeave announces the shutdown of this host to its subscribers and its source.
func (n *peerExchange) announceLeave(ctx context.Context) {
	n.stopping = true
	n.send(ctx, n.distributor.Leave())
	if peer := n.selector.Choice().Peer; peer != "" {
		n.send(ctx, []pimentospread.Outbound{{To: peer, Message: &dissemination.Subscribe{Address: n.self.Address, Leaves: true}}})
	}
}

// removeLostHosts requests the removal of entries of hosts of the own failure domain
// that have not subscribed for a long time. Only the relay of the failure domain can
// detect them, because the other hosts subscribe to it.
func (n *peerExchange) removeLostHosts(ctx context.Context, now time.Time) {
	if !n.selector.IsRelay() {
		clear(n.lastSeen)
		return
	}
	for _, p := range n.peers.All() {
		if p.Host == n.self.Host || p.FailureDomain != n.self.FailureDomain {
			continue
		}
		last, ok := n.lastSeen[p.Host]
		if !ok {
			n.lastSeen[p.Host] = now
			continue
		}
		if now.Sub(last) >= lostHostTimeout {
			n.lastSeen[p.Host] = now
			_ = n.removals.Put(ctx, p.Host)
		}
	}
}

// send queues messages. The next subscription repeats a lost one.
func (n *peerExchange) send(ctx context.Context, messages []pimentospread.Outbound) {
	for _, m := range messages {
		if err := n.network.Send(ctx, m); err != nil {
			n.log.Debug("message to peer not queued", "peer", m.To, "kind", m.Message.MessageKind(), "error", err)
		}
	}
}
