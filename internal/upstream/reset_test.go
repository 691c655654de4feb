package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"gypsumstand/internal/upstream"
)

// order is which of a connection's goroutines is the first to get its failure.
type order uint8

const (
	// anyOrder leaves the order to the kernel and the scheduler.
	anyOrder order = iota
	// writeFirst means that the response is read on only after a write has failed.
	writeFirst
	// writeReturnsLate is writeFirst with a write that returns only after the read.
	writeReturnsLate
)

// orderedConn forces an order on the first read after the head of a response.
type orderedConn struct {
	*net.TCPConn
	order  order
	reads  int
	failed chan struct{}
	once   sync.Once
}

func (c *orderedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
		if c.order == writeReturnsLate {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return n, err
}

func (c *orderedConn) Read(p []byte) (int, error) {
	c.reads++
	if c.reads > 1 && c.order != anyOrder {
		<-c.failed
	}
	return c.TCPConn.Read(p)
}

// uploadBytes is more than the sockets' buffers hold.
const uploadBytes = 16 << 20

// closeDelimitedHead announces a body that ends with its connection.
const closeDelimitedHead = "HTTP/1.1 200 OK\r\n\r\n"

// readUploadResponse uploads to a server whose connections are passed to serve, and returns the
// response's body, or an error if it is not complete.
func readUploadResponse(t *testing.T, o order, serve func(conn *net.TCPConn, request *bufio.Reader)) (string, error) {
	t.Helper()
	address := serveConns(t, func(conn net.Conn) {
		defer conn.Close()
		request := bufio.NewReader(conn)
		if _, err := http.ReadRequest(request); err != nil {
			return
		}
		serve(conn.(*net.TCPConn), request)
	})
	transport := upstream.NewTransport(upstream.Options{MaxConns: 1, Dial: func(context.Context, string, string) (net.Conn, error) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return nil, err
		}
		return &orderedConn{TCPConn: conn.(*net.TCPConn), order: o, failed: make(chan struct{})}, nil
	}})
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(&http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: "/"}, Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(make([]byte, uploadBytes))), ContentLength: uploadBytes,
	})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// afterHead is long enough for the client to read what was sent before.
const afterHead = 20 * time.Millisecond

// The kernel reports a reset to one call only. When that was a write of the upload, the response
// ended as a complete one does.
func TestResetDuringUploadTruncatesResponse(t *testing.T) {
	for name, o := range map[string]order{"any order": anyOrder, "write fails first": writeFirst, "write returns late": writeReturnsLate} {
		for _, part := range []int{0, 3000, 200_000} {
			body, err := readUploadResponse(t, o, func(conn *net.TCPConn, _ *bufio.Reader) {
				_, _ = io.WriteString(conn, closeDelimitedHead+strings.Repeat("p", part))
				time.Sleep(afterHead)
				_ = conn.SetLinger(0)
			})
			if err == nil {
				t.Errorf("%s: %d bytes of a reset response count as complete", name, len(body))
			}
		}
	}
}

// A server may respond before it has read the request. What it sent before it ended the stream is
// complete, whatever becomes of the upload.
func TestEarlyResponseIsComplete(t *testing.T) {
	const whole = "whole"
	drain := func(request *bufio.Reader) { _, _ = io.CopyN(io.Discard, request, uploadBytes) }
	for _, tt := range []struct {
		name  string
		order order
		serve func(conn *net.TCPConn, request *bufio.Reader)
	}{
		{"length, reads on", anyOrder, func(conn *net.TCPConn, request *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"+whole)
			drain(request)
		}},
		{"half closed, reads on", anyOrder, func(conn *net.TCPConn, request *bufio.Reader) {
			_, _ = io.WriteString(conn, closeDelimitedHead+whole)
			_ = conn.CloseWrite()
			drain(request)
		}},
		{"half closed, reads nothing for a while", anyOrder, func(conn *net.TCPConn, request *bufio.Reader) {
			_, _ = io.WriteString(conn, closeDelimitedHead+whole)
			_ = conn.CloseWrite()
			time.Sleep(5 * afterHead)
			drain(request)
		}},
		{"reads all, then closes", anyOrder, func(conn *net.TCPConn, request *bufio.Reader) {
			_, _ = io.WriteString(conn, closeDelimitedHead+whole)
			drain(request)
		}},
		{"half closed, then refuses the rest", writeReturnsLate, func(conn *net.TCPConn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, closeDelimitedHead)
			time.Sleep(afterHead)
			_, _ = io.WriteString(conn, whole)
			_ = conn.CloseWrite()
		}},
	} {
		if body, err := readUploadResponse(t, tt.order, tt.serve); err != nil || body != whole {
			t.Errorf("%s: body %q, error %v", tt.name, body, err)
		}
	}
}
