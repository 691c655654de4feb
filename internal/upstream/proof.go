package upstream

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// RequestTrace watches one RoundTrip and tells afterwards whether it is proved that
// not a byte of the request left. It is the one place that says which errors
// prove "not run"; a write that failed proves nothing by itself.
type RequestTrace struct {
	// Expires, unless zero, is the time after which the request's first byte must not
	// leave any more. A process may be stopped at any point between its last look at the
	// clock and the write: what remains of that is the way into the system call.
	SendDeadline time.Time

	mu     sync.Mutex
	got    bool
	conn   *countingConn
	before int64
}

// Attach returns r watched by p.
func (p *RequestTrace) Attach(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: p.gotConn}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}

func (p *RequestTrace) gotConn(info httptrace.GotConnInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.got = true
	p.conn = unwrap(info.Conn)
	if p.conn != nil {
		p.before = p.conn.begins(p.SendDeadline)
	}
}

// unwrap finds the counting connection, below TLS if need be; nil when there is
// none.
func unwrap(c net.Conn) *countingConn {
	if secured, ok := c.(*tls.Conn); ok {
		c = secured.NetConn()
	}
	counting, _ := c.(*countingConn)
	return counting
}

// NotRun reports, after the watched RoundTrip failed, whether it is proved that
// the other side did not get the request and never will: no connection was had,
// or no byte left on it and none will any more.
func (p *RequestTrace) NotRun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.got {
		return true
	}
	if p.conn == nil {
		return false
	}
	return p.conn.barUnused(p.before)
}

// CloseConn closes the watched connection, so that what the worker still sends
// on it can never be taken for the answer to another request.
func (p *RequestTrace) CloseConn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		// The error of closing a connection that is given up has no receiver.
		_ = p.conn.Close()
	}
}
