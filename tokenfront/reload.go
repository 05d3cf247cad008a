package tokenfront

import (
	"bytes"
	"context"
	"time"

	"pimentospread/settings"
)

// reloadInterval is the interval at which the settings are checked for changes.
const reloadInterval = 5 * time.Second

// watchSettings is the duty that reads the settings again on a signal and at regular
// intervals, because the platform may change them without a signal.
func (f *Front) watchSettings(ctx context.Context) error {
	if f.source.Read == nil {
		return nil
	}
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last, err := f.source.Read()
	if err != nil {
		f.log.Warn("cannot read the settings again", "error", err)
	}
	for {
		signal := false
		select {
		case <-ctx.Done():
			return nil
		case <-f.source.ReloadSignal:
			signal = true
		case <-tick.C:
		}
		data, err := f.source.Read()
		switch {
		case err != nil:
			f.log.Warn("cannot read the settings again", "error", err)
		case !bytes.Equal(data, last):
			last = data
			f.applySettings(ctx, data)
		case signal:
			f.log.Info("settings read again, unchanged")
		}
	}
}

// applySettings applies those settings that can change without a restart.
func (f *Front) applySettings(ctx context.Context, data []byte) {
	next, faults, err := settings.Decode(data)
	if err != nil || len(faults) > 0 {
		f.log.Error("changed settings are invalid and not applied", "faults", len(faults), "all", faults, "error", err)
		return
	}
	// Compare with the settings at the start: fields that need a restart still have
	// those values.
	applied, restart := f.settings.Changes(next)
	f.level.Set(next.Level())
	_ = f.steering.settings.Put(ctx, next)
	f.log.Info("settings applied", "changed", applied, "need_restart", restart)
}
