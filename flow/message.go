package flow

import (
	"pimentospread"
)

// Kinds of the messages about flows that hosts exchange.
const (
	KindRecordPut        pimentospread.MessageKind = "RecordPut"
	KindRecordPutReply   pimentospread.MessageKind = "RecordPutReply"
	KindRecordQuery      pimentospread.MessageKind = "RecordQuery"
	KindRecordQueryReply pimentospread.MessageKind = "RecordQueryReply"
	KindRecordHandover   pimentospread.MessageKind = "RecordHandover"
	KindSilenceQuery     pimentospread.MessageKind = "SilenceQuery"
	KindSilenceReply     pimentospread.MessageKind = "SilenceReply"
)

// Message is a message about flows between two hosts.
type Message interface {
	pimentospread.Message
	// Validate returns an error for content that no correct host sends. It is called after decoding.
	Validate() error
	// Split returns the part of the message for each shard, indexed by shard, and
	// nil for a shard that gets no part.
	Split(shards int) []pimentospread.Message
}

// Constructors returns a constructor for each kind of message about flows.
func Constructors() map[pimentospread.MessageKind]func() Message {
	return map[pimentospread.MessageKind]func() Message{
		KindRecordPut:        func() Message { return &RecordPut{} },
		KindRecordPutReply:   func() Message { return &RecordPutReply{} },
		KindRecordQuery:      func() Message { return &RecordQuery{} },
		KindRecordQueryReply: func() Message { return &RecordQueryReply{} },
		KindRecordHandover:   func() Message { return &RecordHandover{} },
		KindSilenceQuery:     func() Message { return &SilenceQuery{} },
		KindSilenceReply:     func() Message { return &SilenceReply{} },
	}
}

// Batch numbers a message that expects replies. The number modulo the sender's
// number of shards is the shard that sent the message, so that replies are
// routed back to it. Zero means that no reply is expected.
type Batch uint32

// The encoded fields have names of one letter, because the full names would take
// a tenth of the budget for control traffic during a drain.

// RecordPut asks a holder to store the targets of new flows. A holder is a host
// that stores records of flows for other hosts.
type RecordPut struct {
	Batch Batch `msgpack:"B"`
	// Force overwrites the holder's records. It resolves a conflict between two records of one flow.
	Force   bool    `msgpack:"F,omitempty"`
	Records Records `msgpack:"R"`
}

// RecordPutReply answers a part of a RecordPut or RecordHandover.
type RecordPutReply struct {
	Batch Batch `msgpack:"B"`
	// Count is the number of records that this reply covers.
	Count uint32 `msgpack:"C"`
	// Conflicts are the records that the holder already had with another target.
	Conflicts Records `msgpack:"X,omitempty"`
}

// RecordQuery asks a holder for the targets of flows.
type RecordQuery struct {
	Batch Batch `msgpack:"B"`
	Flows IDs   `msgpack:"I"`
}

// RecordQueryReply answers a part of a RecordQuery. Records has no entry for a
// flow that the holder has no record of.
type RecordQueryReply struct {
	Batch Batch `msgpack:"B"`
	// Count is the number of flows that this reply covers.
	Count   uint32  `msgpack:"C"`
	Records Records `msgpack:"R,omitempty"`
}

// RecordHandover passes records to another holder, which keeps a record that it
// already has for a flow.
type RecordHandover struct {
	Batch   Batch   `msgpack:"B"`
	Records Records `msgpack:"R,omitempty"`
	// Suspended are targets that were avoided for a while, so that flows of their
	// buckets may have records.
	Suspended []pimentospread.TargetID `msgpack:"S,omitempty"`
}

// SilenceQuery asks another host whether it has recently seen packets from the
// targets of flows that look unanswered.
type SilenceQuery struct {
	Batch Batch `msgpack:"B"`
	// Within is the length of the period before the query in seconds.
	Within uint32 `msgpack:"W"`
	Flows  IDs    `msgpack:"I"`
	// Targets has the target of each flow in Flows. A host that runs an earlier
	// release of the software sends none.
	Targets []pimentospread.TargetID `msgpack:"T,omitempty"`
}

// SilenceReply answers a part of a SilenceQuery.
type SilenceReply struct {
	Batch Batch `msgpack:"B"`
	// Count is the number of flows that this reply covers.
	Count uint32 `msgpack:"C"`
	// Seen are the flows with a packet from the target in the period.
	Seen IDs `msgpack:"E,omitempty"`
	// Answering are the flows whose target sent packets of other flows in the period.
	Answering IDs `msgpack:"A,omitempty"`
	// Targets are the targets of the query that sent packets of flows in a shard
	// that owns no flow of the query.
	Targets []pimentospread.TargetID `msgpack:"T,omitempty"`
}

// MessageKind returns KindRecordPut.
func (*RecordPut) MessageKind() pimentospread.MessageKind { return KindRecordPut }

// MessageKind returns KindRecordPutReply.
func (*RecordPutReply) MessageKind() pimentospread.MessageKind { return KindRecordPutReply }

// MessageKind returns KindRecordQuery.
func (*RecordQuery) MessageKind() pimentospread.MessageKind { return KindRecordQuery }

// MessageKind returns KindRecordQueryReply.
func (*RecordQueryReply) MessageKind() pimentospread.MessageKind { return KindRecordQueryReply }

// MessageKind returns KindRecordHandover.
func (*RecordHandover) MessageKind() pimentospread.MessageKind { return KindRecordHandover }

// MessageKind returns KindSilenceQuery.
func (*SilenceQuery) MessageKind() pimentospread.MessageKind { return KindSilenceQuery }

// MessageKind returns KindSilenceReply.
func (*SilenceReply) MessageKind() pimentospread.MessageKind { return KindSilenceReply }
