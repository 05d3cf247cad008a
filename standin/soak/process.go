package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readyPort = 18167
	peerPort  = 18166
	adminPort = 18464
	// probeInterval is the time between two readiness probes of a host.
	probeInterval = 500 * time.Millisecond
	// probeMisses is the number of failed probes in a row after which a host leaves
	// the rotation, as in the fabric.
	probeMisses = 2
	// shutdownGrace is the ShutdownGrace setting of the hosts.
	shutdownGrace = 6 * time.Second
)

// host runs an entry host as a process and restarts it when it ends.
type host struct {
	number  int
	address netip.Addr
	// advertised is the address under which other hosts connect to it.
	advertised netip.Addr
	// platformProxy forwards the connections of the host to the platform.
	platformProxy *proxy
	// peerProxy forwards the connections of other hosts to the host.
	peerProxy *proxy
	program   string
	dir       string
	checker   *checker

	mutex sync.Mutex
	// process is the running process, or nil. Signals are sent to it by its id only.
	process *os.Process
	// exitExpected is set once the run has sent a signal that ends the process.
	exitExpected bool
	paused       bool
	// starts counts the processes that were started.
	starts int
	// inRotation is set while callers send packets to the host.
	inRotation atomic.Bool
}

// endpoint returns the address of the host with the given port.
func (h *host) endpoint(port int) string { return netip.AddrPortFrom(h.address, uint16(port)).String() }

func (h *host) advertisedPeerAddress() string {
	return netip.AddrPortFrom(h.advertised, peerPort).String()
}

// writeSettings writes the settings file of the host.
func (h *host) writeSettings(seeds []string) error {
	list := []map[string]string{}
	for _, s := range seeds {
		list = append(list, map[string]string{"PeerAddress": s})
	}
	data, err := json.Marshal(map[string]any{
		"Encapsulation": "token", "Host": fmt.Sprintf("h-%d", h.number), "FailureDomain": fmt.Sprintf("zone-%d", h.number%2),
		"DataAddress": h.endpoint(dataPort), "ReadyAddress": h.endpoint(readyPort), "PeerAddress": h.endpoint(peerPort), "AdvertisedPeerAddress": h.advertisedPeerAddress(), "AdminAddress": h.endpoint(adminPort),
		"PlatformURL": "http://" + h.platformProxy.listener.Addr().String(), "Seeds": list, "Evacuations": true, "ShutdownGrace": shutdownGrace.String(),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(h.path("json"), data, 0o600)
}

func (h *host) path(kind string) string {
	return filepath.Join(h.dir, fmt.Sprintf("host-%d.%s", h.number, kind))
}

// run restarts the process whenever it ends, until the context ends.
func (h *host) run(ctx context.Context) error {
	log, err := os.OpenFile(h.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	for ctx.Err() == nil {
		if err := h.runProcess(ctx, log); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
	return nil
}

// runProcess runs the process once and reports a violation when it exits unexpectedly.
func (h *host) runProcess(ctx context.Context, log io.Writer) error {
	// The process is not bound to the context: the kill below ends it, so that its
	// exit counts as expected.
	c := exec.CommandContext(context.WithoutCancel(ctx), h.program, "serve", "--settings", h.path("json"))
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	h.mutex.Lock()
	h.process, h.exitExpected, h.paused = c.Process, false, false
	h.starts++
	h.mutex.Unlock()
	stop := context.AfterFunc(ctx, func() { h.kill() })
	err := c.Wait()
	stop()
	h.mutex.Lock()
	exitExpected := h.exitExpected
	h.process = nil
	h.mutex.Unlock()
	if !exitExpected && ctx.Err() == nil {
		h.checker.addViolation("exit", "host %d ended by itself: %v", h.number, err)
	}
	return nil
}

// signal sends a signal to the process, if one runs. A paused process resumes
// first when the signal is to end it.
func (h *host) signal(s syscall.Signal, expectExit bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.process == nil {
		return
	}
	h.exitExpected = h.exitExpected || expectExit
	if expectExit && h.paused {
		h.checker.hostResumed()
		_ = h.process.Signal(syscall.SIGCONT)
	}
	_ = h.process.Signal(s)
}

func (h *host) kill() { h.signal(syscall.SIGKILL, true) }

func (h *host) pause(on bool) {
	s := syscall.SIGCONT
	if on {
		s = syscall.SIGSTOP
	}
	h.signal(s, false)
	h.mutex.Lock()
	h.paused = on && h.process != nil
	h.mutex.Unlock()
}

var versionLine = regexp.MustCompile(`(?m)^pimentospread_configuration_version (\d+)`)

// probe keeps the host in rotation while its readiness probe succeeds, and checks
// the configuration version in its metrics.
func (h *host) probe(ctx context.Context) error {
	client := &http.Client{Timeout: probeInterval}
	misses := 0
	for ctx.Err() == nil {
		if status, _ := fetch(ctx, client, "http://"+h.endpoint(readyPort)+"/readyz"); status == http.StatusOK {
			misses = 0
			h.inRotation.Store(true)
		} else if misses++; misses >= probeMisses {
			h.inRotation.Store(false)
		}
		h.mutex.Lock()
		process := fmt.Sprintf("h-%d start %d", h.number, h.starts)
		h.mutex.Unlock()
		if status, text := fetch(ctx, client, "http://"+h.endpoint(adminPort)+"/metrics"); status == http.StatusOK {
			if m := versionLine.FindStringSubmatch(text); m != nil {
				v, _ := strconv.ParseUint(m[1], 10, 64)
				h.checker.checkVersion(process, v)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
	return nil
}

func fetch(ctx context.Context, client *http.Client, url string) (int, string) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, ""
	}
	a, err := client.Do(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(text)
}
