package tokenfront

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pimentospread"
)

const (
	readHeaderTimeout = 5 * time.Second
	// closeTimeout is how long responses in progress may take at shutdown.
	closeTimeout = 200 * time.Millisecond
)

// health serves the readiness, liveness and metrics endpoints.
type health struct {
	controller   *controller
	shuttingDown atomic.Bool
	log          *slog.Logger
	mux          *http.ServeMux
}

func newHealth(f *Front) *health {
	h := &health{controller: f.controller, log: f.log, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /readyz", h.readyz)
	h.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	h.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { f.metrics.Write(w) })
	f.registerGauges()
	return h
}

// readyz responds with 200 while the host accepts packets.
func (h *health) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case h.shuttingDown.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !h.controller.ready.Load():
		http.Error(w, "no configuration or no list of targets yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

// serve serves HTTP requests on the listener until the context ends.
func (h *health) serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: h.mux, ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelWarn),
	}
	stop := context.AfterFunc(ctx, func() {
		closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := server.Shutdown(closing); err != nil {
			h.log.Debug("HTTP requests were interrupted by the shutdown", "error", err)
		}
	})
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "HTTP server failed"), "serve", listener.Addr().String())
}

// registerGauges registers the gauges that read the state of the host.
func (f *Front) registerGauges() {
	f.metrics.Gauge("pimentospread_configuration_version", f.gauge(func(s *summary) float64 { return float64(s.version) }))
	f.metrics.Gauge("pimentospread_platform_revision", f.gauge(func(s *summary) float64 { return float64(s.revision.Revision()) }))
	f.metrics.Gauge("pimentospread_platform_era", f.gauge(func(s *summary) float64 { return float64(s.revision.Era()) }))
	f.metrics.Gauge("pimentospread_targets", f.gauge(func(s *summary) float64 { return float64(s.targets) }))
	f.metrics.Gauge("pimentospread_belief_age_seconds", f.gauge(func(s *summary) float64 { return f.clock.Now().Sub(s.confirmed).Seconds() }))
	f.metrics.Gauge("pimentospread_evacuated_domains", f.gauge(func(s *summary) float64 { return float64(s.evacuated) }))
	f.metrics.Gauge("pimentospread_hosts", f.gauge(func(s *summary) float64 { return float64(s.hosts) }))
	f.metrics.Gauge("pimentospread_followers", f.gauge(func(s *summary) float64 { return float64(s.followers) }))
	f.metrics.Gauge("pimentospread_reads_platform", f.gauge(func(s *summary) float64 {
		if s.sources.Platform {
			return 1
		}
		return 0
	}))
	f.metrics.Gauge(`pimentospread_ring_items{ring="events"}`, func() float64 { return float64(f.controller.events.Len()) })
	f.metrics.Gauge(`pimentospread_ring_items{ring="log"}`, func() float64 { return float64(f.logDuty.Pending()) })
	f.metrics.Gauge(`pimentospread_ring_refused{ring="links"}`, f.refusedByLinks)
	f.metrics.Gauge("pimentospread_log_lines_dropped", func() float64 { return float64(f.logDuty.Dropped()) })
}

// refusedByLinks returns how many messages the queues of the current connections have
// dropped.
func (f *Front) refusedByLinks() float64 {
	total := uint64(0)
	for _, n := range f.network.Dropped() {
		total += n
	}
	return float64(total)
}

// gauge returns a function that reads a value from the controller's summary. The value
// is 0 until there is a summary.
func (f *Front) gauge(read func(*summary) float64) func() float64 {
	return func() float64 {
		if s := f.controller.summary.Load(); s != nil {
			return read(s)
		}
		return 0
	}
}
