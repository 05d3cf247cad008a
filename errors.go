package pimentospread

import (
	"github.com/joomcode/errorx"
)

// Namespace holds the error types of the project.
var Namespace = errorx.NewNamespace("pimentospread")

// Error types that callers distinguish.
var (
	ErrNotFound    = Namespace.NewType("not_found", errorx.NotFound())
	ErrConflict    = Namespace.NewType("conflict")
	ErrUncertain   = Namespace.NewType("uncertain")
	ErrTimeout     = Namespace.NewType("timeout", errorx.Timeout())
	ErrUnavailable = Namespace.NewType("unavailable", errorx.Temporary())
	ErrInvalid     = Namespace.NewType("invalid")
	ErrRefused     = Namespace.NewType("refused")
	ErrClosed      = Namespace.NewType("closed")
)

// Properties that an error carries.
var (
	stepProperty = errorx.RegisterPrintableProperty("step")
	peerProperty = errorx.RegisterPrintableProperty("peer")
)

// At adds the step and the peer at which an error arose. The peer may be empty.
func At(err *errorx.Error, step, peer string) *errorx.Error {
	err = err.WithProperty(stepProperty, step)
	if peer == "" {
		return err
	}
	return err.WithProperty(peerProperty, peer)
}

// StepOf returns the step at which the error arose, or an empty string.
func StepOf(err error) string { return property(err, stepProperty) }

// PeerOf returns the peer at which the error arose, or an empty string.
func PeerOf(err error) string { return property(err, peerProperty) }

func property(err error, p errorx.Property) string {
	cast := errorx.Cast(err)
	if cast == nil {
		return ""
	}
	v, ok := cast.Property(p)
	if !ok {
		return ""
	}
	s, _ := v.(string)
	return s
}
