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

// maxDatagram is the largest UDP payload.
const maxDatagram = 65535

// receiver is the duty that reads the data socket, decodes datagrams and hands
// packets to the flow shards and requests to the requests duty.
type receiver struct {
	fabric   pimentospread.Fabric
	decoder  packet.Decoder
	shards   []*flowShard
	requests *ring.Classed[request.Request]
	out      *ring.Ring[datagram]
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
		r.takeView()
		// Decoded packets refer to their bytes and outlive the buffer.
		r.receive(ctx, append([]byte(nil), buffer[:n]...))
	}
}

// takeView takes the newest view without waiting; the duty waits on the socket.
func (r *receiver) takeView() {
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

func (r *receiver) receive(ctx context.Context, data []byte) {
	d, err := r.decoder.Decode(data)
	if err != nil {
		r.malformed("packet", err)
		return
	}
	if d.Protocol == packet.TCP {
		r.receiveFlow(ctx, d)
		return
	}
	r.receiveRequest(ctx, d)
}

// receiveFlow hands a packet to its shard. The inner address decides on the
// service; a frame that names another one is foreign.
func (r *receiver) receiveFlow(ctx context.Context, d packet.Datagram) {
	p := d.FlowPacket()
	var service pimentospread.ServiceID
	if r.view != nil {
		service = r.view.ServiceByAddress[p.Key.Service]
	}
	if service == 0 {
		r.drop("unknown_service")
		return
	}
	if p.Service != 0 && p.Service != service {
		r.drop("foreign_service")
		return
	}
	p.Service = service
	_ = r.shards[flow.ShardOf(p.ID, len(r.shards))].packets.Put(ctx, flowPacket{packet: p, raw: d.Packet})
}

func (r *receiver) drop(cause string) {
	r.metrics.Counter(`pimentospread_drops_total{cause="` + cause + `"}`).Add(1)
}

func (r *receiver) receiveRequest(ctx context.Context, d packet.Datagram) {
	endpoint := coap.Endpoint{Address: d.To}
	if r.view != nil {
		endpoint.Service = r.view.ServiceByAddress[d.To]
	}
	if endpoint.Service == 0 {
		r.drop("unknown_service")
		return
	}
	endpoint.Name = r.view.Services[endpoint.Service].Service.Name
	q, err := coap.DecodeRequest(d.Payload, d.From, endpoint)
	if err != nil {
		r.refuse(ctx, q, err)
		return
	}
	// A full ring drops the transmission like a full socket; the caller sends it again.
	_ = r.requests.Put(ctx, r.ranks.of(endpoint.Service, q.Class), q)
}

func (r *receiver) refuse(ctx context.Context, q request.Request, err error) {
	r.malformed("request", err)
	var cause coap.Cause
	if !errors.As(err, &cause) || !cause.Answerable() {
		return
	}
	reply := request.Reply{Origin: q.Origin, Outcome: request.Malformed, Reason: cause.Error()}
	if d, ok := r.encoder.encode(reply); ok {
		_ = r.out.Put(ctx, d)
	}
}

func (r *receiver) malformed(what string, err error) {
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
