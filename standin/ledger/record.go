// Package ledger defines the records that callers and targets keep of a run, and
// compares the results that callers received with the runs at targets.
package ledger

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"pimentospread"
)

// Run is the record of one execution of a request at a target.
type Run struct {
	Request    pimentospread.RequestID
	Attempt    pimentospread.AttemptID
	Class      pimentospread.Class
	Idempotent bool
	Started    time.Time
	// Ended is Running until the run has ended.
	Ended RunState
}

// RunState is the state of a run.
type RunState string

// States of a run.
const (
	// Running means that the run has not ended.
	Running RunState = "Running"
	// Done means that the target answered the request.
	Done RunState = "Done"
	// Cancelled means that the request was withdrawn during the run.
	Cancelled RunState = "Cancelled"
	// Failed means that the target answered the request with an error.
	Failed RunState = "Failed"
)

// Target is the ledger of one target.
type Target struct {
	Name    pimentospread.TargetName
	Service pimentospread.ServiceName
	Runs    []Run
	// Flows is the number of open flows, and OpenedFlows the number of all accepted flows.
	Flows, OpenedFlows int
	// Misdelivered is the number of frames for another service or target.
	Misdelivered int
	// ResetsSent is the number of resets sent in answer to packets of unknown flows.
	ResetsSent int
	// Malformed is the number of datagrams that could not be decoded.
	Malformed int
	// Shed is the number of attempts that the target refused before they started.
	Shed int
	// Repeated is the number of attempts that arrived again and were not run again.
	Repeated int
	// Late is the number of flows and requests that started after the grace
	// period, which begins when the target starts to drain.
	Late int
	// Draining reports whether the target accepts no new flows and requests.
	Draining bool
}

// Result is the result that a caller received for a request.
type Result string

// Results of a request.
const (
	Answered     Result = "Answered"
	TargetFailed Result = "TargetFailed"
	NotRun       Result = "NotRun"
	Unknown      Result = "Unknown"
	Malformed    Result = "Malformed"
	// Withdrawn means that the caller cancelled the request; no reply follows.
	Withdrawn Result = "Withdrawn"
	// NoReply means that no reply arrived until some time after the deadline.
	NoReply Result = "Nothing"
)

// RequestRecord is the record of one request at its caller.
type RequestRecord struct {
	Request    pimentospread.RequestID
	Service    pimentospread.ServiceName
	Class      pimentospread.Class
	Idempotent bool
	// Told is the result that the caller received.
	Told Result
	// Wrong reports whether the answer was incomplete or belongs to another request.
	Wrong bool
	// Contradicted reports whether a later reply contradicted the first one.
	Contradicted bool
	// At is the time from the start of the plan to the first transmission.
	At pimentospread.Duration
	// Took is the time from the first transmission to the outcome.
	Took pimentospread.Duration
}

// FlowCounts counts the flows of a caller to one service by result.
type FlowCounts struct {
	Service pimentospread.ServiceName
	// Opened is the number of established flows.
	Opened int
	// Refused is the number of flows that were not established.
	Refused int
	// Held is the number of flows on which the target still answered at the end.
	Held int
	// Broken is the number of flows that were established and lost; it is the sum of Reset and Silent.
	Broken int
	// Reset is the number of flows broken by a reset or FIN, and Silent the number
	// of those with a packet that the target did not acknowledge.
	Reset, Silent int
}

// Caller is the ledger of one caller process.
type Caller struct {
	Flows    []FlowCounts
	Requests []RequestRecord
}

// AnswerContent returns the answer of the given size to a request. It is derived
// from the request ID, so that a caller detects an incomplete answer and an
// answer to another request.
func AnswerContent(id pimentospread.RequestID, size int) []byte {
	content := make([]byte, 0, size+8)
	source := rand.NewPCG(uint64(id.Caller), id.Sequence)
	for len(content) < size {
		content = binary.BigEndian.AppendUint64(content, source.Uint64())
	}
	return content[:size]
}
