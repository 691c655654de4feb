package upstream

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errFenced is the error of a write on a fenced connection: its request was proved not
// run, the send deadline passed before its first byte, or the connection was retired.
var errFenced = errors.New("connection is fenced: its request was proved not run")

// countingConn counts the bytes sent, to prove after an error that no byte of the request
// was sent. Fencing it makes later writes fail, so that the proof stays true. Its Read returns
// io.EOF only if the other side has ended its stream.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	writing bool
	fenced  bool
	// writtenBefore is the number of bytes written before the present request,
	// sendDeadline the time after which its first byte must not be sent; zero for none.
	writtenBefore int64
	sendDeadline  time.Time
	// retired: the connection takes no further request.
	retired bool

	// writeErr is the error of the first write that the connection did not take.
	writeErr error
	// writeTurn is held during a write. It is locked before mu.
	writeTurn sync.Mutex
	// turn is held by the request that uses the connection, until the head of its response
	// has been judged: net/http gives the connection of a response without a body to the
	// next request before it returns that response.
	turn sync.Mutex
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writeTurn.Lock()
	defer c.writeTurn.Unlock()
	if !c.beginWrite() {
		return 0, errFenced
	}
	n, err := c.Conn.Write(p)
	c.endWrite(n, err)
	return n, err
}

func (c *countingConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sendDeadline.IsZero() && c.written == c.writtenBefore && time.Now().After(c.sendDeadline) {
		c.fenced = true
	}
	if c.fenced {
		return false
	}
	c.writing = true
	return true
}

func (c *countingConn) endWrite(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += int64(n)
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// startRequest records that a request starts on this connection, and the deadline for its
// first byte, zero for none. It returns the number of bytes sent so far, and whether the
// connection is retired: nothing of the request will be sent on it then.
func (c *countingConn) startRequest(sendDeadline time.Time) (written int64, retired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writtenBefore, c.sendDeadline = c.written, sendDeadline
	c.fenced = c.fenced || c.retired
	return c.written, c.retired
}

// retire closes the connection. A request that gets it nevertheless is not sent.
func (c *countingConn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	// The connection is abandoned, so the error of closing it is of no use.
	_ = c.Close()
}

// fenceIfUnused reports whether nothing was sent since before, and if so makes all later
// writes fail: the transport's own goroutine may still be about to write.
func (c *countingConn) fenceIfUnused(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || c.written != before {
		return false
	}
	c.fenced = true
	return true
}
