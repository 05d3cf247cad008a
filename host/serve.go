// Package host runs an entry host: it starts the duties, joins them by rings
// and stops them gracefully.
package host

import (
	"context"
	"io"
	"log/slog"
	"os"
	"strings"

	"pimentospread"
	"pimentospread/front"
	"pimentospread/settings"
	"pimentospread/telemetry"
)

// Serve runs an entry host with the given settings until the context ends, and
// then shuts it down gracefully.
func Serve(ctx context.Context, data []byte) error {
	s, faults, err := settings.Decode(data)
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return invalidSettings(faults)
	}
	f, err := newFront(s)
	if err != nil {
		return err
	}
	return f.Run(ctx)
}

// newFront returns the front of the encapsulation in the settings.
func newFront(s settings.Settings) (pimentospread.Front, error) {
	if s.Encapsulation == settings.Token {
		return front.New(front.Deps{
			Settings: s, Clock: pimentospread.SystemClock{}, Metrics: telemetry.NewRegistry(), Log: newLog(s, os.Stdout, nil),
		})
	}
	return New(Deps{Settings: s, Clock: pimentospread.SystemClock{}, LogOutput: os.Stdout})
}

func invalidSettings(faults []pimentospread.Fault) error {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return pimentospread.At(pimentospread.ErrInvalid.New("the settings have %d faults: %s", len(faults), strings.Join(lines, "; ")), "check settings", "")
}

func newLog(s settings.Settings, w io.Writer, generation func() pimentospread.Generation) *telemetry.Log {
	var level slog.Level
	// The settings were checked; an unknown level keeps the default.
	_ = level.UnmarshalText([]byte(s.LogLevel))
	return telemetry.NewLog(telemetry.LogConfig{Output: w, Text: s.LogFormat == "text", Level: level, Generation: generation})
}
