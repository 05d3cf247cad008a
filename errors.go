package pimentospread

import (
	"strings"

	"github.com/joomcode/errorx"
)

// Namespace is the namespace of the error types of the project.
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
	ErrExpired     = Namespace.NewType("expired")
)

// Properties of an error.
var (
	stepProperty = errorx.RegisterPrintableProperty("step")
	peerProperty = errorx.RegisterPrintableProperty("peer")
)

// At adds the step and the peer at which an error occurred. The peer may be empty.
func At(err *errorx.Error, step, peer string) *errorx.Error {
	err = err.WithProperty(stepProperty, step)
	if peer == "" {
		return err
	}
	return err.WithProperty(peerProperty, peer)
}

// StepOf returns the step at which the error occurred, or an empty string.
func StepOf(err error) string { return property(err, stepProperty) }

// PeerOf returns the peer at which the error occurred, or an empty string.
func PeerOf(err error) string { return property(err, peerProperty) }

// property returns the value of a string property of the error, or an empty string.
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

// MessageOf returns the messages of the error and its causes on one line, without the
// names of error types, properties and stack traces.
func MessageOf(err error) string {
	var parts []string
	for err != nil {
		text, cause := err.Error(), error(nil)
		if cast := errorx.Cast(err); cast != nil {
			text, cause = cast.Message(), cast.Cause()
		}
		if text != "" {
			parts = append(parts, text)
		}
		err = cause
	}
	return strings.Join(parts, ": ")
}

// Text returns the message of the error with its step and peer, for display.
func Text(err error) string { return WithStepAndPeer(MessageOf(err), StepOf(err), PeerOf(err)) }

// WithStepAndPeer appends the step and the peer to the message. Both may be empty.
func WithStepAndPeer(message, step, peer string) string {
	switch {
	case step == "":
		return message
	case peer == "":
		return message + " (step " + step + ")"
	default:
		return message + " (step " + step + ", peer " + peer + ")"
	}
}
