package peer

import (
	"bufio"
	"context"
	"net"

	"pimentospread"
	"pimentospread/keys"
)

// keepBuffer bounds the buffer that a connection keeps between frames.
const keepBuffer = 64 << 10

// receive reads the messages of one connection. Malformed input is counted and ends the connection.
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
			n.refuse(c, cause, err)
		}
		if err != nil {
			return nil
		}
		m, cause, err := n.deps.Registry.Decode(data)
		if err != nil {
			n.refuse(c, cause, err)
			return nil
		}
		if host != "" && m.From != host {
			err := pimentospread.ErrRefused.New("frame names host %q, the certificate names %q", m.From, host)
			n.refuse(c, CauseSender, pimentospread.At(err, "receive", string(host)))
			return nil
		}
		n.metrics.received(m.Message.MessageKind(), lengthBytes+len(data))
		if err := n.deps.Inbox.Put(ctx, m); err != nil {
			n.metrics.dropped("inbox")
		}
		if buffer = data; cap(buffer) > keepBuffer {
			buffer = nil
		}
	}
}

func (n *Network) refuse(c net.Conn, cause Cause, err error) {
	n.metrics.malformed(cause)
	n.deps.Log.Warn("malformed input from peer", "address", c.RemoteAddr().String(), "cause", cause, "error", err)
}
