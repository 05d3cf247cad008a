package flow

import (
	"pimentospread"
)

// Kinds of the messages about flows.
const (
	KindRecordPut        pimentospread.MessageKind = "RecordPut"
	KindRecordPutReply   pimentospread.MessageKind = "RecordPutReply"
	KindRecordQuery      pimentospread.MessageKind = "RecordQuery"
	KindRecordQueryReply pimentospread.MessageKind = "RecordQueryReply"
	KindRecordHandover   pimentospread.MessageKind = "RecordHandover"
	KindSilenceQuery     pimentospread.MessageKind = "SilenceQuery"
	KindSilenceReply     pimentospread.MessageKind = "SilenceReply"
)

// Message is a message about flows that checks itself after it was decoded.
type Message interface {
	pimentospread.Message
	// Validate returns an error when the content cannot come from a sound host.
	Validate() error
	// Split returns the part of the message for each shard, nil where there is none.
	Split(shards int) []pimentospread.Message
}

// Kinds returns a constructor for each kind of message about flows.
func Kinds() map[pimentospread.MessageKind]func() Message {
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
// shards is the shard that sent it, so that the replies find their way back.
// Zero expects no reply.
type Batch uint32

// The fields have one letter in the encoding, because their names would take a
// tenth of the control budget during a drain.

// RecordPut asks a holder to keep the target of new flows.
type RecordPut struct {
	Batch Batch `msgpack:"B"`
	// Force replaces what the holder has. It settles two records of one flow.
	Force   bool    `msgpack:"F,omitempty"`
	Records Records `msgpack:"R"`
}

// RecordPutReply answers a part of a RecordPut or RecordHandover.
type RecordPutReply struct {
	Batch Batch `msgpack:"B"`
	// Count is the number of records that this reply covers.
	Count uint32 `msgpack:"C"`
	// Conflicts are the records that the holder had already, with another target.
	Conflicts Records `msgpack:"X,omitempty"`
}

// RecordQuery asks a holder for the targets of flows.
type RecordQuery struct {
	Batch Batch `msgpack:"B"`
	Flows IDs   `msgpack:"I"`
}

// RecordQueryReply answers a part of a RecordQuery. Flows without a record are left out.
type RecordQueryReply struct {
	Batch   Batch   `msgpack:"B"`
	Count   uint32  `msgpack:"C"`
	Records Records `msgpack:"R,omitempty"`
}

// RecordHandover gives records to a holder that keeps them if it has none of its own.
type RecordHandover struct {
	Batch   Batch   `msgpack:"B"`
	Records Records `msgpack:"R,omitempty"`
	// Suspended are targets whose buckets may have records because the targets were avoided.
	Suspended []pimentospread.TargetID `msgpack:"S,omitempty"`
}

// SilenceQuery asks whether answer packets of the flows and of their targets were seen.
type SilenceQuery struct {
	Batch Batch `msgpack:"B"`
	// Within is the number of seconds to look back.
	Within uint32 `msgpack:"W"`
	Flows  IDs    `msgpack:"I"`
	// Targets are the targets of the flows, one for each. A host of an earlier release sends none.
	Targets []pimentospread.TargetID `msgpack:"T,omitempty"`
}

// SilenceReply answers a part of a SilenceQuery.
type SilenceReply struct {
	Batch Batch  `msgpack:"B"`
	Count uint32 `msgpack:"C"`
	// Seen are the flows of which an answer packet was seen.
	Seen IDs `msgpack:"E,omitempty"`
	// Answering are the flows whose targets answer other flows.
	Answering IDs `msgpack:"A,omitempty"`
	// Targets are targets of the query that answer flows of a shard which has
	// none of the query's.
	Targets []pimentospread.TargetID `msgpack:"T,omitempty"`
}

// MessageKind returns the name of the message.
func (*RecordPut) MessageKind() pimentospread.MessageKind { return KindRecordPut }

// MessageKind returns the name of the message.
func (*RecordPutReply) MessageKind() pimentospread.MessageKind { return KindRecordPutReply }

// MessageKind returns the name of the message.
func (*RecordQuery) MessageKind() pimentospread.MessageKind { return KindRecordQuery }

// MessageKind returns the name of the message.
func (*RecordQueryReply) MessageKind() pimentospread.MessageKind { return KindRecordQueryReply }

// MessageKind returns the name of the message.
func (*RecordHandover) MessageKind() pimentospread.MessageKind { return KindRecordHandover }

// MessageKind returns the name of the message.
func (*SilenceQuery) MessageKind() pimentospread.MessageKind { return KindSilenceQuery }

// MessageKind returns the name of the message.
func (*SilenceReply) MessageKind() pimentospread.MessageKind { return KindSilenceReply }
