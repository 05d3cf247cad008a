// Package host runs an entry host. Its Host is the front end for VXLAN with CoAP: it
// starts the duties, connects them by rings and stops them gracefully. Serve runs
// the front end of the encapsulation in the settings, which may also be that of
// package tokenfront.
package host

import (
	"context"
	"io"
	"os"
	"strings"

	"pimentospread"
	"pimentospread/settings"
	"pimentospread/telemetry"
	"pimentospread/tokenfront"
)

// Serve reads the settings, runs an entry host until the context ends and then
// shuts it down gracefully.
func Serve(ctx context.Context, source settings.Source) error {
	data, err := source.Read()
	if err != nil {
		return err
	}
	s, faults, err := settings.Decode(data)
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return invalidSettings(faults)
	}
	f, err := newFront(s, source)
	if err != nil {
		return err
	}
	return f.Run(ctx)
}

// newFront returns the front end for the encapsulation in the settings.
func newFront(s settings.Settings, source settings.Source) (pimentospread.Front, error) {
	if s.Encapsulation == settings.Token {
		return tokenfront.New(tokenfront.Deps{
			Settings: s, Source: source, Clock: pimentospread.SystemClock{}, Output: os.Stdout,
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
	return telemetry.NewLog(telemetry.LogConfig{Output: w, Text: s.LogFormat == "text", Level: s.Level(), Generation: generation})
}
