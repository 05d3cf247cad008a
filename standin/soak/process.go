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
	// probeInterval and probeMisses take a host out of rotation as the fabric does.
	probeInterval = 500 * time.Millisecond
	probeMisses   = 2
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 6 * time.Second
)

// host is an entry host as a process that is started again when it ends.
type host struct {
	number  int
	address netip.Addr
	// advertised is where the other hosts reach it.
	advertised netip.Addr
	// proxy carries its connections to the platform, peers those of other hosts to it.
	proxy   *proxy
	peers   *proxy
	program string
	dir     string
	judge   *judge

	mutex sync.Mutex
	// process is the one that runs. Signals go to it alone, by its id.
	process *os.Process
	// wanted says that an end was asked for.
	wanted bool
	paused bool
	starts int
	inTurn atomic.Bool
}

func (h *host) at(port int) string { return netip.AddrPortFrom(h.address, uint16(port)).String() }

func (h *host) advertises() string { return netip.AddrPortFrom(h.advertised, peerPort).String() }

// settings writes the settings file.
func (h *host) settings(seeds []string) error {
	list := []map[string]string{}
	for _, s := range seeds {
		list = append(list, map[string]string{"PeerAddress": s})
	}
	data, err := json.Marshal(map[string]any{
		"Encapsulation": "token", "Host": fmt.Sprintf("h-%d", h.number), "FailureDomain": fmt.Sprintf("zone-%d", h.number%2),
		"DataAddress": h.at(dataPort), "ReadyAddress": h.at(readyPort), "PeerAddress": h.at(peerPort), "AdvertisedPeerAddress": h.advertises(), "AdminAddress": h.at(adminPort),
		"PlatformURL": "http://" + h.proxy.listener.Addr().String(), "Seeds": list, "ShutdownGrace": graceTime.String(),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(h.path("json"), data, 0o600)
}

func (h *host) path(kind string) string {
	return filepath.Join(h.dir, fmt.Sprintf("host-%d.%s", h.number, kind))
}

// run keeps the process running until the context ends.
func (h *host) run(ctx context.Context) error {
	log, err := os.OpenFile(h.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	for ctx.Err() == nil {
		if err := h.once(ctx, log); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
	return nil
}

func (h *host) once(ctx context.Context, log io.Writer) error {
	// The process ends by kill below, so that its end counts as wanted.
	c := exec.CommandContext(context.WithoutCancel(ctx), h.program, "serve", "--settings", h.path("json"))
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	h.mutex.Lock()
	h.process, h.wanted, h.paused = c.Process, false, false
	h.starts++
	h.mutex.Unlock()
	stop := context.AfterFunc(ctx, func() { h.kill() })
	err := c.Wait()
	stop()
	h.mutex.Lock()
	wanted := h.wanted
	h.process = nil
	h.mutex.Unlock()
	if !wanted && ctx.Err() == nil {
		h.judge.broken("exit", "host %d ended by itself: %v", h.number, err)
	}
	return nil
}

// signal sends a signal to the process, if one runs.
func (h *host) signal(s syscall.Signal, ends bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.process == nil {
		return
	}
	h.wanted = h.wanted || ends
	if ends && h.paused {
		h.judge.woken()
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

// probe keeps the host in rotation while it answers, and reads its version.
func (h *host) probe(ctx context.Context) error {
	client := &http.Client{Timeout: probeInterval}
	misses := 0
	for ctx.Err() == nil {
		if status, _ := fetch(ctx, client, "http://"+h.at(readyPort)+"/readyz"); status == http.StatusOK {
			misses = 0
			h.inTurn.Store(true)
		} else if misses++; misses >= probeMisses {
			h.inTurn.Store(false)
		}
		h.mutex.Lock()
		process := fmt.Sprintf("h-%d start %d", h.number, h.starts)
		h.mutex.Unlock()
		if status, text := fetch(ctx, client, "http://"+h.at(adminPort)+"/metrics"); status == http.StatusOK {
			if m := versionLine.FindStringSubmatch(text); m != nil {
				v, _ := strconv.ParseUint(m[1], 10, 64)
				h.judge.version(process, v)
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
