package tokenfront

import (
	"context"
	"time"
)

const (
	// quietPeriod is the time without packets after which the fabric has taken the host
	// out of rotation. The fabric checks readiness twice a second and requires two
	// failed checks.
	quietPeriod = 700 * time.Millisecond
	// exitMargin is the part of the grace period that is left for stopping the duties. It
	// covers dutyStopTimeout and logFlushTimeout.
	exitMargin = time.Second
	// dutyStopTimeout limits the wait for the duties when they are stopped.
	dutyStopTimeout = 500 * time.Millisecond
	// logFlushTimeout limits the wait for the last lines of the log.
	logFlushTimeout = 200 * time.Millisecond
	// quietCheck is the interval at which the shutdown checks for packets.
	quietCheck = 100 * time.Millisecond
	// rotationDelay is how long the fabric takes to detect that the host is not ready.
	rotationDelay = 1500 * time.Millisecond
)

// shutDown makes the host not ready and keeps steering until the fabric sends no more
// packets or until the grace period is nearly over.
func (f *Front) shutDown(ctx context.Context) {
	start := f.clock.Now()
	grace := f.settings.ShutdownGrace.Duration
	f.log.Info("shutdown started", "grace", grace)
	f.health.shuttingDown.Store(true)
	announced, cancel := context.WithTimeout(ctx, rotationDelay)
	defer cancel()
	if err := f.controller.events.Put(announced, shutdownStarted{}); err != nil {
		f.log.Warn("cannot announce the shutdown to other hosts", "error", err)
	}
	check := time.NewTicker(quietCheck)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		}
		now := f.clock.Now()
		quiet := now.Sub(f.steering.started.Add(time.Duration(f.steering.lastPacket.Load())))
		switch {
		case now.Sub(start) >= rotationDelay && quiet >= quietPeriod:
			f.log.Info("shutdown finished", "took", now.Sub(start), "quiet", quiet)
			return
		case now.Sub(start) >= grace-exitMargin:
			f.log.Warn("shutdown grace period expired", "grace", grace, "quiet", quiet)
			return
		}
	}
}
