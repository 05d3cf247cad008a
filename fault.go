package pimentospread

import (
	"fmt"

	"github.com/joomcode/errorx"
)

// Fault is one finding of a check, with the path of the value at fault.
type Fault struct {
	Path    string `json:"Path"`
	Problem string `json:"Problem"`
}

// String returns the path and the problem.
func (f Fault) String() string { return f.Path + ": " + f.Problem }

// Faultf returns a fault with a formatted problem.
func Faultf(path, format string, args ...any) Fault {
	return Fault{Path: path, Problem: fmt.Sprintf(format, args...)}
}

var faultsProperty = errorx.RegisterProperty("faults")

// WithFaults returns the error with the findings that led to it.
func WithFaults(err *errorx.Error, faults []Fault) *errorx.Error {
	return err.WithProperty(faultsProperty, faults)
}

// FaultsOf returns the findings that an error carries.
func FaultsOf(err error) []Fault {
	cast := errorx.Cast(err)
	if cast == nil {
		return nil
	}
	v, _ := cast.Property(faultsProperty)
	faults, _ := v.([]Fault)
	return faults
}
