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

// router puts each message of a peer into the ring of the duty that takes it.
type router struct {
	control  *ring.Ring[pimentospread.Inbound]
	requests *ring.Ring[pimentospread.Inbound]
	flows    []*ring.Ring[pimentospread.Inbound]
	claims   map[pimentospread.MessageKind]bool
}

// Put routes a message. A full ring refuses and counts it; every sender repeats what it needs.
func (r *router) Put(ctx context.Context, in pimentospread.Inbound) error {
	if parts := flow.Split(in.Message, len(r.flows)); parts != nil {
		return r.putParts(ctx, in, parts)
	}
	if r.claims[in.Message.MessageKind()] {
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

// Messages returns the messages between hosts.
func Messages() peer.Registry {
	r := peer.Registry{}
	for kind, construct := range controlplane.Constructors() {
		r[kind] = construct
	}
	for kind, construct := range flow.Kinds() {
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
