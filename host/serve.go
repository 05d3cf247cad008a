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
	"pimentospread/settings"
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
	h, err := New(Deps{Settings: s, Clock: pimentospread.SystemClock{}, LogOutput: os.Stderr})
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

func invalidSettings(faults []pimentospread.Fault) error {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return pimentospread.At(pimentospread.ErrInvalid.New("the settings have %d faults: %s", len(faults), strings.Join(lines, "; ")), "check settings", "")
}

func newLogger(s settings.Settings, w io.Writer, generation func() pimentospread.Generation) *slog.Logger {
	var level slog.Level
	// The settings were checked; an unknown level keeps the default.
	_ = level.UnmarshalText([]byte(s.LogLevel))
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: withoutStack}
	var handler slog.Handler = slog.NewJSONHandler(w, options)
	if s.LogFormat == "text" {
		handler = slog.NewTextHandler(w, options)
	}
	return slog.New(newLimitedHandler(handler, generation)).With("host", s.Host, "failure_domain", s.FailureDomain)
}

// withoutStack writes an error as one plain line. The text handler would print
// the stack that errorx keeps as well.
func withoutStack(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, pimentospread.Text(err))
	}
	return a
}
