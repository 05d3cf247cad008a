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
	"pimentospread/evacuation"
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

// eventCapacity exceeds the number of events per second: each watch causes a few, and a
// change of all targets at once is a single event.
const eventCapacity = 256

const (
	// peerQueueCapacity limits the messages queued for one host. Only the newest matter.
	peerQueueCapacity = 64
	// peerIOTimeout is the timeout for dialing and for writing to another host. A source
	// that takes longer has been replaced by then.
	peerIOTimeout = time.Second
	// removalCapacity exceeds the number of entries that are removed at a time.
	removalCapacity = 16
	// maxTrackedFlows limits the flows whose load is tracked: 79 million flows over 13,000
	// hosts are 6,100 per host.
	maxTrackedFlows = 16384
	// loadAveragingWindow spans a few requests of a long-lived flow, which sends about one
	// per second.
	loadAveragingWindow = 2 * time.Second
	// maxRequestTime is a few times the duration of a request, which is tens of
	// milliseconds.
	maxRequestTime = 300 * time.Millisecond
	// maxRequestTimeEvenLoad replaces maxRequestTime with the setting EvenLoad. Requests at a
	// target that is six times slower take longer than maxRequestTime, and such a target would
	// look idle after it.
	maxRequestTimeEvenLoad = time.Second
	// minRetransmissionDelay is below the 0.2 s after which callers retransmit.
	minRetransmissionDelay = 150 * time.Millisecond
	// minTrialInterval is the time until a suspected target is tried again. It doubles up
	// to maxTrialInterval. The registration of a target that does not run expires after about
	// 2.5 s.
	minTrialInterval = time.Second
	maxTrialInterval = 4 * time.Second
	// minRetransmissionsToGiveUp is 2, because a single one may follow a lost packet.
	minRetransmissionsToGiveUp = 2
	// minTotalRetransmissionsToGiveUp is 3, because a caller loses two packets in a row at a
	// target that runs. Another caller that waits, or its own third copy, shows more.
	minTotalRetransmissionsToGiveUp = 3
	// minSilenceToGiveUp is below the time of a caller's second retransmission, 0.6 s. The
	// third comes after 1.4 s, when deadlines of 0.8 s have passed.
	minSilenceToGiveUp = 500 * time.Millisecond
	// answerTimeFactor allows for a queue that is longer than any within the last
	// answerTimeWindow.
	answerTimeFactor = 2
	answerTimeWindow = 30 * time.Second
)

// Deps are the dependencies of a Front.
type Deps struct {
	Settings settings.Settings
	// Source is read again when the settings change.
	Source settings.Source
	Clock  pimentospread.Clock
	// Output receives the log.
	Output io.Writer
	// PlatformStore is the object store of the platform. If it is nil, New creates a client
	// for the platform in the settings.
	PlatformStore PlatformStore
}

// PlatformStore is the part of the platform's object store that a host uses: it reads
// changes of objects, maintains its own entry and removes the entries of lost hosts.
type PlatformStore interface {
	pimentospread.ObjectFeed
	pimentospread.ObjectStore
}

// Front is an entry host for packets that carry tokens. It owns the sockets and the
// duties of the host.
type Front struct {
	settings settings.Settings
	source   settings.Source
	level    slog.LevelVar
	clock    pimentospread.Clock
	logDuty  *telemetry.Log
	log      *slog.Logger
	metrics  *telemetry.Registry
	sockets  sockets

	steering   *steering
	controller *controller
	watchers   []*watcher
	registrar  *registrar
	network    *peer.Network
	health     *health
}

var _ pimentospread.Front = (*Front)(nil)

// sockets are the sockets on which a front listens.
type sockets struct {
	data               *udp.Socket
	ready, admin, peer net.Listener
}

// New opens the sockets and creates the duties. Run starts them.
func New(d Deps) (*Front, error) {
	f := &Front{settings: d.Settings, source: d.Source, clock: d.Clock, metrics: telemetry.NewRegistry()}
	f.level.Set(d.Settings.Level())
	f.logDuty = telemetry.NewLog(telemetry.LogConfig{Output: d.Output, Text: d.Settings.LogFormat == "text", Level: &f.level})
	f.log = f.logDuty.With("host", d.Settings.Host, "failure_domain", d.Settings.FailureDomain)
	limitMemory(d.Settings.MemoryLimitMB)
	if d.PlatformStore == nil {
		base, err := url.Parse(d.Settings.PlatformURL)
		if err != nil {
			return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "PlatformURL is not a valid URL"), "build", "")
		}
		d.PlatformStore = platform.NewClient(platform.Deps{BaseURL: base, Timeout: listTimeout})
	}
	if err := f.openSockets(); err != nil {
		f.close()
		return nil, err
	}
	f.buildDuties(d.PlatformStore)
	return f, nil
}

// heapShare is the share of the memory limit that the heap may use. The rest is for
// stacks, sockets and the program itself.
const heapShare = 0.6

// limitMemory sets the memory limit of the Go runtime to the heap's share of the given
// limit. Zero means no limit.
func limitMemory(megabytes float64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * megabytes * (1 << 20)))
	}
}

// openSockets opens all sockets. After an error, close closes those that are open.
func (f *Front) openSockets() error {
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

// listenTCP opens a TCP listener.
func listenTCP(address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp4", address.String())
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot listen on TCP address"), "listen", address.String())
	}
	return l, nil
}

// close closes all open sockets.
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
		f.log.Debug("cannot close sockets", "error", err)
	}
}

// buildDuties creates the duties and the rings between them.
func (f *Front) buildDuties(store PlatformStore) {
	s := f.settings
	events := ring.New[event](eventCapacity, ring.Block)
	views := ring.New[*steer.View](1, ring.DropOldest)
	f.steering = &steering{
		socket: f.sockets.data, clock: f.clock, views: views, log: f.log,
		steerer: newSteerer(s), counters: newCounters(f.metrics),
		callerPort: f.sockets.data.Address().Port(), sampler: newFlowSampler(pimentospread.FlowID(s.FlowLogShare)),
		settings: ring.New[settings.Settings](1, ring.DropOldest), started: f.clock.Now(),
		lag: &lagMonitor{started: f.clock.Now()},
	}
	f.network = peer.NewNetwork(peer.Deps{
		Self: s.Host, Incarnation: pimentospread.Incarnation(f.clock.Now().UnixNano()), Listener: f.sockets.peer,
		Registry: dissemination.Constructors(), Inbox: inbox{events}, Metrics: f.metrics, Log: f.log,
		QueueCapacity: peerQueueCapacity, IOTimeout: peerIOTimeout, AllowPlaintext: s.TrustedNetwork,
	})
	f.registrar = &registrar{
		self: f.self(), objectStore: store, clock: f.clock, log: f.log,
		reregistrations: ring.New[struct{}](1, ring.DropOldest),
		removals:        ring.New[pimentospread.HostID](removalCapacity, ring.Refuse),
	}
	f.controller = &controller{
		clock: f.clock, log: f.log, events: events, views: views, failureDomain: s.FailureDomain,
		table: routing.New(),
		directory: discovery.New(discovery.Config{
			DepartedRetention: s.FlowLifetime.Duration, ReturnGrace: s.ReturnGrace.Duration,
		}),
		contacts: map[pimentospread.ObjectKind]*platformContact{},
		exchange: f.newPeerExchange(), lag: f.steering.lag,
		ignoredUpdates: f.metrics.Counter("pimentospread_target_updates_ignored_total"),
	}
	f.addWatcher(store, platform.KindConfiguration, translateConfiguration, dissemination.CursorConfig{WatchTimeout: s.PlatformWait.Duration})
	f.addWatcher(store, platform.KindTargets, translateTargets, dissemination.CursorConfig{WatchTimeout: s.PlatformWait.Duration})
	if s.Evacuations {
		f.controller.evacuations = evacuation.New(s.ReturnGrace.Duration)
		f.addWatcher(store, platform.KindEvacuations, translateEvacuations, dissemination.CursorConfig{WatchTimeout: evacuationsWatchWait})
	}
	f.addWatcher(store, pimentospread.KindHost, translateHosts, dissemination.CursorConfig{WatchTimeout: hostsWatchWait, ListDelay: hostsListDelay})
	f.health = newHealth(f)
}

// newSteerer returns a steerer with the weights of the settings.
func newSteerer(s settings.Settings) *steer.Steerer {
	steerer := steer.New(
		weights(s),
		inflight.New(inflight.Config{
			MaxFlows: maxTrackedFlows, AveragingWindow: loadAveragingWindow, MaxRequestTime: requestTime(s),
			MinRetransmissionDelay: minRetransmissionDelay, FlowLifetime: s.FlowLifetime.Duration,
		}),
		outlier.New(outlier.Config{
			MinTrialInterval: minTrialInterval, MaxTrialInterval: maxTrialInterval,
			GiveUp: outlier.GiveUpConfig{
				MinRetransmissions: minRetransmissionsToGiveUp, MinTotalRetransmissions: minTotalRetransmissionsToGiveUp, MinSilence: minSilenceToGiveUp,
				AnswerTimeFactor: answerTimeFactor, AnswerTimeWindow: answerTimeWindow,
			},
		}),
	)
	steerer.SetLoadShedding(s.LoadShedding)
	return steerer
}

// requestTime returns how long a request counts as running if no answer is seen.
func requestTime(s settings.Settings) time.Duration {
	if s.EvenLoad {
		return maxRequestTimeEvenLoad
	}
	return maxRequestTime
}

// weights returns the weights in the settings.
func weights(s settings.Settings) steer.Weights {
	return steer.Weights{RemoteCost: s.RemoteCost, ColdSpeed: float64(s.ColdSpeed), EvenLoad: s.EvenLoad}
}

// self returns the entry of this host. Without an advertised address it holds the
// address of the peer socket.
func (f *Front) self() dissemination.Peer {
	address := f.settings.AdvertisedPeerAddress
	if !address.IsValid() {
		bound := f.sockets.peer.Addr().(*net.TCPAddr).AddrPort()
		address = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
	}
	return dissemination.Peer{
		Host: f.settings.Host, FailureDomain: f.settings.FailureDomain, Address: address,
		LinkSpeed: pimentospread.Megabits(f.settings.LinkMbps),
	}
}

// newPeerExchange returns the exchange with all configured seeds except this host.
func (f *Front) newPeerExchange() *peerExchange {
	now := f.clock.Now()
	seeds := map[pimentospread.HostID]netip.AddrPort{}
	for _, s := range f.settings.Seeds {
		if s.PeerAddress != f.self().Address {
			seeds[pimentospread.HostID("seed "+s.PeerAddress.String())] = s.PeerAddress
		}
	}
	return &peerExchange{
		seeds: seeds,
		self:  f.self(), log: f.log, network: f.network, reregistrations: f.registrar.reregistrations, removals: f.registrar.removals,
		selector:    dissemination.NewSelector(now, selectorConfig(f.self())),
		distributor: dissemination.NewDistributor(dissemination.DistributorConfig{Lease: subscriptionLease, LinkSpeed: f.self().LinkSpeed}),
		lastSeen:    map[pimentospread.HostID]time.Time{},
		started:     now,
	}
}

// selectorConfig returns the configuration of the selector of a host.
func selectorConfig(self dissemination.Peer) dissemination.SelectorConfig {
	return dissemination.SelectorConfig{
		Self: self.Host, FailureDomain: self.FailureDomain, FanOut: fanOut, SettleTime: settleTime,
		SilenceTimeout: sourceTimeout, AnswerTimeout: answerTimeout, RetrySpread: platformRetrySpread, ReadDuration: readDuration,
		RelayMaxAge: relayMaxAge, FollowerMaxAge: followerMaxAge, MinAvoidance: minAvoidDuration, MaxAvoidance: maxAvoidDuration,
	}
}

// inbox queues messages from other hosts for the controller.
type inbox struct{ events *ring.Ring[event] }

// Put queues a message.
func (i inbox) Put(ctx context.Context, in pimentospread.Inbound) error {
	return i.events.Put(ctx, peerMessage{in})
}

// addWatcher creates the watcher of a kind of object.
func (f *Front) addWatcher(objectFeed pimentospread.ObjectFeed, kind pimentospread.ObjectKind, translate translator, c dissemination.CursorConfig) {
	c.WatchDelay, c.MinWatchInterval, c.RelistInterval = watchStartDelay, watchMinInterval, relistInterval
	c.MinBackoff, c.MaxBackoff = minRetryPause, maxRetryPause
	w := &watcher{
		kind: kind, feed: objectFeed, clock: f.clock, events: f.controller.events, translate: translate,
		cursor:      dissemination.NewCursor(f.clock.Now(), c),
		activations: ring.New[bool](1, ring.DropOldest), callMetrics: f.metrics, log: f.log,
	}
	f.watchers = append(f.watchers, w)
	f.controller.exchange.watcherActivations = append(f.controller.exchange.watcherActivations, w.activations)
}

// Run starts all duties, waits until the context ends and shuts down.
func (f *Front) Run(ctx context.Context) error {
	// The log outlives all other duties, so that their last lines are written.
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLog()
	logs := duty.NewGroup(logCtx, f.log)
	logs.Go("log", f.logDuty.Run)
	// The duties outlive ctx, whose end only starts the shutdown.
	g := duty.NewGroup(context.WithoutCancel(ctx), f.log)
	g.Go("steer", f.steering.run)
	g.Go("belief", f.controller.run)
	for _, w := range f.watchers {
		g.Go("watch "+string(w.kind), w.run)
	}
	g.Go("peers", f.network.Run)
	g.Go("register", f.registrar.run)
	g.Go("settings", f.watchSettings)
	g.Go("ready", func(ctx context.Context) error { return f.health.serve(ctx, f.sockets.ready) })
	g.Go("admin", func(ctx context.Context) error { return f.health.serve(ctx, f.sockets.admin) })
	f.log.Info("host started", "program", pimentospread.ProgramVersion, "data", f.sockets.data.Address(), "ready", f.settings.ReadyAddress, "admin", f.settings.AdminAddress, "platform", f.settings.PlatformURL)
	select {
	case <-ctx.Done():
		f.shutDown(g.Context())
	case <-g.Context().Done():
	}
	g.Stop()
	f.close()
	err := g.WaitFor(dutyStopTimeout)
	f.log.Info("host stopped")
	stopLog()
	return errors.Join(err, logs.WaitFor(logFlushTimeout))
}
