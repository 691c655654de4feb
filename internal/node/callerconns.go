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

// callerBounds bounds how long callers' connections may be idle, or slow with a request's
// header, by the bundle in force. net/http's own bounds are fixed when a server starts.
type callerBounds struct {
	// inForce returns the bounds; zero fields mean the defaults.
	inForce func() bundle.Callers
	// log takes a line for each connection that a bound ends.
	log *zerolog.Logger
}

// bound names what a connection waits for, and so which bound runs.
type bound string

const (
	// noBound: a request is in hand, and nothing but its answer ends the connection.
	noBound bound = ""
	// idleBound: the next request has not begun.
	idleBound bound = "idle"
	// headerBound: a request's header is not complete; it is the first one's state too.
	headerBound bound = "header"
)

// of returns how long b lasts.
func (c *callerBounds) of(b bound) time.Duration {
	in := c.inForce()
	if b == idleBound {
		return orDefault(in.IdleTimeout(), DefaultIdleTimeout)
	}
	return orDefault(in.HeaderTimeout(), readHeaderTimeout)
}

// orDefault returns d, or otherwise where d is not set.
func orDefault(d, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return d
}

// state is the caller server's ConnState.
func (c *callerBounds) state(conn net.Conn, s http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		caller.begin(noBound)
	case http.StateIdle:
		caller.begin(idleBound)
	}
}

// callerListener accepts callers' connections under bounds.
type callerListener struct {
	net.Listener
	bounds *callerBounds
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, bounds: l.bounds}
	c.begin(headerBound)
	return c, nil
}

// callerConn is a caller's connection. Its bounds are found to have ended by the goroutine
// that reads it, and by nobody else: it has then got no request, so none can be under way
// whose answer would have nowhere to go. With a timer beside it up to 40 of 400 requests ran
// and were not answered when a node stood still for half a second over the end of an idle
// bound; so none does.
type callerConn struct {
	net.Conn
	bounds *callerBounds

	mu      sync.Mutex
	running bound
	// since is when the running bound began.
	since time.Time
	// lookUntil is the end of the running bound's last look, zero before it.
	lookUntil time.Time
}

// lastLook is how long a connection is still read when its bound has ended. A process
// that got no turn finds the bound ended and a request in the socket; one that was sent in
// time may still be on its way between two regions (70 ms).
const lastLook = 100 * time.Millisecond

// begin begins a bound, or none.
func (c *callerConn) begin(b bound) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running, c.since, c.lookUntil = b, time.Now(), time.Time{}
}

func (c *callerConn) waiting() (bound, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, c.since
}

// look returns the end of the last look, which begins at the first call after the bound: a
// caller that sends a header byte by byte gets one only.
func (c *callerConn) look() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lookUntil.IsZero() {
		c.lookUntil = time.Now().Add(lastLook)
	}
	return c.lookUntil
}

// Read implements net.Conn. It returns os.ErrDeadlineExceeded where a bound has ended. A
// bound that is raised lasts longer also for connections that wait; a lower one holds from
// their next wait on.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		running, since := c.waiting()
		if running == noBound {
			return c.Conn.Read(p)
		}
		n, err := c.readUntil(p, since.Add(c.bounds.of(running)))
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(since) < c.bounds.of(running) {
			// The bound was raised meanwhile.
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readUntil(p, c.look())
		}
		switch {
		case n > 0 && running == idleBound:
			c.begin(headerBound)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.end(running, since)
		}
		return n, err
	}
}

// readUntil reads until t at the latest.
func (c *callerConn) readUntil(p []byte, t time.Time) (int, error) {
	// A connection that is closed refuses deadlines, and reading it tells so.
	_ = c.Conn.SetReadDeadline(t)
	n, err := c.Conn.Read(p)
	_ = c.Conn.SetReadDeadline(time.Time{})
	return n, err
}

// end closes the connection: of a header's line that is cut short net/http would say that
// it is malformed, and callers don't come again after that.
func (c *callerConn) end(b bound, since time.Time) {
	event.Log(c.bounds.log, event.CallerConnectionTimedOut).
		Str("from", c.RemoteAddr().String()).Str("bound", string(b)).
		Int("bound_ms", c.bounds.of(b).Milliseconds()).Int("ran_ms", time.Since(since).Milliseconds()).Send()
	// The other side may have closed it already.
	_ = c.Conn.Close()
}
