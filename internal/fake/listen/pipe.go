package listen

import (
	"context"
	"net"
	"sync"
)

// Pipe is a listener whose connections are in memory, so that clients and
// servers can be tested on the fake clock of testing/synctest.
type Pipe struct {
	conns chan net.Conn
	done  chan struct{}
	close sync.Once
}

var _ net.Listener = (*Pipe)(nil)

// NewPipe returns a listener that Dial connects to.
func NewPipe() *Pipe {
	return &Pipe{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial connects to the listener whatever the address; it fits
// http.Transport.DialContext.
func (p *Pipe) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (p *Pipe) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener; open connections stay.
func (p *Pipe) Close() error {
	p.close.Do(func() { close(p.done) })
	return nil
}

// Addr implements net.Listener.
func (p *Pipe) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }
