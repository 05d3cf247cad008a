// Package burn holds the service-level burn report.
package burn

// Report is the burn report of one host or of several hosts together.
type Report struct{}
