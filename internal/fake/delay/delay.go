// Package delay adds the one-way latency of a link between data centres to connections,
// for demonstrations and measurements on loopback.
package delay

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// Dialer opens TCP connections with added latency in both directions.
type Dialer struct {
	// OneWay returns the added one-way latency to an address; zero means none.
	OneWay func(address string) time.Duration
}

// DialContext dials like net.Dialer.DialContext and adds the latency.
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

// maxQueuedWrites bounds the packets in flight in one direction.
const maxQueuedWrites = 256

// readBufferBytes is the size of one read from the underlying connection.
const readBufferBytes = 32 << 10

// packet is data in flight and its time of arrival.
type packet struct {
	data []byte
	err  error
	at   time.Time
}

// Conn delays both directions of the underlying connection.
type Conn struct {
	net.Conn
	oneWay   time.Duration
	outgoing chan packet
	incoming chan packet
	done     chan struct{}
	close    sync.Once

	mu       sync.Mutex
	writeErr error

	unread   []byte
	readErr  error
	deadline deadline
}

// deadline is a read deadline; changing it wakes a waiting Read.
type deadline struct {
	mu      sync.Mutex
	at      time.Time
	changed chan struct{}
}

func newConn(inner net.Conn, oneWay time.Duration) *Conn {
	c := &Conn{
		Conn:     inner,
		oneWay:   oneWay,
		outgoing: make(chan packet, maxQueuedWrites),
		incoming: make(chan packet, maxQueuedWrites),
		done:     make(chan struct{}),
	}
	c.deadline.changed = make(chan struct{})
	go c.deliverWrites()
	go c.collectReads()
	return c
}

// Write implements net.Conn. It returns at once; the data is sent after the delay.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	err := c.writeErr
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	data := append([]byte(nil), p...)
	select {
	case c.outgoing <- packet{data: data, at: time.Now().Add(c.oneWay)}:
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
		case p := <-c.outgoing:
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
		buf := make([]byte, readBufferBytes)
		n, err := c.Conn.Read(buf)
		select {
		case c.incoming <- packet{data: buf[:n], err: err, at: time.Now().Add(c.oneWay)}:
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
	for len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		if err := c.receive(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// receive waits for a packet, the deadline or the close.
func (c *Conn) receive() error {
	for {
		at, changed := c.deadline.get()
		var expired <-chan time.Time
		if !at.IsZero() {
			timer := time.NewTimer(time.Until(at))
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case p := <-c.incoming:
			c.sleepUntil(p.at)
			c.unread, c.readErr = p.data, p.err
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

// SetDeadline implements net.Conn. It sets the read deadline only, since writes are
// queued.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Close implements net.Conn. Data in flight is lost, as on a link that is cut.
func (c *Conn) Close() error {
	c.close.Do(func() { close(c.done) })
	return c.Conn.Close()
}
