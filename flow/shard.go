package flow

import "pimentospread"

// ShardOf returns the shard that owns a flow. It uses other bits of the
// ID than the choice of a bucket in the pool's lookup table, so that the
// two are independent.
func ShardOf(id pimentospread.FlowID, shards int) int {
	return int(uint64(id) & 0xffff % uint64(shards))
}

// Split returns the part of a message for each shard as Message.Split does. It
// returns nil for a message that is not about flows.
func Split(m pimentospread.Message, shards int) []pimentospread.Message {
	x, ok := m.(Message)
	if !ok {
		return nil
	}
	return x.Split(shards)
}

// Split returns a RecordPut for each shard with the records of its flows.
func (m *RecordPut) Split(shards int) []pimentospread.Message {
	parts := make([]pimentospread.Message, shards)
	for i, r := range m.Records.split(shards) {
		if len(r) > 0 {
			parts[i] = &RecordPut{Batch: m.Batch, Force: m.Force, Records: r}
		}
	}
	return parts
}

// Split returns the whole reply as the part of the shard that sent the batch.
func (m *RecordPutReply) Split(shards int) []pimentospread.Message {
	return m.Batch.routeReply(m, shards)
}

// Split returns a RecordQuery for each shard with its flows.
func (m *RecordQuery) Split(shards int) []pimentospread.Message {
	parts := make([]pimentospread.Message, shards)
	for i, ids := range m.Flows.split(shards) {
		if len(ids) > 0 {
			parts[i] = &RecordQuery{Batch: m.Batch, Flows: ids}
		}
	}
	return parts
}

// Split returns the whole reply as the part of the shard that sent the batch.
func (m *RecordQueryReply) Split(shards int) []pimentospread.Message {
	return m.Batch.routeReply(m, shards)
}

// Split returns a RecordHandover for each shard with the records of its flows and
// all suspended targets.
func (m *RecordHandover) Split(shards int) []pimentospread.Message {
	parts := make([]pimentospread.Message, shards)
	for i, r := range m.Records.split(shards) {
		if len(r) > 0 || len(m.Suspended) > 0 {
			parts[i] = &RecordHandover{Batch: m.Batch, Records: r, Suspended: m.Suspended}
		}
	}
	return parts
}

// Split returns a SilenceQuery for each shard with its flows and their targets. A
// shard without a flow of the query gets all targets and no flows, since it may
// own other flows of these targets.
func (m *SilenceQuery) Split(shards int) []pimentospread.Message {
	parts := make([]pimentospread.Message, shards)
	for n, id := range m.Flows {
		i := ShardOf(id, shards)
		q, ok := parts[i].(*SilenceQuery)
		if !ok {
			q = &SilenceQuery{Batch: m.Batch, Within: m.Within}
			parts[i] = q
		}
		q.Flows = append(q.Flows, id)
		if len(m.Targets) > 0 {
			q.Targets = append(q.Targets, m.Targets[n])
		}
	}
	for i, part := range parts {
		if part == nil && len(m.Targets) > 0 {
			parts[i] = &SilenceQuery{Batch: m.Batch, Within: m.Within, Targets: m.Targets}
		}
	}
	return parts
}

// Split returns the whole reply as the part of the shard that sent the batch.
func (m *SilenceReply) Split(shards int) []pimentospread.Message {
	return m.Batch.routeReply(m, shards)
}

// routeReply returns the parts of a reply to the batch, which goes whole to the
// shard that sent the batch.
func (b Batch) routeReply(m pimentospread.Message, shards int) []pimentospread.Message {
	parts := make([]pimentospread.Message, shards)
	parts[int(b)%shards] = m
	return parts
}

func (r Records) split(shards int) []Records {
	parts := make([]Records, shards)
	for _, x := range r {
		i := ShardOf(x.Flow, shards)
		parts[i] = append(parts[i], x)
	}
	return parts
}

func (f IDs) split(shards int) []IDs {
	parts := make([]IDs, shards)
	for _, id := range f {
		i := ShardOf(id, shards)
		parts[i] = append(parts[i], id)
	}
	return parts
}
