// Package upstream sends attempts to this node's own worker by net/http, and proves
// whether they were sent. The Transport of net/http replays requests that it considers
// idempotent when a reused connection breaks; PreventReplay removes every condition for
// that, so that one call runs at most once.
package upstream

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options are the parameters of a transport.
type Options struct {
	// Dial opens connections; nil means TCP with DialTimeout and AckTimeout.
	Dial DialFunc
	// MaxIdleConns is the number of idle connections kept to each address, MaxConns the
	// most open connections to each (0: no limit).
	MaxIdleConns, MaxConns int
	// DialTimeout bounds opening a connection; zero means 2 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; zero means 30 s. It must be
	// shorter than the other side's timeout: a request that crosses the other side's
	// close may have been read.
	IdleTimeout time.Duration
	// AckTimeout is how long the other side's kernel may leave data and keep-alive probes
	// unacknowledged before the connection is closed; zero means 15 s.
	AckTimeout time.Duration
}

// Defaults of Options.
const (
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultAckTimeout  = 15 * time.Second
)

const (
	maxHeaderBytes = 64 << 10
	// keepAliveProbes is the number of unanswered keep-alive probes within AckTimeout.
	keepAliveProbes = 2
)

// Names of the headers for which net/http considers a request idempotent, in canonical
// form and in a form that does not cause a replay. net/http.Request.isReplayable looks
// for the canonical map key; on the wire, header names are case-insensitive (RFC 9110
// section 5.1).
const (
	idempotencyKey       = "Idempotency-Key"
	idempotencyKeyX      = "X-Idempotency-Key"
	idempotencyKeyLower  = "idempotency-key"
	idempotencyKeyXLower = "x-idempotency-key"
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// tcpDialer returns the default DialFunc. Its connections are closed when the other side
// acknowledges nothing, whether they are idle or have sent something.
func tcpDialer(timeout, ackTimeout time.Duration) DialFunc {
	interval := max(ackTimeout/(keepAliveProbes+1), time.Second)
	dialer := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
	return dialer.DialContext
}

// NewTransport returns a transport that cannot replay a request passed through
// PreventReplay.
func NewTransport(o Options) *http.Transport {
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.AckTimeout = cmp.Or(o.AckTimeout, defaultAckTimeout)
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

// emptyBody is an empty body whose emptiness net/http cannot detect, so that it cannot
// replay the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// PreventReplay removes from r every condition under which net/http would send it twice:
// a body that it could send again, a method that it considers idempotent without a body,
// and the idempotency headers. The meaning of the request on the wire is unchanged.
func PreventReplay(r *http.Request) {
	r.GetBody = nil
	renameHeader(r.Header, idempotencyKey, idempotencyKeyLower)
	renameHeader(r.Header, idempotencyKeyX, idempotencyKeyXLower)
	if r.Body != nil && r.Body != http.NoBody {
		return
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		r.Body = emptyBody{}
	}
}

func renameHeader(h http.Header, from, to string) {
	if values, ok := h[from]; ok {
		delete(h, from)
		h[to] = values
	}
}
