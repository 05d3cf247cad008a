// Package operator implements the administration API, which uses HTTP and JSON,
// and its client.
package operator

import (
	"context"
	"crypto/subtle"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/publish"
	"pimentospread/release"
	"pimentospread/slo"
	"pimentospread/strict"
)

const (
	// maxBody limits a request body. The platform stores values of up to 1 MiB.
	maxBody = 1 << 20
	// maxWait limits how long a watch request waits.
	maxWait           = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// Deps are the dependencies of a Server.
type Deps struct {
	Log       *slog.Logger
	Publisher *publish.Publisher
	// Token is the bearer token required for changes. If it is empty, every change is refused.
	Token string
	// Release waits until the generation of the host's release is above after and
	// returns the release.
	Release func(ctx context.Context, after pimentospread.Generation) (*release.Release, error)
	Status  func(ctx context.Context) (member.CellStatus, error)
	// Burn returns this host's part of the burn report.
	Burn    func(ctx context.Context) (slo.HostReport, error)
	Metrics func(w io.Writer)
	Ready   func(ctx context.Context) bool
}

// Server serves the administration API.
type Server struct {
	deps Deps
	mux  *http.ServeMux
}

// NewServer returns a server. It handles requests once Run is called.
func NewServer(deps Deps) *Server {
	s := &Server{deps: deps, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/release", s.getRelease)
	s.mux.HandleFunc("GET /v1/status", s.getStatus)
	s.mux.HandleFunc("GET /v1/burn", s.getBurn)
	s.mux.HandleFunc("POST /v1/check", s.check)
	s.mux.HandleFunc("POST /v1/changes", s.change)
	s.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.deps.Metrics(w) })
	s.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.mux.HandleFunc("GET /readyz", s.readyz)
	return s
}

// ServeHTTP handles one request to the API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	s.mux.ServeHTTP(w, r)
}

// Run serves the API on the listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ErrorLog:          slog.NewLogLogger(s.deps.Log.Handler(), slog.LevelWarn),
	}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "administration API stopped unexpectedly"), "serve", listener.Addr().String())
}

func (s *Server) getRelease(w http.ResponseWriter, r *http.Request) {
	after, wait, err := watchParameters(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	ctx := r.Context()
	if wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	current, err := s.deps.Release(ctx, after)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, current)
}

// watchParameters returns the generation and the maximum wait of a watch request.
func watchParameters(r *http.Request) (pimentospread.Generation, time.Duration, error) {
	q := r.URL.Query()
	var after uint64
	var wait time.Duration
	var err error
	if text := q.Get("After"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "After is not a generation"), "decode", "")
		}
	}
	if text := q.Get("Wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return 0, 0, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "Wait is not a duration with a unit"), "decode", "")
		}
	}
	if after > 0 && wait == 0 {
		wait = maxWait
	}
	return pimentospread.Generation(after), min(wait, maxWait), nil
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.deps.Status(r.Context())
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, status)
}

func (s *Server) getBurn(w http.ResponseWriter, r *http.Request) {
	report, err := s.deps.Burn(r.Context())
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, report)
}

func (s *Server) check(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeProblem(w, bodyError(err))
		return
	}
	faults, err := release.CheckSet(body)
	if err != nil {
		writeProblem(w, err)
		return
	}
	if len(faults) > 0 {
		writeProblem(w, publish.NewInvalidError(faults))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(r) {
		writeProblem(w, pimentospread.At(pimentospread.ErrRefused.New("a change needs the administration token"), "authorize", r.RemoteAddr))
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeProblem(w, bodyError(err))
		return
	}
	var c publish.Change
	faults, err := strict.Decode(body, &c)
	if err == nil && len(faults) > 0 {
		err = publish.NewInvalidError(faults)
	}
	if err != nil {
		writeProblem(w, err)
		return
	}
	published, err := s.deps.Publisher.Publish(r.Context(), c)
	if err != nil {
		s.deps.Log.Warn("change refused", "publisher", c.Publisher, "peer", r.RemoteAddr, "error", err, "faults", pimentospread.FaultsOf(err))
		writeProblem(w, err)
		return
	}
	s.deps.Log.Info("change accepted", "publisher", c.Publisher, "accepted_generation", published.Generation)
	writeJSON(w, published)
}

func (s *Server) authorized(r *http.Request) bool {
	presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return ok && s.deps.Token != "" && subtle.ConstantTimeCompare([]byte(presented), []byte(s.deps.Token)) == 1
}

func (s *Server) readyz(w http.ResponseWriter, r *http.Request) {
	if !s.deps.Ready(r.Context()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func bodyError(err error) error {
	return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "the body cannot be read"), "decode", "")
}
