package flow

import "pimentospread"

// ShardOf returns the shard that owns a flow. It uses other bits of the
// identifier than the buckets of a pool do.
func ShardOf(id pimentospread.FlowID, shards int) int {
	return int(uint64(id) & 0xffff % uint64(shards))
}

// Split returns the part of a message for each shard, nil where there is none.
// It returns nil for a message that is not about flows.
func Split(m pimentospread.Message, shards int) []pimentospread.Message {
	x, ok := m.(Message)
	if !ok {
		return nil
	}
	return x.Split(shards)
}

// Split returns the records of each shard.
func (m *RecordPut) Split(shards int) []pimentospread.Message {
	parts := make([]pimentospread.Message, shards)
	for i, r := range m.Records.split(shards) {
		if len(r) > 0 {
			parts[i] = &RecordPut{Batch: m.Batch, Force: m.Force, Records: r}
		}
	}
	return parts
}

// Split gives the reply to the shard that sent the batch.
func (m *RecordPutReply) Split(shards int) []pimentospread.Message {
	return m.Batch.reply(m, shards)
}

// Split returns the flows of each shard.
func (m *RecordQuery) Split(shards int) []pimentospread.Message {
	parts := make([]pimentospread.Message, shards)
	for i, ids := range m.Flows.split(shards) {
		if len(ids) > 0 {
			parts[i] = &RecordQuery{Batch: m.Batch, Flows: ids}
		}
	}
	return parts
}

// Split gives the reply to the shard that sent the batch.
func (m *RecordQueryReply) Split(shards int) []pimentospread.Message {
	return m.Batch.reply(m, shards)
}

// Split returns the records of each shard. Every shard hears of the suspended targets.
func (m *RecordHandover) Split(shards int) []pimentospread.Message {
	parts := make([]pimentospread.Message, shards)
	for i, r := range m.Records.split(shards) {
		if len(r) > 0 || len(m.Suspended) > 0 {
			parts[i] = &RecordHandover{Batch: m.Batch, Records: r, Suspended: m.Suspended}
		}
	}
	return parts
}

// Split returns the flows of each shard, and for the other shards the targets,
// since they may have other flows of them.
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

// Split gives the reply to the shard that sent the batch.
func (m *SilenceReply) Split(shards int) []pimentospread.Message {
	return m.Batch.reply(m, shards)
}

func (b Batch) reply(m pimentospread.Message, shards int) []pimentospread.Message {
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
