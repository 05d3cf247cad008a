package pimentospread

import "time"

// Slots is a number of requests that a target can run at the same time.
type Slots uint32

// Connections is a number of open flows.
type Connections uint32

// Bytes is an amount of data.
type Bytes uint64

// Megabits is the speed of a link in megabits per second.
type Megabits uint32

// BytesPerSecond is a data rate.
type BytesPerSecond uint64

// Weight is a relative share. Zero means the default of 1.
type Weight uint32

// Urgency orders classes of work. A higher value is served first.
type Urgency uint8

// Ratio is a share between 0 and 1, or a quotient of two quantities.
type Ratio float64

// Duration is a time.Duration that is encoded in JSON as a string with a unit, such as
// "1m30s".
type Duration struct{ time.Duration }

// MarshalText returns the duration as a string with a unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses the format of time.ParseDuration, which requires a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return At(ErrInvalid.Wrap(err, "duration %q needs a unit, such as 10s", text), "decode", "")
	}
	d.Duration = v
	return nil
}
