package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
)

// silent takes no lines.
var silent = zerolog.Nop()

// boundsOf returns bounds that stay in force.
func boundsOf(b bundle.Callers) *callerBounds {
	return &callerBounds{inForce: func() bundle.Callers { return b }, log: &silent}
}

// boundServer serves 200 to everybody under the given bounds, on a port.
func boundServer(t *testing.T, b bundle.Callers, handle http.HandlerFunc) *httptest.Server {
	t.Helper()
	bounds := boundsOf(b)
	s := httptest.NewUnstartedServer(handle)
	s.Config.ConnState = bounds.state
	s.Listener = callerListener{s.Listener, bounds}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// ignore takes a request without a word.
func ignore(http.ResponseWriter, *http.Request) {}

// closedBy waits until the other side closes conn.
func closedBy(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the connection was not closed: %v", err)
	}
}

func TestConnectionsEndByTheBoundsInForce(t *testing.T) {
	long := int64(time.Hour / time.Millisecond)
	for name, tt := range map[string]struct {
		bounds bundle.Callers
		send   string
	}{
		"idle after an answer":  {bundle.Callers{IdleTimeoutMs: 100, HeaderTimeoutMs: long}, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
		"slow with a header":    {bundle.Callers{IdleTimeoutMs: long, HeaderTimeoutMs: 100}, "GET / HTTP/1.1\r\nHost:"},
		"silent from the start": {bundle.Callers{IdleTimeoutMs: long, HeaderTimeoutMs: 100}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := boundServer(t, tt.bounds, ignore)
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, tt.send); err != nil {
				t.Fatal(err)
			}
			closedBy(t, conn)
		})
	}
}

func TestARequestUnderWayIsNotBoundByItsHeadersTime(t *testing.T) {
	s := boundServer(t, bundle.Callers{IdleTimeoutMs: 10_000, HeaderTimeoutMs: 100}, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	})
	resp, err := http.Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
		t.Errorf("got %q, %v", body, err)
	}
}
