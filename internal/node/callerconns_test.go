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

// silent discards log lines.
var silent = zerolog.Nop()

// fixedTimeouts returns timeouts that do not change.
func fixedTimeouts(b bundle.Callers) *callerTimeouts {
	return &callerTimeouts{current: func() bundle.Callers { return b }, log: &silent}
}

// timeoutServer listens on a port, applies the given timeouts and responds 200 to every
// request.
func timeoutServer(t *testing.T, b bundle.Callers, handle http.HandlerFunc) *httptest.Server {
	t.Helper()
	timeouts := fixedTimeouts(b)
	s := httptest.NewUnstartedServer(handle)
	s.Config.ConnState = timeouts.state
	s.Listener = callerListener{s.Listener, timeouts}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// ignore handles a request without a response body.
func ignore(http.ResponseWriter, *http.Request) {}

// expectClosed waits until the other side closes conn.
func expectClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the connection was not closed: %v", err)
	}
}

func TestConnectionsCloseAfterTimeouts(t *testing.T) {
	long := int64(time.Hour / time.Millisecond)
	for name, tt := range map[string]struct {
		limits bundle.Callers
		send   string
	}{
		"idle after a response": {bundle.Callers{IdleTimeoutMs: 100, HeaderTimeoutMs: long}, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
		"slow header":           {bundle.Callers{IdleTimeoutMs: long, HeaderTimeoutMs: 100}, "GET / HTTP/1.1\r\nHost:"},
		"silent from the start": {bundle.Callers{IdleTimeoutMs: long, HeaderTimeoutMs: 100}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := timeoutServer(t, tt.limits, ignore)
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, tt.send); err != nil {
				t.Fatal(err)
			}
			expectClosed(t, conn)
		})
	}
}

func TestRequestInFlightOutlastsHeaderTimeout(t *testing.T) {
	s := timeoutServer(t, bundle.Callers{IdleTimeoutMs: 10_000, HeaderTimeoutMs: 100}, func(w http.ResponseWriter, r *http.Request) {
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
