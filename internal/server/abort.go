package server

import (
	"net"
	"net/http"
)

// abortResponse ends the handler of r, whose response was cut off, so that its caller never takes
// the response for complete. net/http then closes the connection without the last chunk. HTTP/1.0
// has no chunks: there the end of the connection would complete a body without a length, so that
// the connection is reset.
func abortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConn(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConn resets the connection of a response.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		// Only a writer without a connection, as in tests.
		return
	}
	if tcp := tcpConnOf(conn); tcp != nil {
		// With a linger time of zero, Close resets the connection. Both fail only on one that has
		// ended already.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// tcpConnOf returns the TCP connection below conn, nil if there is none.
func tcpConnOf(conn net.Conn) *net.TCPConn {
	for {
		switch c := conn.(type) {
		case *net.TCPConn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}
