package flow

import "pimentospread"

// ShardOf returns the shard that owns a flow. It uses other bits of the
// identifier than the buckets of a pool do.
func ShardOf(id pimentospread.FlowID, shards int) int {
	return int(uint64(id) & 0xffff % uint64(shards))
}
