package pimentospread

import (
	"fmt"

	"github.com/joomcode/errorx"
)

// Fault is an invalid value that a check found.
type Fault struct {
	// Path is the path of the invalid value.
	Path string `json:"Path"`
	// Problem describes what is wrong with the value.
	Problem string `json:"Problem"`
}

// String returns the path and the problem.
func (f Fault) String() string { return f.Path + ": " + f.Problem }

// Faultf returns a fault with a formatted problem.
func Faultf(path, format string, args ...any) Fault {
	return Fault{Path: path, Problem: fmt.Sprintf(format, args...)}
}

var faultsProperty = errorx.RegisterProperty("faults")

// WithFaults attaches to an error the faults that caused it.
func WithFaults(err *errorx.Error, faults []Fault) *errorx.Error {
	return err.WithProperty(faultsProperty, faults)
}

// FaultsOf returns the faults attached to an error.
func FaultsOf(err error) []Fault {
	cast := errorx.Cast(err)
	if cast == nil {
		return nil
	}
	v, _ := cast.Property(faultsProperty)
	faults, _ := v.([]Fault)
	return faults
}
