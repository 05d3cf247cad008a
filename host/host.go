package host

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/duty"
	"pimentospread/operator"
	"pimentospread/peer"
	"pimentospread/ring"
	"pimentospread/settings"
	"pimentospread/telemetry"
	"pimentospread/trace"
	"pimentospread/udp"
)

// Deps are the dependencies of a Host.
type Deps struct {
	Settings  settings.Settings
	Clock     pimentospread.Clock
	LogOutput io.Writer
}

// Host is an entry host: its sockets and its duties, which are long-running goroutines.
type Host struct {
	settings settings.Settings
	clock    pimentospread.Clock
	log      *slog.Logger
	// logDuty writes the lines of log in its own duty, so that logging does not block.
	logDuty     *telemetry.Log
	metrics     *telemetry.Registry
	incarnation pimentospread.Incarnation
	started     time.Time
	// seed is the random seed of the request dispatcher. The trace records it, so that a
	// replay makes the same choices.
	seed    uint64
	sockets sockets

	network          *peer.Network
	control          *controlplane.Controller
	shards           []*flowShard
	requestProcessor *requestProcessor
	answers          *answerReceiver
	attempts         *attemptSender
	receiver         *receiver
	sender           *sender
	queryServer      *queryServer
	operator         *operator.Server
	// adminTLS is nil if the administration API uses plain HTTP.
	adminTLS *tls.Config
	progress *ring.Ring[progress]
	// recorder is nil if the settings have no trace path.
	recorder  *trace.Recorder
	traceFile io.Closer
}

// sockets are the four sockets on which a host listens.
type sockets struct {
	data, request *udp.Socket
	peer, admin   net.Listener
}

// New opens the sockets and builds the duties of a host. Run starts the duties.
func New(deps Deps) (*Host, error) {
	h := &Host{
		settings: deps.Settings, clock: deps.Clock, metrics: telemetry.NewRegistry(),
		started: deps.Clock.Now(), seed: rand.Uint64(),
	}
	h.incarnation = pimentospread.Incarnation(h.started.UnixNano())
	h.logDuty = newLog(deps.Settings, deps.LogOutput, h.generation)
	h.log = h.logDuty.With("host", deps.Settings.Host, "failure_domain", deps.Settings.FailureDomain)
	if err := h.open(); err != nil {
		h.closeSockets()
		return nil, err
	}
	if err := h.openTrace(); err != nil {
		h.closeSockets()
		return nil, err
	}
	if err := h.build(); err != nil {
		h.closeSockets()
		return nil, err
	}
	return h, nil
}

func (h *Host) generation() pimentospread.Generation {
	if h.control == nil {
		return 0
	}
	return h.control.LatestView().Generation()
}

func (h *Host) open() error {
	var err error
	s := h.settings
	if h.sockets.data, err = udp.Listen(s.DataAddress); err != nil {
		return err
	}
	if h.sockets.request, err = udp.Listen(s.RequestAddress); err != nil {
		return err
	}
	var tcp net.ListenConfig
	if h.sockets.peer, err = tcp.Listen(context.Background(), "tcp", s.PeerAddress.String()); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot listen on the peer address"), "listen", s.PeerAddress.String())
	}
	if h.sockets.admin, err = tcp.Listen(context.Background(), "tcp", s.AdminAddress.String()); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot listen on the administration address"), "listen", s.AdminAddress.String())
	}
	return nil
}

func (h *Host) openTrace() error {
	if h.settings.TracePath == "" {
		return nil
	}
	file, err := os.Create(h.settings.TracePath)
	if err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot create the trace file"), "open trace", "")
	}
	h.traceFile, h.recorder = file, trace.NewRecorder(file)
	return nil
}

func (h *Host) closeSockets() {
	if h.traceFile != nil {
		_ = h.traceFile.Close()
	}
	if h.sockets.data != nil {
		_ = h.sockets.data.Close()
	}
	if h.sockets.request != nil {
		_ = h.sockets.request.Close()
	}
	if h.sockets.peer != nil {
		_ = h.sockets.peer.Close()
	}
	if h.sockets.admin != nil {
		_ = h.sockets.admin.Close()
	}
}

// Run starts all duties and waits for the context to end or a duty to fail. When
// the context ends, the host first leaves the cell and finishes its work in
// progress. Run then stops the duties and closes the sockets.
func (h *Host) Run(ctx context.Context) error {
	// The end of ctx only starts the shutdown; the duties run until it is complete.
	g := duty.NewGroup(context.WithoutCancel(ctx), h.log)
	// The log duty stops after all others, so that their last lines are written.
	logging, endLog := context.WithCancel(context.WithoutCancel(ctx))
	defer endLog()
	logs := duty.NewGroup(logging, h.log)
	logs.Go("log", h.logDuty.Run)
	if h.recorder != nil {
		g.Go("trace", h.recorder.Run)
		h.recordStart(ctx)
	}
	g.Go("peers", h.network.Run)
	g.Go("control", h.control.Run)
	for _, s := range h.shards {
		g.Go("flows", s.run)
	}
	g.Go("requests", h.requestProcessor.run)
	g.Go("answers", h.answers.run)
	g.Go("attempts", h.attempts.run)
	g.Go("send", h.sender.run)
	g.Go("receive", h.receiver.run)
	g.Go("report", h.queryServer.run)
	g.Go("operator", func(ctx context.Context) error { return h.operator.Run(ctx, h.adminListener()) })
	h.log.Info("host started", "data", h.sockets.data.Address(), "peer", addressOf(h.sockets.peer), "admin", addressOf(h.sockets.admin))
	select {
	case <-ctx.Done():
		h.shutDown(g.Context())
	case <-g.Context().Done():
	}
	g.Stop()
	err := g.WaitFor(dutyStopTimeout)
	h.closeSockets()
	h.log.Info("host stopped")
	endLog()
	return errors.Join(err, logs.WaitFor(logFlushTimeout))
}

func (h *Host) recordStart(ctx context.Context) {
	r := inputRecorder{recorder: h.recorder, host: h.settings.Host}
	r.start(ctx, h.started, trace.Start{
		Incarnation: h.incarnation, FlowShards: h.settings.FlowShards, MaxFlows: maxFlows, Seed: h.seed,
	})
}

func isClosed(err error) bool { return errorx.IsOfType(err, pimentospread.ErrClosed) }
