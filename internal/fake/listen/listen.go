// Package listen provides listeners with injectable faults for tests: refused connections
// on a port that stays reserved, a limit on open connections, a delayed first read, and
// reset connections.
package listen

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Counts count connections since the listener was created.
type Counts struct {
	// Open is the number of open connections, Peak its maximum.
	Open int `json:"open"`
	Peak int `json:"peak"`
	// Accepted counts connections that Accept returned.
	Accepted uint64 `json:"accepted"`
	// OverLimit counts connections that were reset at once because of the limit.
	OverLimit uint64 `json:"over_limit"`
}

// Listener is a TCP listener with injectable faults. It implements net.Listener; its
// methods are safe for concurrent use.
type Listener struct {
	address net.Addr

	mu      sync.Mutex
	inner   net.Listener     // nil while connections are refused
	reserve *portReservation // holds the port while connections are refused
	wake    chan struct{}
	closed  bool
	limit   int
	delay   time.Duration
	open    map[*conn]struct{}
	counts  Counts
}

var _ net.Listener = (*Listener)(nil)

// TCP listens on address, an "ip:port"; port 0 selects a free one.
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

// Addr implements net.Listener; the address stays the same while connections are refused.
func (l *Listener) Addr() net.Addr { return l.address }

// Accept implements net.Listener. It blocks while connections are refused.
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
			if l.isCurrent(inner) {
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

func (l *Listener) isCurrent(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner == inner && !l.closed
}

// admit wraps and counts a connection, or resets it and returns nil if it is over the
// limit.
func (l *Listener) admit(inner net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		l.counts.OverLimit++
		resetConn(inner)
		return nil
	}
	c := &conn{Conn: inner, listener: l, delay: l.delay}
	l.open[c] = struct{}{}
	l.counts.Accepted++
	l.counts.Peak = max(l.counts.Peak, len(l.open))
	return c
}

// Close implements net.Listener; open connections stay open.
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

// Refuse closes the listening socket but keeps the port reserved, so that the operating
// system refuses connections. Accepted connections stay open, those not yet accepted are
// reset. It does nothing if connections are already refused.
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

// Allow listens again after Refuse.
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

// SetLimit bounds the number of open connections; new ones over it are reset. Zero means
// no limit. Connections that are already open stay open.
func (l *Listener) SetLimit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = n
}

// SetDelay delays the first read of each new connection by d.
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
		c.reset()
	}
}

// Counts returns a snapshot of the counts.
func (l *Listener) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts
	out.Open = len(l.open)
	return out
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener  *Listener
	delay     time.Duration
	firstRead sync.Once
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.firstRead.Do(func() {
		if c.delay > 0 {
			time.Sleep(c.delay)
		}
	})
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.listener.remove(c) })
	return c.Conn.Close()
}

func (c *conn) reset() {
	c.closeOnce.Do(func() { c.listener.remove(c) })
	resetConn(c.Conn)
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // otherwise the peer would see an orderly close
	}
	_ = c.Close()
}

// ErrNotTCP reports that the address to reserve is not a TCP address.
var ErrNotTCP = errors.New("not a TCP address")
