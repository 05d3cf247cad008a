package pimentospread

import "fmt"

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
