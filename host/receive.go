package host

import (
	"context"
	"errors"
	"log/slog"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/coap"
	"pimentospread/dataplane"
	"pimentospread/flow"
	"pimentospread/packet"
	"pimentospread/request"
	"pimentospread/ring"
)

// maxDatagram is an upper bound for the size of a UDP payload in bytes.
const maxDatagram = 65535

// receiver is the duty that reads the data socket, decodes datagrams and passes TCP
// packets to the flow shards and requests to the request processor.
type receiver struct {
	fabric   pimentospread.Fabric
	decoder  packet.Decoder
	shards   []*flowShard
	requests *ring.PriorityRing[request.Request]
	out      *ring.Ring[outgoingPacket]
	views    *ring.Ring[*dataplane.View]
	view     *dataplane.View
	ranks    classRanks
	encoder  *replyEncoder
	metrics  pimentospread.Metrics
	log      *slog.Logger
}

func (r *receiver) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.fabric.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.fabric.Receive(buffer)
		if errorx.IsOfType(err, pimentospread.ErrClosed) {
			return nil
		}
		if err != nil {
			r.log.Debug("datagram not received", "peer", from, "error", err)
			continue
		}
		r.updateView()
		// Decoded packets share memory with the datagram and are used after the next receive.
		r.dispatch(ctx, append([]byte(nil), buffer[:n]...))
	}
}

// updateView applies the newest queued view. It does not wait, because the duty
// blocks on the socket.
func (r *receiver) updateView() {
	for {
		select {
		case v := <-r.views.Items():
			r.view = v
			r.ranks = newClassRanks(v)
		default:
			return
		}
	}
}

func (r *receiver) dispatch(ctx context.Context, data []byte) {
	d, err := r.decoder.Decode(data)
	if err != nil {
		r.countMalformed("packet", err)
		return
	}
	if d.Protocol == packet.TCP {
		r.receiveFlow(ctx, d)
		return
	}
	r.receiveRequest(ctx, d)
}

// receiveFlow passes a TCP packet to its shard. The inner service address determines
// the service; a packet whose frame has a different service is dropped.
func (r *receiver) receiveFlow(ctx context.Context, d packet.Datagram) {
	p := d.FlowPacket()
	var service pimentospread.ServiceID
	if r.view != nil {
		service = r.view.ServiceByAddress[p.Key.Service]
	}
	if service == 0 {
		r.countDrop("unknown_service")
		return
	}
	if p.Service != 0 && p.Service != service {
		r.countDrop("foreign_service")
		return
	}
	p.Service = service
	_ = r.shards[flow.ShardOf(p.ID, len(r.shards))].packets.Put(ctx, flowPacket{packet: p, raw: d.Packet})
}

func (r *receiver) countDrop(cause string) {
	r.metrics.Counter(`pimentospread_drops_total{cause="` + cause + `"}`).Add(1)
}

func (r *receiver) receiveRequest(ctx context.Context, d packet.Datagram) {
	endpoint := coap.Endpoint{Address: d.To}
	if r.view != nil {
		endpoint.Service = r.view.ServiceByAddress[d.To]
	}
	if endpoint.Service == 0 {
		r.countDrop("unknown_service")
		return
	}
	endpoint.Name = r.view.Services[endpoint.Service].Service.Name
	q, err := coap.DecodeRequest(d.Payload, d.From, endpoint)
	if err != nil {
		r.rejectRequest(ctx, q, err)
		return
	}
	// If the ring is full, the request is dropped as by a full socket buffer, and the
	// caller retransmits it.
	_ = r.requests.Put(ctx, r.ranks.rankOf(endpoint.Service, q.Class), q)
}

func (r *receiver) rejectRequest(ctx context.Context, q request.Request, err error) {
	r.countMalformed("request", err)
	var cause coap.Cause
	if !errors.As(err, &cause) || !cause.Answerable() {
		return
	}
	reply := request.Reply{Origin: q.Origin, Outcome: request.Malformed, Reason: cause.Error()}
	if d, ok := r.encoder.encode(reply); ok {
		_ = r.out.Put(ctx, d)
	}
}

func (r *receiver) countMalformed(what string, err error) {
	r.metrics.Counter(`pimentospread_malformed_total{what="` + what + `",cause="` + causeLabel(err) + `"}`).Add(1)
}

func causeLabel(err error) string {
	var p packet.Cause
	if errors.As(err, &p) {
		return string(p)
	}
	var c coap.Cause
	if errors.As(err, &c) {
		return string(c)
	}
	return "other"
}
