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
	// closeTimeout lets an answer in progress end at shutdown.
	closeTimeout = 200 * time.Millisecond
)

// health serves readiness and metrics.
type health struct {
	belief  *belief
	leaving atomic.Bool
	log     *slog.Logger
	mux     *http.ServeMux
}

func newHealth(f *Front) *health {
	h := &health{belief: f.belief, log: f.log, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /readyz", h.readyz)
	h.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	h.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { f.metrics.Write(w) })
	f.registerGauges()
	return h
}

// readyz answers 200 while the host takes packets.
func (h *health) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case h.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !h.belief.ready.Load():
		http.Error(w, "no configuration or no list of targets yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

func (h *health) serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: h.mux, ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelWarn),
	}
	stop := context.AfterFunc(ctx, func() {
		closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := server.Shutdown(closing); err != nil {
			h.log.Debug("calls cut at shutdown", "error", err)
		}
	})
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "HTTP server ended"), "serve", listener.Addr().String())
}

func (f *Front) registerGauges() {
	f.metrics.Gauge("pimentospread_configuration_version", f.gauge(func(s *summary) float64 { return float64(s.version) }))
	f.metrics.Gauge("pimentospread_platform_revision", f.gauge(func(s *summary) float64 { return float64(s.revision) }))
	f.metrics.Gauge("pimentospread_targets", f.gauge(func(s *summary) float64 { return float64(s.targets) }))
	f.metrics.Gauge("pimentospread_belief_age_seconds", f.gauge(func(s *summary) float64 { return f.clock.Now().Sub(s.confirmed).Seconds() }))
	f.metrics.Gauge("pimentospread_hosts", f.gauge(func(s *summary) float64 { return float64(s.hosts) }))
	f.metrics.Gauge("pimentospread_followers", f.gauge(func(s *summary) float64 { return float64(s.followers) }))
	f.metrics.Gauge("pimentospread_reads_platform", f.gauge(func(s *summary) float64 {
		if s.source.Platform {
			return 1
		}
		return 0
	}))
	f.metrics.Gauge(`pimentospread_ring_items{ring="events"}`, func() float64 { return float64(f.belief.events.Len()) })
	f.metrics.Gauge(`pimentospread_ring_items{ring="log"}`, func() float64 { return float64(f.logDuty.Pending()) })
	f.metrics.Gauge(`pimentospread_ring_refused{ring="links"}`, f.refusedByLinks)
	f.metrics.Gauge("pimentospread_log_lines_dropped", func() float64 { return float64(f.logDuty.Dropped()) })
}

// refusedByLinks returns how many messages the queues of present links have dropped.
func (f *Front) refusedByLinks() float64 {
	sum := uint64(0)
	for _, n := range f.network.Refused() {
		sum += n
	}
	return float64(sum)
}

// gauge reads a value from the summary of beliefs, which is missing at first.
func (f *Front) gauge(read func(*summary) float64) func() float64 {
	return func() float64 {
		if s := f.belief.summary.Load(); s != nil {
			return read(s)
		}
		return 0
	}
}
