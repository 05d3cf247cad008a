package main

import (
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run, with the time since the start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path) //nolint:gosec // the path is an argument of the script
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add appends a line.
func (r *record) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// holders records at which endpoint each flow is open, and which endpoint has reset it.
type holders struct {
	mutex         sync.Mutex
	open, resetBy map[netip.AddrPort]string
}

func newHolders() *holders {
	return &holders{open: map[netip.AddrPort]string{}, resetBy: map[netip.AddrPort]string{}}
}

// opened records the endpoint at which a flow of a client opened first.
func (h *holders) opened(client netip.AddrPort, endpoint string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.open[client] == "" {
		h.open[client] = endpoint
	}
}

// reset records the endpoint that sent a reset to a client.
func (h *holders) reset(client netip.AddrPort, endpoint string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.resetBy[client] = endpoint
}

// of returns the endpoint at which the flow of a client is open, and the one that reset it.
func (h *holders) of(client netip.AddrPort) (holder, resetBy string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.open[client], h.resetBy[client]
}
