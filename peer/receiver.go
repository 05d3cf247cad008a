package peer

import (
	"bufio"
	"context"
	"net"
)

// keepBuffer bounds the buffer that a connection keeps between frames.
const keepBuffer = 64 << 10

// receive reads the messages of one connection. Malformed input is counted and ends the connection.
func (n *Network) receive(ctx context.Context, c net.Conn) error {
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
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
