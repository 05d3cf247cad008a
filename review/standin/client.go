package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// How a flow or a request ended for a client.
const (
	endOpen        = "open"
	endAnswered    = "answered"
	endNotExecuted = "not executed"
	endSystemReset = "reset by the system"
	endServerReset = "reset by a server"
	endClosed      = "closed by the server"
	endNoAnswer    = "no answer"
)

// resetWindow is how far a reset may be from the client's last acknowledgement.
const resetWindow = 76800

// client is a stand-in for the clients behind one address.
type client struct {
	w       *world
	address netip.Addr
	conn    *net.UDPConn

	mu       sync.Mutex
	flows    map[flowKey]*clientFlow
	nextPort uint16
}

// clientFlow is a flow of a client.
type clientFlow struct {
	c      *client
	key    flowKey
	iss    uint32
	echo   uint32
	ack    uint32 // last acknowledgement
	sentAt time.Time
	copies uint32
	end    *end
	done   string
	openAt time.Time
	ended  chan struct{}
	opened chan struct{}
	answer chan string
}

func newClient(w *world, address netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, w.dataPort)))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, address: address, conn: conn, flows: map[flowKey]*clientFlow{}, nextPort: 20000}
	go c.receive()
	go c.resendLoop()
	return c, nil
}

// open opens a flow, with copies of the opening packet after 200 ms and 600 ms.
func (c *client) open(route netip.AddrPort) (*clientFlow, string) {
	c.mu.Lock()
	c.nextPort++
	f := &clientFlow{
		c: c, key: flowKey{netip.AddrPortFrom(c.address, c.nextPort), route}, iss: rand.Uint32(), sentAt: time.Now(),
		ended: make(chan struct{}), opened: make(chan struct{}), answer: make(chan string, 1),
	}
	c.flows[f.key] = f
	c.sendSYN(f)
	c.mu.Unlock()
	select {
	case <-f.opened:
		return f, endOpen
	case <-f.ended:
		return f, f.done
	case <-time.After(1400 * time.Millisecond):
		return f, c.finish(f, endNoAnswer)
	}
}

func (c *client) sendSYN(f *clientFlow) {
	c.w.router.forward(c, packet{src: f.key.client, dst: f.key.route, flags: flagSYN, seq: f.iss, ack: f.copies})
	f.copies++
}

// finish ends a flow for the client and returns how it ended.
func (c *client) finish(f *clientFlow, how string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishLocked(f, how)
	return f.done
}

func (c *client) finishLocked(f *clientFlow, how string) {
	if f.done == "" {
		f.done = how
		close(f.ended)
		delete(c.flows, f.key)
	}
}

// request sends a request on the open flow and waits for its answer until the deadline.
func (f *clientFlow) request(id, method string, body int, deadline time.Duration) string {
	data := fmt.Sprintf("%s / HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, f.key.route, id, body, strings.Repeat("y", body))
	f.c.mu.Lock()
	if f.done == "" {
		f.end.queue([]byte(data))
		f.c.flush(f)
	}
	f.c.mu.Unlock()
	select {
	case how := <-f.answer:
		return how
	case <-f.ended:
		return f.done
	case <-time.After(deadline):
		return f.c.finish(f, endNoAnswer)
	}
}

// close closes the flow.
func (f *clientFlow) close() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	if f.done == "" {
		f.c.send(f, flagFIN|flagACK, f.end.next, nil)
		f.c.finishLocked(f, endClosed)
	}
}

func (c *client) receive() {
	buffer := make([]byte, 4096)
	for {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok || p.sum == 0 && (!p.has(flagRST) || len(p.data) > 0) {
			c.w.rec.add("client %s gets a packet that no one wrote so", c.address)
			continue
		}
		c.mu.Lock()
		if f := c.flows[flowKey{p.dst, p.src}]; f != nil {
			c.handle(f, p)
		}
		c.mu.Unlock()
	}
}

func (c *client) handle(f *clientFlow, p packet) {
	switch {
	case p.has(flagRST):
		near := int32(p.seq - f.ack)
		if f.end != nil && (near > resetWindow || near < -resetWindow) {
			return
		}
		how := endServerReset
		if p.sum == 0 {
			how = endSystemReset
		}
		c.finishLocked(f, how)
	case p.has(flagSYN):
		if f.end == nil {
			f.echo, f.end, f.openAt = p.echo, newEnd(f.iss+1, p.seq+1), time.Now()
			close(f.opened)
		}
		if f.end.expected == p.seq+1 {
			c.send(f, flagACK, f.end.next, nil)
		}
	case f.end != nil:
		f.echo = p.echo
		c.take(f, p)
	}
}

func (c *client) take(f *clientFlow, p packet) {
	f.end.acknowledged(p.ack)
	if f.end.receive(p.seq, p.data) {
		c.send(f, flagACK, f.end.next, nil)
	}
	for {
		head, rest, complete := bytes.Cut(f.end.received, []byte("\r\n\r\n"))
		length := contentLength(head)
		if !complete || len(rest) < length {
			break
		}
		f.end.received = append([]byte(nil), rest[length:]...)
		how := endAnswered
		if bytes.Contains(head, []byte("Not-Executed")) {
			how = endNotExecuted
		}
		select {
		case f.answer <- how:
		default:
		}
	}
	if p.has(flagFIN) && len(f.end.early) == 0 {
		c.send(f, flagFIN|flagACK, f.end.next, nil)
		c.finishLocked(f, endClosed)
	}
}

func (c *client) flush(f *clientFlow) {
	for _, g := range f.end.ready(time.Now()) {
		c.send(f, flagACK, g.seq, g.data)
	}
}

func (c *client) resendLoop() {
	for {
		time.Sleep(5 * time.Millisecond)
		c.mu.Lock()
		now := time.Now()
		for _, f := range c.flows {
			age := now.Sub(f.sentAt)
			switch {
			case f.end != nil:
				segments, _ := f.end.overdue(now)
				for _, g := range segments {
					c.send(f, flagACK, g.seq, g.data)
				}
			case f.copies == 1 && age >= 200*time.Millisecond, f.copies == 2 && age >= 600*time.Millisecond:
				c.sendSYN(f)
			}
		}
		c.mu.Unlock()
	}
}

// send sends a packet of an open flow through the routers.
func (c *client) send(f *clientFlow, flags byte, seq uint32, data []byte) {
	f.ack = f.end.expected
	c.w.router.forward(c, packet{src: f.key.client, dst: f.key.route, echo: f.echo, flags: flags, seq: seq, ack: f.ack, data: data})
}

// header returns the value of a header in the head of a message.
func header(head []byte, name string) string {
	for line := range strings.SplitSeq(string(head), "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}

// contentLength returns the length of the body that follows the head.
func contentLength(head []byte) int {
	n, _ := strconv.Atoi(header(head, "Content-Length"))
	return n
}
