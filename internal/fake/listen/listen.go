// Package listen gives the stand-ins listeners whose faults can be set while
// they serve: refused connections on a port that stays theirs, a bound on open
// connections, a slow start of each connection, and cut connections.
package listen

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Counts count connections since the listener was made.
type Counts struct {
	// Open is the number of open connections, Peak the largest there was.
	Open int `json:"open"`
	Peak int `json:"peak"`
	// Accepted counts connections that were handed on.
	Accepted uint64 `json:"accepted"`
	// OverLimit counts connections that were cut at once, being over the limit.
	OverLimit uint64 `json:"over_limit"`
}

// Listener is a TCP listener with settable faults. It implements net.Listener;
// its methods are safe for concurrent use.
type Listener struct {
	address net.Addr

	mu      sync.Mutex
	inner   net.Listener // nil while connections are refused
	reserve *reservation // holds the port while connections are refused
	wake    chan struct{}
	closed  bool
	limit   int
	delay   time.Duration
	open    map[*conn]struct{}
	counts  Counts
}

var _ net.Listener = (*Listener)(nil)

// TCP listens on address, an "ip:port"; port 0 takes a free one.
func TCP(address string) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{
		address: inner.Addr(),
		inner:   inner,
		wake:    make(chan struct{}),
		open:    map[*conn]struct{}{},
	}, nil
}

// Addr implements net.Listener; it stays the same while connections are refused.
func (l *Listener) Addr() net.Addr { return l.address }

// Accept implements net.Listener. While connections are refused it waits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, wake, err := l.current()
		if err != nil {
			return nil, err
		}
		if inner == nil {
			<-wake
			continue
		}
		c, err := inner.Accept()
		if err != nil {
			if l.stillCurrent(inner) {
				return nil, err
			}
			continue
		}
		if admitted := l.admit(c); admitted != nil {
			return admitted, nil
		}
	}
}

func (l *Listener) current() (net.Listener, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, net.ErrClosed
	}
	return l.inner, l.wake, nil
}

func (l *Listener) stillCurrent(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner == inner && !l.closed
}

// admit counts and wraps a connection, or cuts one over the limit.
func (l *Listener) admit(inner net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		l.counts.OverLimit++
		reset(inner)
		return nil
	}
	c := &conn{Conn: inner, listener: l, delay: l.delay}
	l.open[c] = struct{}{}
	l.counts.Accepted++
	l.counts.Peak = max(l.counts.Peak, len(l.open))
	return c
}

// Close implements net.Listener; open connections stay.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	close(l.wake)
	if l.inner != nil {
		return l.inner.Close()
	}
	return l.reserve.close()
}

// Refuse closes the listening socket but keeps the port, so that the system
// refuses connections; accepted connections stay, those not yet accepted are
// reset. It does nothing when connections are refused already.
func (l *Listener) Refuse() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.inner == nil {
		return nil
	}
	err := l.inner.Close()
	l.inner = nil
	if err != nil {
		return fmt.Errorf("refuse connections on %s: %w", l.address, err)
	}
	l.reserve, err = reservePort(l.address)
	if err != nil {
		return fmt.Errorf("refuse connections on %s: %w", l.address, err)
	}
	return nil
}

// Allow ends Refuse.
func (l *Listener) Allow() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.inner != nil {
		return nil
	}
	inner, err := l.reserve.listen()
	if err != nil {
		return fmt.Errorf("allow connections on %s: %w", l.address, err)
	}
	l.inner, l.reserve = inner, nil
	close(l.wake)
	l.wake = make(chan struct{})
	return nil
}

// SetLimit bounds the open connections; those over it are cut at once. Zero
// means no bound. Connections that are open already stay.
func (l *Listener) SetLimit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = n
}

// SetDelay makes each new connection take d until its first byte is read.
func (l *Listener) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// ResetAll resets all open connections.
func (l *Listener) ResetAll() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.cut()
	}
}

// Counts returns the counts as they stand.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts
	out.Open = len(l.open)
	return out
}

func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	delay    time.Duration
	started  sync.Once
	ended    sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.started.Do(func() {
		if c.delay > 0 {
			time.Sleep(c.delay)
		}
	})
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.ended.Do(func() { c.listener.forget(c) })
	return c.Conn.Close()
}

func (c *conn) cut() {
	c.ended.Do(func() { c.listener.forget(c) })
	reset(c.Conn)
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // else the other end sees a plain end: as broken
	}
	_ = c.Close()
}

// ErrNotTCP: the address to reserve is not TCP.
var ErrNotTCP = errors.New("not a TCP address")
