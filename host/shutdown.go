package host

import (
	"context"
	"time"
)

// lingerTime is the shortest time for which a leaving host keeps handling packets.
// The fabric and the peers take up to two heartbeats to notice that it leaves.
const lingerTime = 2 * time.Second

const (
	// closeTime is the time for sending the last replies after shutDown stopped waiting.
	closeTime = 200 * time.Millisecond
	// dutyStopTimeout limits the wait for the duties when they are stopped, and
	// logFlushTimeout that for the last lines of the log.
	dutyStopTimeout = 500 * time.Millisecond
	logFlushTimeout = 200 * time.Millisecond
	// exitMargin is the part of the grace period that is left for all of these.
	exitMargin = closeTime + dutyStopTimeout + logFlushTimeout + 100*time.Millisecond
)

// shutDown announces to the cell that the host leaves and waits until the flow
// shards have handed over their records and no request is in progress. It returns
// early enough that the process ends within the grace period in the settings.
func (h *Host) shutDown(ctx context.Context) {
	h.log.Info("shutdown started", "grace", h.settings.ShutdownGrace)
	ctx, cancel := context.WithTimeout(ctx, max(h.settings.ShutdownGrace.Duration-exitMargin, 0))
	defer cancel()
	if err := h.control.Leave(ctx); err != nil {
		h.log.Error("shutdown could not be announced", "error", err)
		return
	}
	linger := time.NewTimer(lingerTime)
	defer linger.Stop()
	lingered := false
	done := make(map[int]bool, len(h.shards)+1)
	for !lingered || !h.allDone(done) {
		select {
		case p := <-h.progress.Items():
			done[p.worker] = p.done
		case <-linger.C:
			lingered = true
		case <-ctx.Done():
			h.log.Warn("shutdown grace period expired", "grace", h.settings.ShutdownGrace, "error", ctx.Err())
			h.closeRequests(ctx)
			return
		}
	}
}

// closeRequests ends the unfinished requests and waits closeTime for the replies to
// be sent, which report to each caller the outcome known so far.
func (h *Host) closeRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTime)
	defer cancel()
	if err := h.requestProcessor.closing.Put(ctx, struct{}{}); err != nil {
		return
	}
	<-ctx.Done()
}

func (h *Host) allDone(done map[int]bool) bool {
	for i := range len(h.shards) + 1 {
		if !done[i] {
			return false
		}
	}
	return true
}
