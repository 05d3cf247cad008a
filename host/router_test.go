package host

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/member"
	"pimentospread/request"
	"pimentospread/ring"
)

// TestEveryMessageIsRegisteredAndRouted guards against a kind of message that is sent
// but missing in the registry of the receiver. No host would then grant a claim,
// although each package passes its own tests.
func TestEveryMessageIsRegisteredAndRouted(t *testing.T) {
	inbound := func() *ring.Ring[pimentospread.Inbound] { return ring.New[pimentospread.Inbound](64, ring.Refuse) }
	r := &router{control: inbound(), requests: inbound(), flows: []*ring.Ring[pimentospread.Inbound]{inbound()}, requestKinds: map[pimentospread.MessageKind]bool{}}
	for _, kind := range request.Kinds() {
		r.requestKinds[kind] = true
	}
	registry := MessageRegistry()
	for _, kind := range request.Kinds() {
		if _, registered := registry[kind]; !registered {
			t.Errorf("message kind %s is not in the registry", kind)
			continue
		}
		if err := r.Put(context.Background(), pimentospread.Inbound{Message: registry[kind]()}); err != nil {
			t.Error(err)
		}
	}
	query := &flow.RecordQuery{Flows: []pimentospread.FlowID{1}}
	for _, m := range []pimentospread.Message{query, &member.Heartbeat{}} {
		if err := r.Put(context.Background(), pimentospread.Inbound{Message: m}); err != nil {
			t.Error(err)
		}
	}
	got := []int{r.requests.Len(), r.flows[0].Len(), r.control.Len()}
	if diff := cmp.Diff([]int{len(request.Kinds()), 1, 1}, got); diff != "" {
		t.Error(diff)
	}
	for kind := range flow.Constructors() {
		if _, registered := registry[kind]; !registered {
			t.Errorf("message kind %s is not in the registry", kind)
		}
	}
}
