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
	// settleTime is what hosts that start within 0.3 s of each other take to register and to be listed.
	settleTime = 700 * time.Millisecond
	// hostsDelay is when the others of a common start have registered.
	hostsDelay = 500 * time.Millisecond
	// watchRest is when a host that settled hears from its source.
	watchRest = settleTime + 500*time.Millisecond
	// sourceSilence is more than two news intervals.
	sourceSilence = 1200 * time.Millisecond
	// relayPatience and followerPatience are above the longest age of a sound
	// belief, a watch and its answer together, and leave time for a try of the
	// platform within the bounds of 3 s for drains and configurations.
	relayPatience    = 1400 * time.Millisecond
	followerPatience = 1800 * time.Millisecond
	// trySpread lets a failure domain try the platform about five times a second, whatever its size.
	trySpread = 200 * time.Millisecond
	// seedDelay is the time after the start in which a sound platform has answered.
	seedDelay = 150 * time.Millisecond
	// listPatience is how long a starting host waits for the platform's own list
	// while the platform answers other calls: two tries.
	listPatience = 2 * listTimeout
	// avoidTime spares a source that was lost. A restart takes seconds.
	avoidTime    = 10 * time.Second
	longestAvoid = 2 * time.Minute
	// newsInterval is the time between two news when nothing is heard, and
	// newsStep the progress of the belief that is told at once. A delay at each
	// host would add up along the path.
	newsInterval = 500 * time.Millisecond
	newsStep     = 300 * time.Millisecond
	// subscribeInterval renews a subscription, and subscriptionLease is three
	// of them with some room, so that one may be lost.
	subscribeInterval = time.Second
	subscriptionLease = 3500 * time.Millisecond
	// hostsWait is how long the platform holds a watch of the hosts. Their
	// changes only move the sources, which notice a lost one by themselves.
	hostsWait = 10 * time.Second
	// lastRegisterRetry bounds the pause after a failed registration.
	lastRegisterRetry = 4 * time.Second
	// forgetAfter is the silence after which the entry of a host of the own
	// failure domain is removed. A replaced host comes back under its name sooner.
	forgetAfter = 2 * time.Minute
)

// network carries messages to other hosts.
type network interface {
	SetPeers(ctx context.Context, peers map[pimentospread.HostID]netip.AddrPort) error
	Send(ctx context.Context, message pimentospread.Outbound) error
}

// neighbors is the part of the belief duty that hears from other hosts and
// passes on what this host hears.
type neighbors struct {
	self     dissemination.Peer
	log      *slog.Logger
	selector *dissemination.Selector
	relay    *dissemination.Relay
	network  network
	// activity tells the watchers whether to read the platform.
	activity []*ring.Ring[bool]
	// missing and remove are the rings of the registrar.
	missing *ring.Ring[struct{}]
	remove  *ring.Ring[pimentospread.HostID]

	// seeds are the addresses of hosts whose names are not known.
	seeds map[pimentospread.HostID]netip.AddrPort
	peers dissemination.Peers
	// lineage says from whom the hosts were heard.
	lineage dissemination.SourceTracker
	// path names the hosts over which the belief was last confirmed. It is empty
	// when the platform itself confirmed it.
	path []pimentospread.HostID
	// heard is when each host was last heard of.
	heard map[pimentospread.HostID]time.Time
	// linked are the hosts to which connections are kept.
	linked   map[pimentospread.HostID]netip.AddrPort
	position dissemination.Position
	// digest covers the targets at the position.
	digest pimentospread.Digest
	// subscribed and published are when the last subscription and news were sent.
	subscribed time.Time
	// answered says that the chosen peer has sent news.
	answered bool
	// unanswered and bootstraps space what is repeated.
	unanswered, bootstraps retries
	published              time.Time
	// told is the time up to which subscribers were told that they know all.
	told    time.Time
	started time.Time
	// platformHeard is when the platform last answered any call.
	platformHeard time.Time
	// stopping says that the host no longer takes part.
	stopping bool
}

// source names where the host hears changes from, for the log.
func (n *neighbors) source() string {
	if len(n.path) > 0 {
		return string(n.path[0])
	}
	return "platform"
}

// platformAnswered says up to when the platform has told everything.
func (n *neighbors) platformAnswered(ctx context.Context, now, confirmed time.Time) {
	stale := now.Sub(n.selector.Confirmed()) >= relayPatience
	if confirmed.After(n.selector.Confirmed()) {
		n.path = nil
	}
	n.selector.PlatformAnswered(confirmed)
	if stale {
		// The source did not hear the platform; it can hear this host.
		n.subscribe(ctx, now)
	}
}

// platformFailed says that a call to the platform failed.
func (n *neighbors) platformFailed(ctx context.Context, now time.Time) {
	n.selector.PlatformFailed(now, rand.Float64())
	n.decide(ctx, now)
}

// hearHosts takes an update of the hosts from the platform.
func (n *neighbors) hearHosts(ctx context.Context, now time.Time, u dissemination.PeersUpdate) {
	n.takeHosts(ctx, now, u)
	n.lineage.ReadPlatform(n.peers.Revision())
}

// takeHosts takes an update of the hosts. A list without this host shows that
// its entry was removed, unless the host has just started.
func (n *neighbors) takeHosts(ctx context.Context, now time.Time, u dissemination.PeersUpdate) {
	before := n.peers.Digest()
	changed, taken := n.peers.Apply(u)
	if !taken {
		return
	}
	n.relay.RecordPeers(before, changed)
	if self, ok := n.peers.Find(n.self.Host); (!ok || self != n.self) && !n.stopping && now.Sub(n.started) >= settleTime {
		_ = n.missing.Put(ctx, struct{}{})
	}
	if len(changed) == 0 {
		return
	}
	n.selector.SetPeers(n.peers.All())
	n.log.Info("hosts changed", "hosts", len(n.peers.All()), "revision", n.peers.Revision(), "relay", n.selector.Relay())
}

// hearSubscribe takes the subscription of another host and answers it.
func (n *neighbors) hearSubscribe(ctx context.Context, now time.Time, from pimentospread.HostID, m *dissemination.Subscribe, s dissemination.State) {
	n.heard[from] = now
	if !m.Leaves {
		n.selector.ReceivedSubscription(now, from, m.Age)
	}
	answers := n.relay.Subscribe(now, from, m, s)
	n.decide(ctx, now)
	n.link(ctx, now)
	n.send(ctx, answers)
}

// hearNews takes the age of the sender's belief, and the hosts. The state is that
// of this host after the news.
func (n *neighbors) hearNews(ctx context.Context, now time.Time, from pimentospread.HostID, m *dissemination.News, s dissemination.State) {
	n.answered = n.answered || from == n.selector.Choice().Peer
	before := n.selector.Confirmed()
	n.selector.ReceivedNews(now, from, m.Age, m.Path)
	if n.selector.Confirmed().After(before) {
		n.path = append([]pimentospread.HostID{from}, m.Path...)
	}
	if u := m.Peers; u != nil && n.lineage.Accept(from, u.Full, u.From, n.peers.Revision()) {
		n.takeHosts(ctx, now, *u)
	}
	n.position, n.digest = s.Position(), s.Directory.Digest()
	if from == n.selector.Choice().Peer && behind(n.position, m.Position) {
		n.subscribe(ctx, now)
	}
	n.decide(ctx, now)
}

func behind(a, b dissemination.Position) bool {
	return a.Targets < b.Targets || a.Configuration < b.Configuration
}

func (n *neighbors) left(ctx context.Context, now time.Time, from pimentospread.HostID) {
	n.selector.PeerLeft(now, from)
	n.decide(ctx, now)
}

// tick renews subscriptions and changes the source when it is stale.
func (n *neighbors) tick(ctx context.Context, now time.Time) {
	n.decide(ctx, now)
	// The first subscription may be lost while the connection is not yet there.
	if !n.answered && n.unanswered.due(now) || now.Sub(n.subscribed) >= subscribeInterval {
		n.subscribe(ctx, now)
	}
	if n.selector.Probe(now) != "" {
		n.link(ctx, now)
		n.send(ctx, []pimentospread.Outbound{{To: n.selector.Probe(now), Message: n.subscription(now)}})
	}
	n.bootstrap(ctx, now)
	n.forget(ctx, now)
}

// decide changes the source when the selector says so.
func (n *neighbors) decide(ctx context.Context, now time.Time) {
	if n.stopping {
		return
	}
	before := n.selector.Choice()
	next, changed := n.selector.Decide(now, rand.Float64())
	if !changed {
		return
	}
	n.log.Info("source of changes chosen", "platform", next.Platform, "peer", next.Peer, "peer_before", before.Peer,
		"age", now.Sub(n.selector.Confirmed()), "relay", n.selector.Relay())
	if next.Platform != before.Platform {
		for _, r := range n.activity {
			_ = r.Put(ctx, next.Platform)
		}
	}
	if next.Peer == before.Peer {
		return
	}
	if before.Peer != "" {
		n.send(ctx, []pimentospread.Outbound{{To: before.Peer, Message: &dissemination.Subscribe{Address: n.self.Address, Leaves: true}}})
	}
	n.answered, n.unanswered = false, retries{}
	n.link(ctx, now)
	n.subscribe(ctx, now)
}

func (n *neighbors) subscribe(ctx context.Context, now time.Time) {
	peer := n.selector.Choice().Peer
	if peer == "" || n.stopping || n.listing(now) {
		return
	}
	n.subscribed = now
	n.send(ctx, []pimentospread.Outbound{{To: peer, Message: n.subscription(now)}})
}

func (n *neighbors) subscription(now time.Time) *dissemination.Subscribe {
	p := n.position
	p.Peers = n.peers.Revision()
	return &dissemination.Subscribe{Address: n.self.Address, Position: p, TargetsDigest: n.digest, PeersDigest: n.peers.Digest(), Age: max(now.Sub(n.selector.Confirmed()), 0)}
}

// publish sends news to subscribers after a change, and now and then without one.
func (n *neighbors) publish(ctx context.Context, now time.Time, changed bool, s dissemination.State) {
	n.position, n.digest = s.Position(), s.Directory.Digest()
	fresher := s.Confirmed.Sub(n.told) >= newsStep
	if n.stopping || !changed && !fresher && now.Sub(n.published) < newsInterval {
		return
	}
	n.published, n.told = now, s.Confirmed
	n.send(ctx, n.relay.Publish(now, s))
	n.link(ctx, now)
}

// link keeps connections to the source and to the subscribers alone.
func (n *neighbors) link(ctx context.Context, now time.Time) {
	want := n.relay.Subscribers()
	if n.position.Targets == 0 || n.position.Configuration == 0 {
		maps.Copy(want, n.seeds)
	}
	for _, id := range []pimentospread.HostID{n.selector.Choice().Peer, n.selector.Probe(now)} {
		if p, ok := n.peers.Find(id); ok {
			want[p.Host] = p.Address
		}
	}
	if maps.Equal(want, n.linked) {
		return
	}
	n.linked = want
	_ = n.network.SetPeers(ctx, want)
}

// leave tells subscribers and the source that this host stops.
func (n *neighbors) leave(ctx context.Context) {
	n.stopping = true
	n.send(ctx, n.relay.Leave())
	if peer := n.selector.Choice().Peer; peer != "" {
		n.send(ctx, []pimentospread.Outbound{{To: peer, Message: &dissemination.Subscribe{Address: n.self.Address, Leaves: true}}})
	}
}

// forget removes the entries of hosts of the own failure domain that have long
// not been heard of. Only the host that the others hear from can tell.
func (n *neighbors) forget(ctx context.Context, now time.Time) {
	if !n.selector.Relay() {
		clear(n.heard)
		return
	}
	for _, p := range n.peers.All() {
		if p.Host == n.self.Host || p.FailureDomain != n.self.FailureDomain {
			continue
		}
		last, ok := n.heard[p.Host]
		if !ok {
			n.heard[p.Host] = now
			continue
		}
		if now.Sub(last) >= forgetAfter {
			n.heard[p.Host] = now
			_ = n.remove.Put(ctx, p.Host)
		}
	}
}

// send queues messages. One that is lost is repeated by the next subscription.
func (n *neighbors) send(ctx context.Context, messages []pimentospread.Outbound) {
	for _, m := range messages {
		if err := n.network.Send(ctx, m); err != nil {
			n.log.Debug("message to peer not queued", "peer", m.To, "kind", m.Message.MessageKind(), "error", err)
		}
	}
}
