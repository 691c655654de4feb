// Package delay gives connections the one-way time of a link between data
// centres, for demonstrations and measurements on loopback.
package delay

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// Dialer opens TCP connections on which each direction takes OneWay longer.
type Dialer struct {
	// OneWay returns the added one-way time to an address; zero means none.
	OneWay func(address string) time.Duration
}

// DialContext is net.Dialer's.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	oneWay := d.OneWay(address)
	if oneWay <= 0 {
		return conn, nil
	}
	return newConn(conn, oneWay), nil
}

// queueLength bounds the writes that are under way in one direction.
const queueLength = 256

// readBytes is the size of one read from the connection below.
const readBytes = 32 << 10

// parcel is data under way and when it arrives.
type parcel struct {
	data []byte
	err  error
	at   time.Time
}

// Conn delays both directions of a connection.
type Conn struct {
	net.Conn
	oneWay time.Duration
	out    chan parcel
	in     chan parcel
	done   chan struct{}
	close  sync.Once

	mu       sync.Mutex
	writeErr error

	rest     []byte
	readErr  error
	deadline deadline
}

// deadline wakes a waiting Read when it is set anew.
type deadline struct {
	mu      sync.Mutex
	at      time.Time
	changed chan struct{}
}

func newConn(below net.Conn, oneWay time.Duration) *Conn {
	c := &Conn{
		Conn:   below,
		oneWay: oneWay,
		out:    make(chan parcel, queueLength),
		in:     make(chan parcel, queueLength),
		done:   make(chan struct{}),
	}
	c.deadline.changed = make(chan struct{})
	go c.deliverWrites()
	go c.collectReads()
	return c
}

// Write implements net.Conn: the data leaves after the delay.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	err := c.writeErr
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	data := append([]byte(nil), p...)
	select {
	case c.out <- parcel{data: data, at: time.Now().Add(c.oneWay)}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

func (c *Conn) deliverWrites() {
	for {
		select {
		case <-c.done:
			return
		case p := <-c.out:
			c.sleepUntil(p.at)
			if _, err := c.Conn.Write(p.data); err != nil {
				c.mu.Lock()
				c.writeErr = err
				c.mu.Unlock()
			}
		}
	}
}

func (c *Conn) sleepUntil(at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.done:
	}
}

func (c *Conn) collectReads() {
	for {
		buf := make([]byte, readBytes)
		n, err := c.Conn.Read(buf)
		select {
		case c.in <- parcel{data: buf[:n], err: err, at: time.Now().Add(c.oneWay)}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// next waits for one parcel, a new deadline or the close.
func (c *Conn) next() error {
	for {
		at, changed := c.deadline.get()
		var expired <-chan time.Time
		if !at.IsZero() {
			timer := time.NewTimer(time.Until(at))
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case p := <-c.in:
			c.sleepUntil(p.at)
			c.rest, c.readErr = p.data, p.err
			return nil
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-changed:
		case <-c.done:
			return net.ErrClosed
		}
	}
}

func (d *deadline) get() (time.Time, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at, d.changed
}

func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadline.set(t)
	return nil
}

// SetDeadline implements net.Conn; writes never wait longer than the delay.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Close implements net.Conn. What is still under way is lost, as on a link that
// is cut.
func (c *Conn) Close() error {
	c.close.Do(func() { close(c.done) })
	return c.Conn.Close()
}
