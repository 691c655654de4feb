package upstream

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// RequestTrace watches one RoundTrip and reports afterwards whether it is proved that no
// byte of the request was sent. It alone decides which errors prove "not run"; a failed
// write by itself proves nothing.
type RequestTrace struct {
	// SendDeadline, unless zero, is the time after which the first byte of the request
	// must not be sent. A process may be stopped at any point between its last look at
	// the clock and the write; the deadline is checked right before the system call, so
	// only the time of entering it is left.
	SendDeadline time.Time

	mu            sync.Mutex
	hasConn       bool
	conn          *countingConn
	writtenBefore int64
	// exclusive: each connection is held until release; see Send.
	exclusive bool
	held      *countingConn
	// gotRetired: the connection had been retired before the request got it.
	gotRetired bool
}

// Attach returns r watched by t.
func (t *RequestTrace) Attach(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: t.gotConn}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}

func (t *RequestTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasConn = true
	t.conn = countingConnOf(info.Conn)
	if t.conn == nil {
		return
	}
	t.hold(t.conn)
	t.writtenBefore, t.gotRetired = t.conn.startRequest(t.SendDeadline)
}

// hold waits until the request before has released the connection. It is called with mu
// locked, which only the goroutine of the RoundTrip needs meanwhile.
func (t *RequestTrace) hold(c *countingConn) {
	if !t.exclusive {
		return
	}
	t.release()
	c.turn.Lock()
	t.held = c
}

// release leaves the connection to the next request. It is called with mu locked.
func (t *RequestTrace) release() {
	if t.held != nil {
		t.held.turn.Unlock()
		t.held = nil
	}
}

// countingConnOf returns the counting connection, below TLS if needed; nil if there is
// none.
func countingConnOf(c net.Conn) *countingConn {
	if tlsConn, ok := c.(*tls.Conn); ok {
		c = tlsConn.NetConn()
	}
	counting, _ := c.(*countingConn)
	return counting
}

// NotRun reports, after the watched RoundTrip failed, whether it is proved that the other
// side did not receive the request and never will: no connection was used, or no byte was
// sent on it and none will be.
func (t *RequestTrace) NotRun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasConn {
		return true
	}
	if t.conn == nil {
		return false
	}
	return t.conn.fenceIfUnused(t.writtenBefore)
}

// CloseConn closes the watched connection, so that nothing the other side still sends on it
// can be taken for the response to another request.
func (t *RequestTrace) CloseConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.retire()
	}
}
