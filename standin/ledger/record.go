// Package ledger holds what the stand-ins note of a run, and compares what
// callers were told with what targets did.
package ledger

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"pimentospread"
)

// Run is one start of a request at a target.
type Run struct {
	Request    pimentospread.RequestID
	Attempt    pimentospread.AttemptID
	Class      pimentospread.Class
	Idempotent bool
	Started    time.Time
	// Ended is how the run ended.
	Ended RunState
}

// RunState says how a run ended.
type RunState string

// Endings of a run.
const (
	// Running requests have not ended.
	Running RunState = "Running"
	// Done requests were answered.
	Done RunState = "Done"
	// Cancelled requests were withdrawn while they ran.
	Cancelled RunState = "Cancelled"
	// Failed requests ran and were answered with an error.
	Failed RunState = "Failed"
)

// Target is what one target noted.
type Target struct {
	Name    pimentospread.TargetName
	Service pimentospread.ServiceName
	Runs    []Run
	// Flows is the number of open flows, and OpenedFlows of all that were accepted.
	Flows, OpenedFlows int
	// Misdelivered frames named another service or another target.
	Misdelivered int
	// ResetsSent answered packets of flows that the target does not know.
	ResetsSent int
	// Malformed datagrams could not be decoded.
	Malformed int
	// Shed attempts were refused before they started.
	Shed int
	// Repeated attempts arrived a second time and were not run again.
	Repeated int
	// Late is new work that started more than the grace after the target began to drain.
	Late int
	// Draining says that the target takes no new work.
	Draining bool
}

// Result is what a caller was told about a request.
type Result string

// What callers are told.
const (
	Answered     Result = "Answered"
	TargetFailed Result = "TargetFailed"
	NotRun       Result = "NotRun"
	Unknown      Result = "Unknown"
	Malformed    Result = "Malformed"
	// Withdrawn requests were cancelled by the caller, who is told nothing.
	Withdrawn Result = "Withdrawn"
	// NoReply means that no reply came until the deadline and the time after it.
	NoReply Result = "Nothing"
)

// RequestRecord is one request of a caller.
type RequestRecord struct {
	Request    pimentospread.RequestID
	Service    pimentospread.ServiceName
	Class      pimentospread.Class
	Idempotent bool
	Told       Result
	// Wrong says that the answer was not the whole answer to this request.
	Wrong bool
	// Contradicted says that a later reply told something else.
	Contradicted bool
	// At is the time of the first transmission since the start of the plan.
	At pimentospread.Duration
	// Took is the time from the first transmission to the outcome.
	Took pimentospread.Duration
}

// FlowCounts is what a caller noted of its flows to one service.
type FlowCounts struct {
	Service pimentospread.ServiceName
	// Opened flows were established.
	Opened int
	// Refused flows never were.
	Refused int
	// Held flows were still answered at the end.
	Held int
	// Broken flows were established and then reset or silent.
	Broken int
	// Reset and Silent are the two ways of breaking.
	Reset, Silent int
}

// Caller is what one caller process noted.
type Caller struct {
	Flows    []FlowCounts
	Requests []RequestRecord
}

// AnswerContent returns the answer to a request. It follows from the request alone,
// so that a caller can tell a foreign or incomplete answer from its own.
func AnswerContent(id pimentospread.RequestID, size int) []byte {
	b := make([]byte, 0, size+8)
	source := rand.NewPCG(uint64(id.Caller), id.Sequence)
	for len(b) < size {
		b = binary.BigEndian.AppendUint64(b, source.Uint64())
	}
	return b[:size]
}
