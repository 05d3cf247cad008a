package tokenfront

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"net/url"
	"runtime/debug"
	"time"

	"pimentospread"
	"pimentospread/discovery"
	"pimentospread/dissemination"
	"pimentospread/duty"
	"pimentospread/inflight"
	"pimentospread/outlier"
	"pimentospread/peer"
	"pimentospread/platform"
	"pimentospread/ring"
	"pimentospread/routing"
	"pimentospread/settings"
	"pimentospread/steer"
	"pimentospread/telemetry"
	"pimentospread/udp"
)

// eventCapacity is more than the events of one second: each watch gives a few,
// and a change of all targets at once is one event.
const eventCapacity = 256

const (
	// linkQueue bounds the messages that wait for one host. Only the newest count.
	linkQueue = 64
	// linkDeadline bounds a dial and a write to another host. A source that
	// takes longer is left by then.
	linkDeadline = time.Second
	// removalCapacity is above the entries that are removed at a time.
	removalCapacity = 16
	// maxTracked bounds the flows whose load is tracked: 79 million flows over
	// 13,000 hosts are 6,100 for each.
	maxTracked = 16384
	// loadAveraging spans a few requests of a long flow, which come about once a second.
	loadAveraging = 2 * time.Second
	// longestCount is a few times the work of a request, which takes tens of milliseconds.
	longestCount = 300 * time.Millisecond
	// retransmission is below the 0.2 s after which callers send again.
	retransmission = 150 * time.Millisecond
	// firstTrial and lastTrial bound the time until a target in doubt is tried
	// again. Entries of targets that are gone lapse after about 2.5 s.
	firstTrial = time.Second
	lastTrial  = 4 * time.Second
)

// Deps are the dependencies of a Front.
type Deps struct {
	Settings settings.Settings
	// Source is read again when the settings change.
	Source settings.Source
	Clock  pimentospread.Clock
	// Output takes the log.
	Output io.Writer
	// ObjectStore is the platform. Nil means a client of the settings' platform.
	ObjectStore ObjectStore
}

// ObjectStore is what a host reads of the platform, and keeps there.
type ObjectStore interface {
	pimentospread.ObjectFeed
	pimentospread.ObjectStore
}

// Front is an entry host for packets with tokens: its sockets and its duties.
type Front struct {
	settings settings.Settings
	source   settings.Source
	level    slog.LevelVar
	clock    pimentospread.Clock
	logDuty  *telemetry.Log
	log      *slog.Logger
	metrics  *telemetry.Registry
	sockets  sockets

	steering  *steering
	belief    *belief
	watchers  []*watcher
	registrar *registrar
	network   *peer.Network
	health    *health
}

var _ pimentospread.Front = (*Front)(nil)

// sockets are the addresses at which a front listens.
type sockets struct {
	data               *udp.Socket
	ready, admin, peer net.Listener
}

// New opens the sockets and builds the duties. Run starts them.
func New(d Deps) (*Front, error) {
	f := &Front{settings: d.Settings, source: d.Source, clock: d.Clock, metrics: telemetry.NewRegistry()}
	f.level.Set(d.Settings.Level())
	f.logDuty = telemetry.NewLog(telemetry.LogConfig{Output: d.Output, Text: d.Settings.LogFormat == "text", Level: &f.level})
	f.log = f.logDuty.With("host", d.Settings.Host, "failure_domain", d.Settings.FailureDomain)
	limitMemory(d.Settings.MemoryLimitMB)
	if d.ObjectStore == nil {
		base, err := url.Parse(d.Settings.PlatformURL)
		if err != nil {
			return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "PlatformURL is not a URL"), "build", "")
		}
		d.ObjectStore = platform.NewClient(platform.Deps{Base: base, Timeout: listTimeout})
	}
	if err := f.open(); err != nil {
		f.close()
		return nil, err
	}
	f.build(d.ObjectStore)
	return f, nil
}

// memoryShare is the part of the memory limit that the heap may take. The rest
// is for stacks, sockets and the program itself.
const memoryShare = 0.6

func limitMemory(megabytes float64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * megabytes * (1 << 20)))
	}
}

func (f *Front) open() error {
	var err error
	if f.sockets.data, err = udp.Listen(f.settings.DataAddress); err != nil {
		return err
	}
	if f.sockets.ready, err = listenTCP(f.settings.ReadyAddress); err != nil {
		return err
	}
	if f.sockets.admin, err = listenTCP(f.settings.AdminAddress); err != nil {
		return err
	}
	f.sockets.peer, err = listenTCP(f.settings.PeerAddress)
	return err
}

func listenTCP(address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp4", address.String())
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "TCP address cannot be used"), "listen", address.String())
	}
	return l, nil
}

func (f *Front) close() {
	var err error
	if f.sockets.data != nil {
		err = errors.Join(err, f.sockets.data.Close())
	}
	for _, l := range []net.Listener{f.sockets.ready, f.sockets.admin, f.sockets.peer} {
		if l != nil {
			err = errors.Join(err, l.Close())
		}
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		f.log.Debug("socket not closed", "error", err)
	}
}

func (f *Front) build(objects ObjectStore) {
	s := f.settings
	events := ring.New[event](eventCapacity, ring.Wait)
	views := ring.New[*steer.View](1, ring.DropOldest)
	f.steering = &steering{
		socket: f.sockets.data, clock: f.clock, views: views, log: f.log,
		steerer: newSteerer(s), counters: newCounters(f.metrics),
		callerPort: f.sockets.data.Address().Port(), sample: newFlowSample(pimentospread.FlowID(s.FlowLogShare)),
		settings: ring.New[settings.Settings](1, ring.DropOldest), started: f.clock.Now(),
	}
	f.network = peer.NewNetwork(peer.Deps{
		Self: s.Host, Incarnation: pimentospread.Incarnation(f.clock.Now().UnixNano()), Listener: f.sockets.peer,
		Registry: dissemination.Constructors(), Inbox: inbox{events}, Metrics: f.metrics, Log: f.log,
		Queue: linkQueue, Deadline: linkDeadline, Trusted: s.TrustedNetwork,
	})
	f.registrar = &registrar{
		self: f.self(), book: objects, clock: f.clock, log: f.log,
		missing: ring.New[struct{}](1, ring.DropOldest),
		remove:  ring.New[pimentospread.HostID](removalCapacity, ring.Refuse),
	}
	f.belief = &belief{
		clock: f.clock, log: f.log, events: events, views: views, domain: s.FailureDomain,
		table: routing.New(),
		directory: discovery.New(discovery.Config{
			DepartedRetention: s.FlowLifetime.Duration, ReturnGrace: s.ReturnGrace.Duration,
		}),
		contacts:  map[pimentospread.ObjectKind]*contactState{},
		neighbors: f.newNeighbors(),
	}
	f.addWatcher(objects, platform.KindConfiguration, translateConfiguration, dissemination.CursorConfig{Wait: s.PlatformWait.Duration})
	f.addWatcher(objects, platform.KindTargets, translateTargets, dissemination.CursorConfig{Wait: s.PlatformWait.Duration})
	f.addWatcher(objects, pimentospread.KindHost, translateHosts, dissemination.CursorConfig{Wait: hostsWait, ListDelay: hostsDelay})
	f.health = newHealth(f)
}

func newSteerer(s settings.Settings) *steer.Steerer {
	return steer.New(
		weights(s),
		inflight.New(inflight.Config{
			MaxFlows: maxTracked, AveragingWindow: loadAveraging, MaxRequestTime: longestCount,
			MinRetransmissionDelay: retransmission, FlowLifetime: s.FlowLifetime.Duration,
		}),
		outlier.New(outlier.Config{MinTrialInterval: firstTrial, MaxTrialInterval: lastTrial}),
	)
}

func weights(s settings.Settings) steer.Weights {
	return steer.Weights{RemotePenalty: s.RemoteCost, WarmupSpeed: float64(s.ColdSpeed)}
}

func (f *Front) self() dissemination.Peer {
	address := f.settings.AdvertisedPeerAddress
	if !address.IsValid() {
		bound := f.sockets.peer.Addr().(*net.TCPAddr).AddrPort()
		address = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
	}
	return dissemination.Peer{Host: f.settings.Host, FailureDomain: f.settings.FailureDomain, Address: address}
}

func (f *Front) newNeighbors() *neighbors {
	now := f.clock.Now()
	seeds := map[pimentospread.HostID]netip.AddrPort{}
	for _, s := range f.settings.Seeds {
		if s.PeerAddress != f.self().Address {
			seeds[pimentospread.HostID("seed "+s.PeerAddress.String())] = s.PeerAddress
		}
	}
	return &neighbors{
		seeds: seeds,
		self:  f.self(), log: f.log, network: f.network, missing: f.registrar.missing, remove: f.registrar.remove,
		selector: dissemination.NewSelector(now, dissemination.SelectorConfig{
			Self: f.settings.Host, Domain: f.settings.FailureDomain, SettleTime: settleTime,
			SilenceTimeout: sourceSilence, RetrySpread: trySpread,
			RelayMaxAge: relayPatience, MaxAge: followerPatience, MinAvoidance: avoidTime, MaxAvoidance: longestAvoid,
		}),
		relay:   dissemination.NewRelay(dissemination.RelayConfig{Lease: subscriptionLease}),
		heard:   map[pimentospread.HostID]time.Time{},
		started: now,
	}
}

// inbox hands messages of other hosts to the belief duty.
type inbox struct{ events *ring.Ring[event] }

// Put queues a message.
func (i inbox) Put(ctx context.Context, in pimentospread.Inbound) error {
	return i.events.Put(ctx, message{in})
}

func (f *Front) addWatcher(objects pimentospread.ObjectFeed, kind pimentospread.ObjectKind, translate translation, c dissemination.CursorConfig) {
	c.WatchDelay, c.MinWatchInterval, c.RelistInterval = watchRest, watchPace, relistInterval
	c.MinBackoff, c.MaxBackoff = firstRetry, lastRetry
	w := &watcher{
		kind: kind, feed: objects, clock: f.clock, events: f.belief.events, translate: translate,
		cursor: dissemination.NewCursor(f.clock.Now(), c),
		active: ring.New[bool](1, ring.DropOldest), calls: f.metrics, log: f.log,
	}
	f.watchers = append(f.watchers, w)
	f.belief.neighbors.activity = append(f.belief.neighbors.activity, w.active)
}

// Run starts all duties, waits for the context to end, and shuts down.
func (f *Front) Run(ctx context.Context) error {
	// The log outlives all other duties, so that their last lines are written.
	logging, endLog := context.WithCancel(context.WithoutCancel(ctx))
	defer endLog()
	logs := duty.NewGroup(logging, f.log)
	logs.Go("log", f.logDuty.Run)
	// The duties outlive ctx, which only says that the shutdown begins.
	g := duty.NewGroup(context.WithoutCancel(ctx), f.log)
	g.Go("steer", f.steering.run)
	g.Go("belief", f.belief.run)
	for _, w := range f.watchers {
		g.Go("watch "+string(w.kind), w.run)
	}
	g.Go("peers", f.network.Run)
	g.Go("register", f.registrar.run)
	g.Go("settings", f.reload)
	g.Go("ready", func(ctx context.Context) error { return f.health.serve(ctx, f.sockets.ready) })
	g.Go("admin", func(ctx context.Context) error { return f.health.serve(ctx, f.sockets.admin) })
	f.log.Info("host started", "data", f.sockets.data.Address(), "ready", f.settings.ReadyAddress, "admin", f.settings.AdminAddress, "platform", f.settings.PlatformURL)
	select {
	case <-ctx.Done():
		f.shutDown(g.Context())
	case <-g.Context().Done():
	}
	g.Stop()
	f.close()
	err := g.Wait()
	f.log.Info("host stopped")
	endLog()
	return errors.Join(err, logs.Wait())
}
