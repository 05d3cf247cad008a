package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which servers write their entry.
const heartbeat = 770 * time.Millisecond

// flowKey names a flow by its client's end and its route's address.
type flowKey struct{ client, route netip.AddrPort }

// serverFlow is a flow that a server holds.
type serverFlow struct {
	key    flowKey
	iss    uint32
	echo   uint32
	copy   uint32 // number of the copy of the opening packet that the server took
	synAt  time.Time
	opened bool
	ended  bool
	end    *end
}

// job is a request that a server works on or has queued.
type job struct {
	flow *serverFlow
	id   string
}

// server is a stand-in for an endpoint of a service.
type server struct {
	w              *world
	id             string
	service        string
	address        netip.AddrPort
	slots, queue   int
	maxConnections int
	work           func() time.Duration
	answerBytes    int
	// lose reports whether a packet to the client is lost on its way.
	lose func(flowKey, packet) bool
	// loseArriving reports the same of a packet from the client.
	loseArriving func(flowKey, packet) bool

	mu       sync.Mutex
	conn     *net.UDPConn
	flows    map[flowKey]*serverFlow
	waiting  []job
	running  int
	born     int64
	beats    int
	draining bool
	up       bool
	run      int // incarnation
	started  time.Time
}

// start starts an incarnation of the server, which knows nothing of earlier ones: it listens
// and then registers itself.
func (s *server) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.conn, s.flows, s.waiting, s.running = conn, map[flowKey]*serverFlow{}, nil, 0
	s.born, s.beats, s.draining, s.up = time.Now().UnixMilli(), 0, false, true
	s.run++
	run := s.run
	s.started = time.Now()
	s.mu.Unlock()
	s.w.rec.add("server %s (%s) starts at %s, incarnation %d", s.id, s.service, s.address, run)
	go s.receive(conn, run)
	go s.beatLoop(run)
	go s.resendLoop(run)
	return nil
}

// crash ends the incarnation without a word. The server's flows are gone.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = false
	s.run++
	_ = s.conn.Close()
	s.w.rec.add("server %s crashes", s.id)
}

// startedAt returns when the incarnation that runs was started.
func (s *server) startedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// alive reports whether the incarnation still runs. The caller holds the lock.
func (s *server) alive(run int) bool { return s.up && s.run == run }

// register writes the entry of the server and returns when the store has acknowledged it.
func (s *server) register() time.Time {
	s.mu.Lock()
	s.beats++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.service, "address": s.address.String(), "zone": zone, "version": "v1", "slots": s.slots,
		"state": state, "warmup_left_ms": 0, "sequence": s.beats, "born": s.born,
	}
	s.mu.Unlock()
	return s.w.store.put("servers", s.id, entry)
}

// drain reports that the server is draining and returns when the store has acknowledged it.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.register()
}

func (s *server) beatLoop(run int) {
	for {
		s.mu.Lock()
		alive := s.alive(run)
		s.mu.Unlock()
		if !alive {
			return
		}
		s.register()
		time.Sleep(heartbeat)
	}
}

func (s *server) receive(conn *net.UDPConn, run int) {
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[min(prefixSize, n):n])
		if !ok {
			s.w.rec.add("server %s gets a packet that its sender did not write", s.id)
			continue
		}
		meant := binary.BigEndian.Uint64(buffer[:prefixSize])
		s.mu.Lock()
		if s.alive(run) && (meant == 0 || meant == s.instance()) {
			s.handle(p)
		}
		s.mu.Unlock()
	}
}

// instance returns the number by which packets name the server.
func (s *server) instance() uint64 {
	n, _ := strconv.ParseUint(s.id[len("i-"):], 16, 64)
	return n
}

// handle handles a packet that is meant for the server.
func (s *server) handle(p packet) {
	key := flowKey{p.src, p.dst}
	f := s.flows[key]
	switch {
	case p.has(flagSYN):
		s.open(key, f, p)
	case s.loseArriving != nil && s.loseArriving(key, p):
	case f == nil:
		s.send(packet{src: key.route, dst: key.client, echo: p.echo, flags: flagRST, seq: p.ack})
	case p.has(flagRST):
		delete(s.flows, key)
	case f.ended && p.has(flagFIN):
		s.send(packet{src: key.route, dst: key.client, echo: p.echo, flags: flagACK, seq: f.iss + 1, ack: p.seq + 1})
	case f.ended:
		s.send(packet{src: key.route, dst: key.client, echo: p.echo, flags: flagRST, seq: p.ack})
	default:
		f.echo = p.echo
		s.take(f, p)
	}
}

// open answers an opening packet, unless the server is full.
func (s *server) open(key flowKey, f *serverFlow, p packet) {
	now := time.Now()
	if f == nil {
		if s.held(now) >= s.maxConnections {
			return
		}
		f = &serverFlow{key: key, iss: rand.Uint32(), copy: p.ack, synAt: now}
		f.end = newEnd(f.iss+1, p.seq+1)
		s.flows[key] = f
	}
	f.echo = p.echo
	s.send(packet{src: key.route, dst: key.client, echo: f.echo, flags: flagSYN | flagACK, seq: f.iss, ack: p.seq + 1})
}

// held counts the flows that are open or may still open.
func (s *server) held(now time.Time) int {
	n := 0
	for key, f := range s.flows {
		switch {
		case f.ended:
		case f.opened || now.Sub(f.synAt) < 2*time.Second:
			n++
		default:
			delete(s.flows, key)
		}
	}
	return n
}

// take handles a packet of a flow that is not ended.
func (s *server) take(f *serverFlow, p packet) {
	if !f.opened {
		f.opened = true
		s.w.opened(s, f)
	}
	f.end.acknowledged(p.ack)
	if f.end.receive(p.seq, p.data) {
		s.sendFlow(f, flagACK, f.end.next, nil)
	}
	if p.has(flagFIN) {
		s.sendFlow(f, flagFIN|flagACK, f.end.next, nil)
		f.ended = true
		return
	}
	for {
		head, rest, complete := bytes.Cut(f.end.received, []byte("\r\n\r\n"))
		length := contentLength(head)
		if !complete || len(rest) < length {
			break
		}
		f.end.received = append([]byte(nil), rest[length:]...)
		s.enqueue(job{f, header(head, "Attempt-Id")})
	}
	s.flush(f)
}

// enqueue starts a request, queues it or rejects it.
func (s *server) enqueue(j job) {
	switch {
	case s.running < s.slots:
		s.begin(j)
	case len(s.waiting) < s.queue:
		s.waiting = append(s.waiting, j)
	default:
		j.flow.end.queue([]byte("HTTP/1.1 503 Busy\r\nAttempt-Id: " + j.id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
		s.flush(j.flow)
	}
}

// begin runs a request.
func (s *server) begin(j job) {
	s.running++
	run := s.run
	s.w.ran(s, j)
	time.AfterFunc(s.work(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.alive(run) {
			return
		}
		s.running--
		s.finish(j)
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.begin(next)
		}
	})
}

// finish answers a request. A draining server closes the flow after the answer.
func (s *server) finish(j job) {
	body := bytes.Repeat([]byte("x"), s.answerBytes)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n", j.id, s.id, len(body))
	j.flow.end.queue(append([]byte(head), body...))
	s.flush(j.flow)
	if s.draining {
		s.sendFlow(j.flow, flagFIN|flagACK, j.flow.end.next, nil)
	}
}

// flush sends what the window allows.
func (s *server) flush(f *serverFlow) {
	for _, g := range f.end.ready(time.Now()) {
		s.sendFlow(f, flagACK, g.seq, g.data)
	}
}

func (s *server) resendLoop(run int) {
	for {
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
		if !s.alive(run) {
			s.mu.Unlock()
			return
		}
		now := time.Now()
		for key, f := range s.flows {
			segments, resends := f.end.overdue(now)
			if resends > serverMaxResends || f.ended && now.Sub(f.synAt) > 20*time.Second {
				delete(s.flows, key)
				continue
			}
			for _, g := range segments {
				s.sendFlow(f, flagACK, g.seq, g.data)
			}
		}
		s.mu.Unlock()
	}
}

// sendFlow sends a packet of a flow.
func (s *server) sendFlow(f *serverFlow, flags byte, seq uint32, data []byte) {
	s.send(packet{src: f.key.route, dst: f.key.client, echo: f.echo, flags: flags, seq: seq, ack: f.end.expected, data: data})
}

// send sends a packet directly to its client.
func (s *server) send(p packet) {
	if s.lose != nil && s.lose(flowKey{p.dst, p.src}, p) {
		return
	}
	to := netip.AddrPortFrom(p.dst.Addr(), s.w.dataPort)
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), to)
}
