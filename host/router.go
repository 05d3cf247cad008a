package host

import (
	"context"

	"pimentospread"
	"pimentospread/controlplane"
	"pimentospread/flow"
	"pimentospread/peer"
	"pimentospread/request"
	"pimentospread/ring"
)

// router puts each message from a peer into the ring of the duty that handles it.
type router struct {
	control  *ring.Ring[pimentospread.Inbound]
	requests *ring.Ring[pimentospread.Inbound]
	flows    []*ring.Ring[pimentospread.Inbound]
	// requestKinds are the kinds of messages for the request processor.
	requestKinds map[pimentospread.MessageKind]bool
}

// Put routes a message. A full ring refuses and counts it; every sender repeats a
// message that it needs answered.
func (r *router) Put(ctx context.Context, in pimentospread.Inbound) error {
	if parts := flow.Split(in.Message, len(r.flows)); parts != nil {
		return r.putParts(ctx, in, parts)
	}
	if r.requestKinds[in.Message.MessageKind()] {
		return r.requests.Put(ctx, in)
	}
	return r.control.Put(ctx, in)
}

func (r *router) putParts(ctx context.Context, in pimentospread.Inbound, parts []pimentospread.Message) error {
	var failed error
	for i, p := range parts {
		if p == nil {
			continue
		}
		in.Message = p
		if err := r.flows[i].Put(ctx, in); err != nil {
			failed = err
		}
	}
	return failed
}

// MessageRegistry returns the constructors of all messages that hosts exchange.
func MessageRegistry() peer.Registry {
	r := peer.Registry{}
	for kind, construct := range controlplane.Constructors() {
		r[kind] = construct
	}
	for kind, construct := range flow.Constructors() {
		r[kind] = func() pimentospread.Message { return construct() }
	}
	for _, kind := range request.Kinds() {
		r[kind] = func() pimentospread.Message {
			m, _ := request.NewMessage(kind)
			return m
		}
	}
	return r
}
