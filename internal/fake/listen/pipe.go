package listen

import (
	"context"
	"net"
	"sync"
)

// Pipe is an in-memory listener for tests of clients and servers on the fake clock of
// testing/synctest.
type Pipe struct {
	conns chan net.Conn
	done  chan struct{}
	close sync.Once
}

var _ net.Listener = (*Pipe)(nil)

// NewPipe returns a listener that accepts connections made by Dial.
func NewPipe() *Pipe {
	return &Pipe{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Dial connects to the listener and ignores the address. It can serve as
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

// Close implements net.Listener; open connections stay open.
func (p *Pipe) Close() error {
	p.close.Do(func() { close(p.done) })
	return nil
}

// Addr implements net.Listener.
func (p *Pipe) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }
