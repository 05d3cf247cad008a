package flow_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/flow"
)

// TestMessageRoundTripAndSplit guards against an encoding that loses or alters a
// record, and against a split that passes a record to a shard that does not own it.
func TestMessageRoundTripAndSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := &flow.RecordPut{Batch: flow.Batch(rapid.Uint32().Draw(t, "batch"))}
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			sent.Records = append(sent.Records, flow.Record{
				Flow:    pimentospread.FlowID(rapid.Uint64().Draw(t, "flow")),
				Service: pimentospread.ServiceID(rapid.Uint32Range(0, 1<<24-1).Draw(t, "service")),
				Target:  pimentospread.TargetID(rapid.Uint32Min(1).Draw(t, "target")),
				Age:     flow.Minutes(rapid.Uint8().Draw(t, "age")),
				Primary: flow.HostTag(rapid.Uint8().Draw(t, "primary")),
			})
		}
		data, err := msgpack.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		got := flow.Constructors()[sent.MessageKind()]()
		if err := msgpack.Unmarshal(data, got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(flow.Message(sent), got); diff != "" || got.Validate() != nil {
			t.Fatalf("decoded message differs (-sent +decoded): %s\nvalidation error: %v", diff, got.Validate())
		}
		shards := rapid.IntRange(1, 5).Draw(t, "shards")
		count := 0
		for i, part := range flow.Split(got, shards) {
			if part == nil {
				continue
			}
			for _, r := range part.(*flow.RecordPut).Records {
				count++
				if flow.ShardOf(r.Flow, shards) != i {
					t.Fatalf("flow %x is in the part of shard %d of %d, which does not own it", r.Flow, i, shards)
				}
			}
		}
		if count != len(sent.Records) {
			t.Fatalf("parts hold %d records, want %d", count, len(sent.Records))
		}
	})
}

// TestInvalidMessagesAreRejected guards against malformed messages that are
// accepted and reach the load-balancing decisions.
func TestInvalidMessagesAreRejected(t *testing.T) {
	invalid := map[string]flow.Message{
		"put without target":                 &flow.RecordPut{Records: flow.Records{{Flow: 1}}},
		"put with service too large":         &flow.RecordPut{Records: flow.Records{{Flow: 1, Target: 1, Service: 1 << 24}}},
		"query without batch":                &flow.RecordQuery{Flows: flow.IDs{1}},
		"query without flows":                &flow.RecordQuery{Batch: 1},
		"reply with more flows than count":   &flow.SilenceReply{Batch: 1, Seen: flow.IDs{1}},
		"reply without batch":                &flow.RecordPutReply{Count: 1},
		"silence query with too few targets": &flow.SilenceQuery{Batch: 1, Within: 4, Flows: flow.IDs{1, 2}, Targets: []pimentospread.TargetID{1}},
		"silence query without period":       &flow.SilenceQuery{Batch: 1, Flows: flow.IDs{1}},
		"handover with suspended target 0":   &flow.RecordHandover{Suspended: []pimentospread.TargetID{0}},
	}
	for name, m := range invalid {
		t.Run(name, func(t *testing.T) {
			if m.Validate() == nil {
				t.Errorf("invalid %s passed validation", m.MessageKind())
			}
		})
	}
	bodies := map[string][]byte{
		"truncated record":       {0: 3, 8: 1, 9: 1, 10: 1},
		"unknown layout":         {0: 4, 15: 0},
		"layout without records": {1},
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			data, err := msgpack.Marshal(body)
			if err != nil {
				t.Fatal(err)
			}
			var r flow.Records
			var ids flow.IDs
			if msgpack.Unmarshal(data, &r) == nil || msgpack.Unmarshal(data, &ids) == nil && len(body)%8 != 0 {
				t.Errorf("malformed body %v was decoded without an error", body)
			}
		})
	}
}

// TestSilenceQueryKeepsTargetsWithTheirFlows guards against a split that pairs a
// flow with the target of another flow.
func TestSilenceQueryKeepsTargetsWithTheirFlows(t *testing.T) {
	query := &flow.SilenceQuery{Batch: 1, Within: 4}
	for i := range 100 {
		query.Flows = append(query.Flows, pimentospread.FlowID(i)<<56|pimentospread.FlowID(i))
		query.Targets = append(query.Targets, pimentospread.TargetID(i+1))
	}
	count := 0
	for _, part := range query.Split(3) {
		q := part.(*flow.SilenceQuery)
		for i, id := range q.Flows {
			count++
			if want := pimentospread.TargetID(id&0xff) + 1; q.Targets[i] != want {
				t.Errorf("flow %x has target %d, want %d", uint64(id), q.Targets[i], want)
			}
		}
	}
	if count != len(query.Flows) {
		t.Errorf("parts hold %d flows, want %d", count, len(query.Flows))
	}
}
