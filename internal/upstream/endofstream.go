package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrConnectionFailed is returned by a read that met the end of the stream because the
// connection had failed: it was reset, or timed out.
var ErrConnectionFailed = errors.New("connection failed before the other side ended its stream")

// Read implements net.Conn. The kernel reports the failure of a connection to one call only; if
// that is a write, reads return io.EOF, as they do after the other side has ended its stream.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if cause := c.failure(); cause != nil {
		err = fmt.Errorf("%w: %w", ErrConnectionFailed, cause)
	}
	return n, err
}

// failure returns, after a read that returned io.EOF, the error with which the connection failed
// before the other side had ended its stream; nil if it had.
func (c *countingConn) failure() error {
	switch tcpState(c.Conn) {
	case unix.BPF_TCP_CLOSE_WAIT:
		return nil
	case unix.BPF_TCP_CLOSE:
		// Writes return at once in this state, and one of them may have got the error.
		c.writeTurn.Lock()
		defer c.writeTurn.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// A reset that follows the end of the stream is reported as EPIPE (Linux, tcp_reset).
	if errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}

// tcpState returns the kernel's state of a TCP connection, zero if it is not known.
func tcpState(c net.Conn) uint8 {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	var state uint8
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	if err != nil {
		return 0
	}
	return state
}
