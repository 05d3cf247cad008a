package flow_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/flow"
)

// Guards against an encoding that loses or alters a record, and against a
// split that sends a record to a shard that does not own it.
func TestMessagesSurviveEncodingAndSplit(t *testing.T) {
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
		got := flow.Kinds()[sent.MessageKind()]()
		if err := msgpack.Unmarshal(data, got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(flow.Message(sent), got); diff != "" || got.Validate() != nil {
			t.Fatalf("decoded message differs: %s %v", diff, got.Validate())
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
					t.Fatalf("flow %x went to shard %d of %d", r.Flow, i, shards)
				}
			}
		}
		if count != len(sent.Records) {
			t.Fatalf("%d of %d records arrived", count, len(sent.Records))
		}
	})
}

// Guards against a malformed message that reaches the decisions.
func TestMalformedMessagesAreRefused(t *testing.T) {
	refused := map[string]flow.Message{
		"put without target":              &flow.RecordPut{Records: flow.Records{{Flow: 1}}},
		"put with service too large":      &flow.RecordPut{Records: flow.Records{{Flow: 1, Target: 1, Service: 1 << 24}}},
		"query without batch":             &flow.RecordQuery{Flows: flow.IDs{1}},
		"query without flows":             &flow.RecordQuery{Batch: 1},
		"reply lists above count":         &flow.SilenceReply{Batch: 1, Seen: flow.IDs{1}},
		"reply without batch":             &flow.RecordPutReply{Count: 1},
		"silence with targets for others": &flow.SilenceQuery{Batch: 1, Within: 4, Flows: flow.IDs{1, 2}, Targets: []pimentospread.TargetID{1}},
		"silence without time":            &flow.SilenceQuery{Batch: 1, Flows: flow.IDs{1}},
		"suspended zero":                  &flow.RecordHandover{Suspended: []pimentospread.TargetID{0}},
	}
	for name, m := range refused {
		t.Run(name, func(t *testing.T) {
			if m.Validate() == nil {
				t.Errorf("%s accepted", m.MessageKind())
			}
		})
	}
	bodies := map[string][]byte{
		"cut record":  {0: 3, 8: 1, 9: 1, 10: 1},
		"no layout":   {0: 4, 15: 0},
		"lone prefix": {1},
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
				t.Errorf("malformed body %v accepted", body)
			}
		})
	}
}

// Guards against a question that names the target of another flow after its split.
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
				t.Errorf("flow %x comes with target %d, want %d", uint64(id), q.Targets[i], want)
			}
		}
	}
	if count != len(query.Flows) {
		t.Errorf("%d flows in the parts, want %d", count, len(query.Flows))
	}
}
