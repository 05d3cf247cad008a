package pimentospread

import "time"

// Result is the outcome of an attempt at a target.
type Result uint8

// Results of an attempt.
const (
	// ResultDone means that the target completed the request.
	ResultDone Result = iota
	// ResultFailed means that the target ran the request and reported an error.
	ResultFailed
	// ResultShed means that the target refused the request before running it.
	ResultShed
	// ResultTimeout means that no answer arrived in time.
	ResultTimeout
	// ResultCancelled means that the host cancelled the attempt.
	ResultCancelled
)

// Placement selects targets for requests and limits how many run at each target.
type Placement interface {
	// Pick reserves a slot at a target of the service that is not excluded. It reports
	// false if no such target has a free slot within the limits of this host.
	Pick(now time.Time, service ServiceID, excluded []TargetID) (TargetID, bool)
	// Finish releases the slot and records the result; took is the time since Pick.
	Finish(now time.Time, target TargetID, result Result, took time.Duration)
	// Report records a load report of a target.
	Report(now time.Time, report LoadReport)
	// AllowRetry takes a token from the retry budget of the service. It reports false if
	// none is left.
	AllowRetry(now time.Time, service ServiceID) bool
	// Started records a first attempt, which adds to the retry budget of the service.
	Started(now time.Time, service ServiceID)
}
