package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// mode is what a proxy does to the connections through it.
type mode int32

const (
	passing mode = iota
	// delaying holds each piece of data back.
	delaying
	// resetting resets connections, open and new.
	resetting
	// silent takes everything and passes nothing.
	silent
	// oneWay passes what the client sends and nothing back.
	oneWay
	modes
)

const proxyDelay = 300 * time.Millisecond

func (m mode) String() string {
	return []string{"passing", "delaying", "resetting", "silent", "one way"}[m]
}

// proxy carries the connections of one host to the platform, or those of other
// hosts to it.
type proxy struct {
	listener net.Listener
	to       string
	mode     atomic.Int32
}

func newProxy(ctx context.Context, address, to string) (*proxy, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &proxy{listener: l, to: to}, nil
}

func (p *proxy) set(m mode) { p.mode.Store(int32(m)) }

func (p *proxy) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err == nil {
			go p.carry(ctx, c.(*net.TCPConn))
		}
	}
}

func (p *proxy) carry(ctx context.Context, in *net.TCPConn) {
	defer func() { _ = in.Close() }()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp4", p.to)
	if err != nil {
		return
	}
	out := c.(*net.TCPConn)
	defer func() { _ = out.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = in.Close(); _ = out.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	go func() { p.copy(out, in, in, false); done <- struct{}{} }()
	go func() { p.copy(in, out, in, true); done <- struct{}{} }()
	<-done
}

// copy passes data on as the mode says at the time.
func (p *proxy) copy(to io.Writer, from *net.TCPConn, in *net.TCPConn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		_ = from.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		n, err := from.Read(buffer)
		m := mode(p.mode.Load())
		var timeout net.Error
		switch {
		case m == resetting:
			_ = in.SetLinger(0)
			return
		case errors.As(err, &timeout) && timeout.Timeout() && n == 0:
			continue
		case err != nil && n == 0:
			return
		case m == silent, m == oneWay && back:
			continue
		case m == delaying:
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
