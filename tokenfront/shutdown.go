package tokenfront

import (
	"context"
	"time"
)

const (
	// quietTime without a packet shows that the fabric has taken the host out
	// of rotation. It asks twice a second and wants two refusals.
	quietTime = 700 * time.Millisecond
	// exitMargin is left of the grace for the end of the duties.
	exitMargin = time.Second
	// quietCheck is how often the shutdown looks for packets.
	quietCheck = 100 * time.Millisecond
	// rotationTime is what the fabric takes to notice that the host leaves.
	rotationTime = 1500 * time.Millisecond
)

// shutDown makes the host unready and goes on steering until the fabric sends
// no more packets, or until the grace is nearly over.
func (f *Front) shutDown(ctx context.Context) {
	began := f.clock.Now()
	grace := f.settings.ShutdownGrace.Duration
	f.log.Info("shutdown started", "grace", grace)
	f.health.leaving.Store(true)
	if err := f.belief.events.Put(ctx, leaving{}); err != nil {
		f.log.Warn("shutdown could not be announced to other hosts", "error", err)
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
		case now.Sub(began) >= rotationTime && quiet >= quietTime:
			f.log.Info("shutdown finished", "took", now.Sub(began), "quiet", quiet)
			return
		case now.Sub(began) >= grace-exitMargin:
			f.log.Warn("shutdown ended by its grace", "grace", grace, "quiet", quiet)
			return
		}
	}
}
