package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"gypsumstand/internal/bundle"
)

// callerConns closes callers' connections that are idle, or slow with a request's
// header, for longer than the bundle in force allows. net/http's own bounds are fixed
// when a server starts.
type callerConns struct {
	// bounds returns those in force; zero fields mean none.
	bounds func() bundle.Callers

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is the running bound of one connection.
type callerConn struct {
	mu    sync.Mutex
	timer *time.Timer
}

// connKey is the context key of a request's callerConn.
type connKey struct{}

func newCallerConns(bounds func() bundle.Callers) *callerConns {
	return &callerConns{bounds: bounds, conns: map[net.Conn]*callerConn{}}
}

// context is the server's ConnContext: it comes before every state of the connection.
func (c *callerConns) context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c.of(conn))
}

// state is the server's ConnState.
func (c *callerConns) state(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew, http.StateActive:
		c.of(conn).arm(conn, c.headerTimeout())
	case http.StateIdle:
		c.of(conn).arm(conn, c.idleTimeout())
	case http.StateClosed, http.StateHijacked:
		c.of(conn).disarm()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}
}

// headerRead ends the bound of a request's header; the request has been read.
func headerRead(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*callerConn); ok {
		conn.disarm()
	}
}

func (c *callerConns) of(conn net.Conn) *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.conns[conn]
	if found == nil {
		found = &callerConn{}
		c.conns[conn] = found
	}
	return found
}

func (c *callerConns) headerTimeout() time.Duration {
	b := c.bounds()
	if b.HeaderTimeoutMs <= 0 {
		return readHeaderTimeout
	}
	return b.HeaderTimeout()
}

func (c *callerConns) idleTimeout() time.Duration {
	b := c.bounds()
	if b.IdleTimeoutMs <= 0 {
		return DefaultIdleTimeout
	}
	return b.IdleTimeout()
}

// arm closes conn after d unless it is armed or disarmed before.
func (c *callerConn) arm(conn net.Conn, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = time.AfterFunc(d, func() {
		// The other side may have closed it already.
		_ = conn.Close()
	})
}

func (c *callerConn) disarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}
