package pimentospread

import "time"

// Result is how an attempt at a target ended.
type Result uint8

// Results of an attempt.
const (
	// ResultDone means that the target ran the request to its end.
	ResultDone Result = iota
	// ResultFailed means that the target ran the request and reported an error.
	ResultFailed
	// ResultShed means that the target refused before it started.
	ResultShed
	// ResultTimeout means that no answer came in time.
	ResultTimeout
	// ResultCancelled means that the host withdrew the attempt.
	ResultCancelled
)

// Placement chooses targets for requests and limits how many run at each.
type Placement interface {
	// Pick takes a slot at a target of the service, none of the excluded ones.
	// It reports false when no target has a free slot within this host's limits.
	Pick(now time.Time, service ServiceID, excluded []TargetID) (TargetID, bool)
	// Finish gives the slot back and learns from the result; took is the time since Pick.
	Finish(now time.Time, target TargetID, result Result, took time.Duration)
	// Report takes what a target says of itself.
	Report(now time.Time, report LoadReport)
	// AllowRetry takes a token of the service's retry budget. It reports false when none is left.
	AllowRetry(now time.Time, service ServiceID) bool
	// Started adds to the service's retry budget for a first attempt.
	Started(now time.Time, service ServiceID)
}
