package peer

import (
	"bufio"
	"context"
	"net"

	"pimentospread"
	"pimentospread/keys"
)

// maxKeptBuffer is the capacity of the largest buffer that a connection keeps
// between frames.
const maxKeptBuffer = 64 << 10

// receive passes the messages of one connection to the inbox. Malformed input is
// counted and closes the connection.
func (n *Network) receive(ctx context.Context, raw net.Conn) error {
	defer func() { _ = raw.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	c, host, err := n.authenticate(ctx, raw)
	if err != nil {
		n.deps.Log.Warn("connection from peer refused", "address", raw.RemoteAddr().String(), "cause", keys.CauseOf(err), "error", err)
		return nil
	}
	r := bufio.NewReader(c)
	var buffer []byte
	for {
		data, cause, err := readFrame(r, buffer)
		if cause != "" {
			n.countMalformed(c, cause, err)
		}
		if err != nil {
			return nil
		}
		m, cause, err := n.deps.Registry.Decode(data)
		if err != nil {
			n.countMalformed(c, cause, err)
			return nil
		}
		if host != "" && m.From != host {
			err := pimentospread.ErrRefused.New("frame is from host %q, the certificate is for host %q", m.From, host)
			n.countMalformed(c, CauseSender, pimentospread.At(err, "receive", string(host)))
			return nil
		}
		n.metrics.received(m.Message.MessageKind(), lengthBytes+len(data))
		if err := n.deps.Inbox.Put(ctx, m); err != nil {
			n.metrics.dropped("inbox")
		}
		if buffer = data; cap(buffer) > maxKeptBuffer {
			buffer = nil
		}
	}
}

func (n *Network) countMalformed(c net.Conn, cause Cause, err error) {
	n.metrics.malformed(cause)
	n.deps.Log.Warn("malformed frame from peer", "address", c.RemoteAddr().String(), "cause", cause, "error", err)
}
