package tokenfront

import (
	"bytes"
	"context"
	"time"

	"pimentospread/settings"
)

// reloadInterval is how often the settings are read again without a signal.
const reloadInterval = 5 * time.Second

// reload is the duty that reads the settings again on a signal, and now and
// then, since the platform may change them without one.
func (f *Front) reload(ctx context.Context) error {
	if f.source.Read == nil {
		return nil
	}
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	last, err := f.source.Read()
	if err != nil {
		f.log.Warn("settings cannot be read again", "error", err)
	}
	for {
		signal := false
		select {
		case <-ctx.Done():
			return nil
		case <-f.source.Again:
			signal = true
		case <-tick.C:
		}
		data, err := f.source.Read()
		switch {
		case err != nil:
			f.log.Warn("settings cannot be read again", "error", err)
		case !bytes.Equal(data, last):
			last = data
			f.takeSettings(ctx, data)
		case signal:
			f.log.Info("settings read again, unchanged")
		}
	}
}

// takeSettings puts into force what can change without a restart.
func (f *Front) takeSettings(ctx context.Context, data []byte) {
	next, faults, err := settings.Decode(data)
	if err != nil || len(faults) > 0 {
		f.log.Error("changed settings are not sound and not taken", "faults", len(faults), "all", faults, "error", err)
		return
	}
	// Compared with the settings of the start, as fields that need a restart still have those values.
	now, restart := f.settings.Changes(next)
	f.level.Set(next.Level())
	_ = f.steering.settings.Put(ctx, next)
	f.log.Info("settings taken", "changed", now, "need_restart", restart)
}
