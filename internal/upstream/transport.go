// Package upstream sends attempts to this node's own worker by net/http, and
// proves what became of them. net/http's Transport replays requests that it
// takes for idempotent on a reused connection that dies; Seal takes every
// ground for that away, so one call is one run at most.
package upstream

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options are the settings of a transport.
type Options struct {
	// DialFunc opens connections; nil means TCP with DialTimeout and Silence.
	Dial DialFunc
	// MaxIdleConns is how many idle connections are kept to each address, Connections how
	// many are open to each at most (0: any number).
	MaxIdleConns, MaxConns int
	// DialTimeout bounds opening a connection; zero means 2 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; zero means 30 s. It must
	// be shorter than the other side's: a request that crosses its close may have
	// been read.
	IdleTimeout time.Duration
	// AckTimeout is how long the other side's kernel may acknowledge nothing before
	// the connection ends; zero means 15 s.
	AckTimeout time.Duration
}

// Defaults of Options.
const (
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultSilence     = 15 * time.Second
)

const (
	maxHeaderBytes = 64 << 10
	// silenceProbes is the number of keep-alive probes that go unanswered within
	// Options.Silence.
	silenceProbes = 2
)

// Canonical and replay-proof names of the header that makes net/http take a
// request for idempotent (net/http.Request.isReplayable looks for the canonical
// map key; header names are case-insensitive on the wire, RFC 9110 section 5.1).
const (
	idempotencyKey        = "Idempotency-Key"
	idempotencyKeyX       = "X-Idempotency-Key"
	idempotencyKeySealed  = "idempotency-key"
	idempotencyKeyXSealed = "x-idempotency-key"
)

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// tcpDialer returns the Dial in use when none is given: connections that end when
// the other side is silent, whether they are idle or have sent something.
func tcpDialer(timeout, silence time.Duration) DialFunc {
	interval := max(silence/(silenceProbes+1), time.Second)
	dialer := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: silenceProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	return dialer.DialContext
}

// NewTransport returns a transport that cannot replay a sealed request.
func NewTransport(o Options) *http.Transport {
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.AckTimeout = cmp.Or(o.AckTimeout, defaultSilence)
	dial := o.Dial
	if dial == nil {
		dial = tcpDialer(o.DialTimeout, o.AckTimeout)
	}
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           o.MaxIdleConns,
		MaxIdleConnsPerHost:    o.MaxIdleConns,
		MaxConnsPerHost:        o.MaxConns,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ExpectContinueTimeout:  time.Second,
	}
}

// errBarred is what a write gets after the connection was proved unused.
var errBarred = errors.New("connection is barred: its request was proved not run")

// countingConn counts the bytes that left, so that "not one byte of the request
// left" can be proved after an error, and kept true by barring later writes.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	writing bool
	barred  bool
	// first is what had been written before the present request, and expires the time
	// after which its first byte must not leave; zero for none.
	first   int64
	expires time.Time
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	if !c.begin() {
		return 0, errBarred
	}
	n, err := c.Conn.Write(p)
	c.end(n)
	return n, err
}

func (c *countingConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expires.IsZero() && c.written == c.first && time.Now().After(c.expires) {
		c.barred = true
	}
	if c.barred {
		return false
	}
	c.writing = true
	return true
}

func (c *countingConn) end(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += int64(n)
}

// begins takes that a request has this connection, whose first byte must not leave after
// expires, unless that is zero. It returns the bytes that left so far.
func (c *countingConn) begins(expires time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first, c.expires = c.written, expires
	return c.written
}

// barUnused reports whether nothing left since before, and if so sees to it that
// nothing will: the transport's own goroutine may still be about to write.
func (c *countingConn) barUnused(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || c.written != before {
		return false
	}
	c.barred = true
	return true
}

// emptyBody is a body without bytes that net/http does not know to be empty, so
// that it cannot be replayed.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// PreventReplay takes from r every ground on which net/http would send it twice: a body
// that it could send again, a method that it takes for idempotent while there
// is no body, and the idempotency headers. The request means the same on the
// wire.
func PreventReplay(r *http.Request) {
	r.GetBody = nil
	rename(r.Header, idempotencyKey, idempotencyKeySealed)
	rename(r.Header, idempotencyKeyX, idempotencyKeyXSealed)
	if r.Body != nil && r.Body != http.NoBody {
		return
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		r.Body = emptyBody{}
	}
}

func rename(h http.Header, from, to string) {
	if values, ok := h[from]; ok {
		delete(h, from)
		h[to] = values
	}
}

// ErrCloseDelimited says that an answer's end is marked by the connection's end
// only, so that a cut one cannot be told from a whole one.
var ErrCloseDelimited = errors.New("the answer has neither a length nor chunks, so its wholeness cannot be known")

// CheckFraming reports whether the end of r's body can be told from a cut.
func CheckFraming(r *http.Response, method string) error {
	if method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified {
		return nil
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return ErrCloseDelimited
	}
	return nil
}
