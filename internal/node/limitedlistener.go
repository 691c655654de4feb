package node

import (
	"net"

	"golang.org/x/net/netutil"
)

// limitedListener is a netutil.LimitListener whose connections have a method NetConn, as those of
// crypto/tls have. Accept must not be called concurrently.
type limitedListener struct {
	net.Listener
	below *recordingListener
}

// newLimitedListener returns l with at most connections open ones.
func newLimitedListener(l net.Listener, connections int) *limitedListener {
	below := &recordingListener{Listener: l}
	return &limitedListener{netutil.LimitListener(below, connections), below}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return limitedConn{conn, l.below.last}, nil
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	below net.Conn
}

// NetConn returns the wrapped connection.
func (c limitedConn) NetConn() net.Conn { return c.below }

// recordingListener records the connection that it accepted last.
type recordingListener struct {
	net.Listener
	last net.Conn
}

// Accept implements net.Listener.
func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.last = conn
	}
	return conn, err
}
