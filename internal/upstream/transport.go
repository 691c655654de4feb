// Package upstream sends attempts to this node's own worker by net/http, and
// proves what became of them. net/http's Transport replays requests that it
// takes for idempotent on a reused connection that dies; Seal takes every
// ground for that away, so one call is one run at most.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Settings of the transport to the worker.
const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	tcpKeepAlive    = 15 * time.Second
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

// Dial opens a connection; net.Dialer.DialContext is one.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// dialTCP is the Dial in use when none is given.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: tcpKeepAlive}
	return dialer.DialContext(ctx, network, address)
}

// NewTransport returns a transport that keeps idle connections open to each
// address, and opens at most connections to each (0: any number). A nil dial
// means TCP.
func NewTransport(dial Dial, idle, connections int) *http.Transport {
	if dial == nil {
		dial = dialTCP
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
		MaxIdleConns:           idle,
		MaxIdleConnsPerHost:    idle,
		MaxConnsPerHost:        connections,
		IdleConnTimeout:        idleConnTimeout,
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

// count returns the bytes that left so far.
func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
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

// Seal takes from r every ground on which net/http would send it twice: a body
// that it could send again, a method that it takes for idempotent while there
// is no body, and the idempotency headers. The request means the same on the
// wire.
func Seal(r *http.Request) {
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

// Whole reports whether the end of r's body can be told from a cut.
func Whole(r *http.Response, method string) error {
	if method == http.MethodHead || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified {
		return nil
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return ErrCloseDelimited
	}
	return nil
}
