package host

import (
	"context"
	"time"
)

// lingerTime is the shortest time for which a leaving host keeps handling packets.
// The fabric and the peers take up to two heartbeats to notice that it leaves.
const lingerTime = 2 * time.Second

// closeTime is the time for sending the last replies after the grace period.
const closeTime = 200 * time.Millisecond

// shutDown announces to the cell that the host leaves and waits until the flow
// shards have handed over their records and no request is in progress. It returns
// at the latest after the grace period in the settings and closeTime.
func (h *Host) shutDown(ctx context.Context) {
	h.log.Info("shutdown started", "grace", h.settings.ShutdownGrace)
	ctx, cancel := context.WithTimeout(ctx, h.settings.ShutdownGrace.Duration)
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
