package node

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/event"
)

// callerTimeouts limits how long callers' connections may be idle, or take to send a
// request's header, according to the bundle in force. net/http's own limits are fixed
// when a server starts.
type callerTimeouts struct {
	// current returns the limits in force; zero fields mean the defaults.
	current func() bundle.Callers
	// log receives a line for each connection that is closed by a timeout.
	log *zerolog.Logger
}

// timeoutKind is what a connection waits for, which determines the timeout that runs.
type timeoutKind string

const (
	// noTimeout: a request is in flight, and only its response can end the connection.
	noTimeout timeoutKind = ""
	// idleTimeout: the next request has not begun.
	idleTimeout timeoutKind = "idle"
	// headerTimeout: a request's header is incomplete. A new connection starts in this
	// state.
	headerTimeout timeoutKind = "header"
)

// duration returns the length of the timeout k.
func (c *callerTimeouts) duration(k timeoutKind) time.Duration {
	limits := c.current()
	if k == idleTimeout {
		return orDefault(limits.IdleTimeout(), DefaultIdleTimeout)
	}
	return orDefault(limits.HeaderTimeout(), readHeaderTimeout)
}

// orDefault returns d, or otherwise if d is not set.
func orDefault(d, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return d
}

// state is the ConnState hook of the caller port's server.
func (c *callerTimeouts) state(conn net.Conn, s http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		caller.start(noTimeout)
	case http.StateIdle:
		caller.start(idleTimeout)
	}
}

// callerListener accepts callers' connections and applies the timeouts to them.
type callerListener struct {
	net.Listener
	timeouts *callerTimeouts
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, timeouts: l.timeouts}
	c.start(headerTimeout)
	return c, nil
}

// callerConn is a caller's connection. Only the goroutine that reads it detects that a
// timeout has expired: no request has been read then, so none can be in flight whose
// response could not be delivered. With a separate timer, up to 40 of 400 requests were
// run but got no response when a node was suspended for half a second across the end of
// an idle timeout.
type callerConn struct {
	net.Conn
	timeouts *callerTimeouts

	mu      sync.Mutex
	running timeoutKind
	// since is when the running timeout started.
	since time.Time
	// graceUntil is the end of the grace period of the running timeout, zero before it.
	graceUntil time.Time
}

// readGrace is how long a connection is still read after its timeout has expired. A
// process that was not scheduled finds the timeout expired and a request in the socket; a
// request that was sent in time may still be on its way between two regions (70 ms).
const readGrace = 100 * time.Millisecond

// NetConn returns the wrapped connection.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// start starts a timeout, or none.
func (c *callerConn) start(k timeoutKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.since, c.graceUntil = k, time.Now(), time.Time{}
}

func (c *callerConn) waiting() (timeoutKind, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, c.since
}

// graceEnd returns the end of the grace period, which starts at the first call after the
// timeout expired. A caller that sends a header byte by byte gets only one grace period.
func (c *callerConn) graceEnd() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.graceUntil.IsZero() {
		c.graceUntil = time.Now().Add(readGrace)
	}
	return c.graceUntil
}

// Read implements net.Conn. It returns os.ErrDeadlineExceeded if a timeout has expired. A
// raised limit also applies to connections that are already waiting; a lowered one
// applies from their next wait on.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		running, since := c.waiting()
		if running == noTimeout {
			return c.Conn.Read(p)
		}
		n, err := c.readUntil(p, since.Add(c.timeouts.duration(running)))
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(since) < c.timeouts.duration(running) {
			// The limit was raised meanwhile.
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readUntil(p, c.graceEnd())
		}
		switch {
		case n > 0 && running == idleTimeout:
			c.start(headerTimeout)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.closeTimedOut(running, since)
		}
		return n, err
	}
}

// readUntil reads until t at the latest.
func (c *callerConn) readUntil(p []byte, t time.Time) (int, error) {
	// A closed connection refuses deadlines; the read then returns the error.
	_ = c.Conn.SetReadDeadline(t)
	n, err := c.Conn.Read(p)
	_ = c.Conn.SetReadDeadline(time.Time{})
	return n, err
}

// closeTimedOut closes the connection. Otherwise net/http would respond to a partial
// header line that it is malformed, and callers don't retry after that.
func (c *callerConn) closeTimedOut(k timeoutKind, since time.Time) {
	event.Log(c.timeouts.log, event.CallerConnectionTimedOut).
		Str("from", c.RemoteAddr().String()).Str("bound", string(k)).
		Int("bound_ms", c.timeouts.duration(k).Milliseconds()).Int("ran_ms", time.Since(since).Milliseconds()).Send()
	// The caller may have closed it already.
	_ = c.Conn.Close()
}
