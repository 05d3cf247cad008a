package flow

import (
	"github.com/joomcode/errorx"

	"pimentospread"
)

// Validate checks the records.
func (m *RecordPut) Validate() error { return m.Records.validate(KindRecordPut) }

// Validate checks the batch number, the count and the conflicting records.
func (m *RecordPutReply) Validate() error {
	if err := validateReply(KindRecordPutReply, m.Batch, m.Count, len(m.Conflicts)); err != nil {
		return err
	}
	return m.Conflicts.validate(KindRecordPutReply)
}

// Validate checks that the query has a batch number and lists flows.
func (m *RecordQuery) Validate() error {
	return validateQuery(KindRecordQuery, m.Batch, len(m.Flows))
}

// Validate checks the batch number, the count and the records.
func (m *RecordQueryReply) Validate() error {
	if err := validateReply(KindRecordQueryReply, m.Batch, m.Count, len(m.Records)); err != nil {
		return err
	}
	return m.Records.validate(KindRecordQueryReply)
}

// Validate checks the suspended targets and the records.
func (m *RecordHandover) Validate() error {
	for _, t := range m.Suspended {
		if t == 0 {
			return invalid(KindRecordHandover, "lists target 0 as suspended")
		}
	}
	return m.Records.validate(KindRecordHandover)
}

// Validate checks the period, the batch number, and that there are flows and either
// no targets or one for each flow.
func (m *SilenceQuery) Validate() error {
	if m.Within == 0 {
		return invalid(KindSilenceQuery, "has a period of 0 seconds")
	}
	if n := len(m.Targets); n != 0 && n != len(m.Flows) {
		return invalid(KindSilenceQuery, "has %d targets for %d flows", n, len(m.Flows))
	}
	return validateQuery(KindSilenceQuery, m.Batch, len(m.Flows))
}

// Validate checks the batch number and the count.
func (m *SilenceReply) Validate() error {
	return validateReply(KindSilenceReply, m.Batch, m.Count, max(len(m.Seen), len(m.Answering)))
}

func (r Records) validate(kind pimentospread.MessageKind) error {
	for _, x := range r {
		if x.Target == 0 {
			return invalid(kind, "has flow %016x without a target", uint64(x.Flow))
		}
		if x.Service > pimentospread.MaxServiceID {
			return invalid(kind, "has service id %d, maximum is %d", x.Service, pimentospread.MaxServiceID)
		}
	}
	return nil
}

func validateQuery(kind pimentospread.MessageKind, batch Batch, flows int) error {
	if batch == 0 {
		return invalid(kind, "has no batch number")
	}
	if flows == 0 {
		return invalid(kind, "lists no flows")
	}
	return nil
}

func validateReply(kind pimentospread.MessageKind, batch Batch, count uint32, listed int) error {
	if batch == 0 {
		return invalid(kind, "has no batch number")
	}
	if uint64(listed) > uint64(count) {
		return invalid(kind, "lists %d flows, but its count is %d", listed, count)
	}
	return nil
}

func invalid(kind pimentospread.MessageKind, format string, args ...any) *errorx.Error {
	err := pimentospread.ErrInvalid.New(string(kind)+" "+format, args...)
	return pimentospread.At(err, "validate", "")
}
