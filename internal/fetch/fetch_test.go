package fetch

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gypsumstand/internal/upstream"
)

var errRefused = errors.New("refused")

func statusError(status int, _ http.Header) error { return fmt.Errorf("%w: %d", errRefused, status) }

func TestErrorResponseKeepsConnection(t *testing.T) {
	var connections atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, strings.Repeat("busy ", 200), http.StatusServiceUnavailable)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	for range 3 {
		if _, err := Get(t.Context(), s.Client(), s.URL, 100, statusError); !errors.Is(err, errRefused) {
			t.Errorf("got %v, want %v", err, errRefused)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections for 3 calls, want 1", n)
	}
}

func TestResponseSizeLimit(t *testing.T) {
	const limit = 100
	for _, declared := range []bool{true, false} {
		for _, size := range []int{0, limit, limit + 1} {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !declared {
					w.(http.Flusher).Flush()
				}
				fmt.Fprint(w, strings.Repeat("a", size))
			}))
			resp, err := Get(t.Context(), s.Client(), s.URL, limit, statusError)
			s.Close()
			if size > limit && !errors.Is(err, ErrTooLarge) || size <= limit && (err != nil || len(resp.Body) != size) {
				t.Errorf("%d bytes, declared %v: got %d bytes, %v", size, declared, len(resp.Body), err)
			}
		}
	}
}

// A field whose name holds a blank is another than the sender meant, and so may be the body.
func TestMalformedHeadIsAnError(t *testing.T) {
	for _, status := range []string{"200 OK", "410 Gone"} {
		for _, line := range []string{"X Bad: v", "X-Bad : v", "Content-Length : 2"} {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s\r\n\r\n{}", status, line)
			}))
			_, err := Get(t.Context(), s.Client(), s.URL, 100, statusError)
			s.Close()
			if !errors.Is(err, upstream.ErrInvalidFieldName) {
				t.Errorf("%q with %s: error %v", line, status, err)
			}
		}
	}
}
