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
	// covers leaveTime, dutyStopTimeout and logFlushTimeout.
	exitMargin = time.Second
	// leaveTime is the time for sending the end of the subscription to the source.
	leaveTime = 50 * time.Millisecond
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
// packets or until the grace period is nearly over. The host follows changes of routes and
// targets for that long.
func (f *Front) shutDown(ctx context.Context) {
	start := f.clock.Now()
	f.log.Info("shutdown started", "grace", f.settings.ShutdownGrace.Duration)
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
		if f.steeringEnds(start) {
			break
		}
	}
	f.leaveSource(ctx)
}

// steeringEnds reports whether a shutdown that started at the given time is over.
func (f *Front) steeringEnds(start time.Time) bool {
	now, grace := f.clock.Now(), f.settings.ShutdownGrace.Duration
	quiet := now.Sub(f.steering.started.Add(time.Duration(f.steering.lastPacket.Load())))
	switch {
	case now.Sub(start) >= rotationDelay && quiet >= quietPeriod:
		f.log.Info("shutdown finished", "took", now.Sub(start), "quiet", quiet)
	case now.Sub(start) >= grace-exitMargin:
		f.log.Warn("shutdown grace period expired", "grace", grace, "quiet", quiet)
	default:
		return false
	}
	return true
}

// leaveSource ends the subscription to the source of updates and waits a moment for the
// message to be sent. If it is lost, the subscription expires.
func (f *Front) leaveSource(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	if err := f.controller.events.Put(ctx, steeringEnded{}); err != nil {
		f.log.Debug("subscription to the source of updates was not ended", "error", err)
		return
	}
	<-ctx.Done()
}
