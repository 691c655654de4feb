package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/event"
)

// callerConns closes callers' connections that are idle, or slow with a request's
// header, for longer than the bundle in force allows. net/http's own bounds are fixed
// when a server starts.
type callerConns struct {
	// bounds returns those in force; zero fields mean none.
	bounds func() bundle.Callers
	// log takes a line for each connection that a bound closes.
	log *zerolog.Logger

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is the running bound of one connection.
type callerConn struct {
	mu    sync.Mutex
	timer *time.Timer
	// inHand: a request has been read and is not answered yet.
	inHand atomic.Bool
}

// Names of the bounds in log lines.
const (
	idleBound   = "idle"
	headerBound = "header"
)

// connKey is the context key of a request's callerConn.
type connKey struct{}

func newCallerConns(bounds func() bundle.Callers, log *zerolog.Logger) *callerConns {
	return &callerConns{bounds: bounds, log: log, conns: map[net.Conn]*callerConn{}}
}

// context is the server's ConnContext: it comes before every state of the connection.
func (c *callerConns) context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c.of(conn))
}

// state is the server's ConnState.
func (c *callerConns) state(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew, http.StateActive:
		c.arm(conn, headerBound, c.headerTimeout())
	case http.StateIdle:
		c.of(conn).inHand.Store(false)
		c.arm(conn, idleBound, c.idleTimeout())
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
		conn.inHand.Store(true)
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
func (c *callerConns) arm(conn net.Conn, bound string, d time.Duration) {
	armed := c.of(conn)
	began := time.Now()
	armed.mu.Lock()
	defer armed.mu.Unlock()
	if armed.timer != nil {
		armed.timer.Stop()
	}
	armed.timer = time.AfterFunc(d, func() {
		c.logClose(conn, bound, d, time.Since(began), armed.inHand.Load())
		// The other side may have closed it already.
		_ = conn.Close()
	})
}

func (c *callerConns) logClose(conn net.Conn, bound string, d, ran time.Duration, inHand bool) {
	event.Log(c.log, event.CallerConnectionBounded).
		Str("from", conn.RemoteAddr().String()).Str("bound", bound).Int("bound_ms", d.Milliseconds()).
		Int("ran_ms", ran.Milliseconds()).Bool("in_hand", inHand).Send()
}

func (c *callerConn) disarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}
