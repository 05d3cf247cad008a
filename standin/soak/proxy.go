package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// mode determines how a proxy treats its connections.
type mode int32

const (
	// passing forwards all data.
	passing mode = iota
	// delaying waits proxyDelay before it forwards each piece of data.
	delaying
	// resetting resets open and new connections.
	resetting
	// silent accepts all data and forwards none.
	silent
	// oneWay forwards data from the client and drops data to it.
	oneWay
	// modeCount is the number of modes.
	modeCount
)

const proxyDelay = 300 * time.Millisecond

func (m mode) String() string {
	return []string{"passing", "delaying", "resetting", "silent", "one way"}[m]
}

// proxy forwards the connections of a host to the platform, or those of other
// hosts to it.
type proxy struct {
	listener net.Listener
	upstream string
	mode     atomic.Int32
}

func newProxy(ctx context.Context, address, upstream string) (*proxy, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &proxy{listener: l, upstream: upstream}, nil
}

func (p *proxy) setMode(m mode) { p.mode.Store(int32(m)) }

func (p *proxy) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err == nil {
			go p.forward(ctx, c.(*net.TCPConn))
		}
	}
}

func (p *proxy) forward(ctx context.Context, in *net.TCPConn) {
	defer func() { _ = in.Close() }()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp4", p.upstream)
	if err != nil {
		return
	}
	out := c.(*net.TCPConn)
	defer func() { _ = out.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = in.Close(); _ = out.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	go func() { p.copyStream(out, in, in, false); done <- struct{}{} }()
	go func() { p.copyStream(in, out, in, true); done <- struct{}{} }()
	<-done
}

// copyStream forwards data according to the current mode.
func (p *proxy) copyStream(to io.Writer, from *net.TCPConn, in *net.TCPConn, back bool) {
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
