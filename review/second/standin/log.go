package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is the bound grace_s, after which the platform sends SIGKILL.
	grace = 6 * time.Second
	// unreadTime is how long nobody reads the log before the host is stopped, and flowPause the
	// pause between two flows meanwhile.
	unreadTime = 30 * time.Second
	flowPause  = 20 * time.Millisecond
)

// playLog checks that a host ends on SIGTERM although nobody reads its log.
func playLog(ctx context.Context, s *stage) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(ctx, s.base, []string{"lk-west-neg"}, s.store.address, s.dir, s.record)
	if err != nil {
		return err
	}
	s.write(configuration{version: 73, timeout: 800, routes: map[int]string{8443: "auction-desk"}})
	e, err := newEndpoint(identity{firstInstance, time.Now().UnixMilli()}, "auction-desk", "lk-west-neg", s.after(100), s)
	if err != nil {
		return err
	}
	e.clientPort = c.ports.data
	go e.run(ctx)
	cl, err := newClient(s.after(200), c, s.record)
	if err != nil {
		return err
	}
	go cl.run(ctx)
	reader, writer, err := logSocket()
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close() }()
	h := c.hosts[0]
	cmd := exec.CommandContext(ctx, "target/pimentospread", "serve", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = writer, writer
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = writer.Close()
	var wait sync.WaitGroup
	wait.Go(func() { s.readLog(ctx, reader) })
	wait.Go(func() { h.probe(ctx) })
	defer func() { cancel(); _ = reader.Close(); wait.Wait() }()
	if err := c.awaitReady(ctx, startTime); err != nil {
		_ = cmd.Process.Kill()
		return errors.Join(err, cmd.Wait())
	}
	go s.probeRoutes(ctx, cl)
	sleep(ctx, unreadTime)
	return s.stopProcess(cmd)
}

// logSocket returns the two ends of the stream to which a host writes its log, a socket as
// service managers use it.
func logSocket() (reader, writer *os.File, err error) {
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	return os.NewFile(uintptr(ends[0]), "log reader"), os.NewFile(uintptr(ends[1]), "log writer"), nil
}

// readLog reads the log, unless it is the trouble that nobody does.
func (s *stage) readLog(ctx context.Context, log io.Reader) {
	if s.trouble {
		s.record.add("nobody reads the log")
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, log)
}

// probeRoutes opens flows of a route and of one that never existed, one after the other.
func (s *stage) probeRoutes(ctx context.Context, cl *client) {
	services := []netip.AddrPort{address(8443), address(8444)}
	for n := 0; ctx.Err() == nil; n++ {
		f := cl.newFlow(services[n%2])
		err := f.open(ctx)
		f.close()
		if n < 4 || n%100 == 0 {
			s.record.add("flow %s to %s: %s", f.own, f.service, outcome(err))
		}
		sleep(ctx, flowPause)
	}
}

// stopProcess sends SIGTERM and checks that the process ends within the grace period.
func (s *stage) stopProcess(cmd *exec.Cmd) error {
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	start := time.Now()
	s.record.add("the host gets SIGTERM")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-ended:
		s.record.add("the host ended %.2f s after SIGTERM: %v", time.Since(start).Seconds(), err)
		return nil
	case <-time.After(3 * grace):
	}
	s.record.add("the host still runs %.0f s after SIGTERM", (3 * grace).Seconds())
	_ = cmd.Process.Kill()
	if err := <-ended; err != nil {
		s.record.add("the host was killed: %v", err)
	}
	return fmt.Errorf("%w: Fault: the host hangs: it still ran %.0f s after SIGTERM, the grace period is %.0f s", errBroken, (3 * grace).Seconds(), grace.Seconds())
}
