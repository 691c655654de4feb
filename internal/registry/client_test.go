package registry

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gypsumstand/internal/fake/listen"
	"gypsumstand/internal/fetch"
	"gypsumstand/internal/model"
)

// newTestClient returns a client of a server with that handler, and a counter of the requests
// that reached the server.
func newTestClient(t *testing.T, handler http.HandlerFunc) (*Client, *atomic.Int64) {
	t.Helper()
	calls := new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	client, err := NewClient(ClientConfig{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client, calls
}

func TestErrorStatusIsTypedAndNotRetried(t *testing.T) {
	tests := []struct {
		status int
		want   error
	}{
		{http.StatusTooManyRequests, ErrRateLimited},
		{http.StatusNotFound, ErrNotFound},
		{http.StatusServiceUnavailable, ErrStatus},
		{http.StatusNoContent, ErrStatus},
		{http.StatusFound, ErrStatus},
	}
	for _, test := range tests {
		client, calls := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(test.status)
		})
		if _, err := client.Value(context.Background(), "a"); !errors.Is(err, test.want) {
			t.Errorf("status %d: %v, want %v", test.status, err, test.want)
		}
		if n := calls.Load(); n != 1 {
			t.Errorf("status %d: %d calls, want 1", test.status, n)
		}
	}
}

func TestOversizedResponseIsRejected(t *testing.T) {
	for _, declared := range []bool{true, false} {
		client, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			if !declared {
				w.(http.Flusher).Flush()
			}
			_, _ = w.Write(make([]byte, MaxValueBytes+1))
		})
		if _, err := client.Value(context.Background(), "a"); !errors.Is(err, fetch.ErrTooLarge) {
			t.Errorf("declared size %v: %v, want ErrTooLarge", declared, err)
		}
	}
	client, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, MaxValueBytes))
	})
	if data, err := client.Value(context.Background(), "a"); err != nil || len(data) != MaxValueBytes {
		t.Errorf("at the limit: %d bytes, %v", len(data), err)
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	client, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	})
	if data, err := client.Value(context.Background(), "a"); err == nil {
		t.Errorf("incomplete response was accepted: %q", data)
	}
}

func TestClientUsesNoCompressionOrProxy(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:1")
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if got := r.Header.Get("Accept-Encoding"); got != "" {
			t.Errorf("Accept-Encoding %q", got)
		}
		_, _ = w.Write([]byte("x"))
	})
	if _, err := client.Value(context.Background(), "a"); err != nil {
		t.Error(err)
	}
	if client.http.Transport.(*http.Transport).Proxy != nil {
		t.Error("a proxy function is set")
	}
}

func TestFailedCallSelectsNextAddress(t *testing.T) {
	down := httptest.NewServer(http.NotFoundHandler())
	downAddress := strings.TrimPrefix(down.URL, "http://")
	down.Close()
	client, calls := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"revision":1,"versions":[]}`))
	})
	client.addresses = append([]string{downAddress}, client.addresses...)
	if _, err := client.Index(context.Background()); err == nil {
		t.Fatal("a call to the closed address succeeded")
	}
	for range 2 {
		if _, err := client.Index(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("%d calls, want 2", n)
	}
}

func TestHangingCallTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipe := listen.NewPipe()
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })}
		go func() { _ = server.Serve(pipe) }()
		client, err := NewClient(ClientConfig{Addresses: []string{"127.0.0.1:1"}, Dial: pipe.Dial})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Index(context.Background()); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%v, want deadline exceeded", err)
		}
		client.Close()
		_ = server.Close()
	})
}

func TestNewClientReportsEveryBadAddress(t *testing.T) {
	_, err := NewClient(ClientConfig{Addresses: []string{"127.0.0.1:80", "localhost:80", "10.0.0.1"}})
	checkFindings(t, err, []string{"addresses[1]", "addresses[2]"})
	_, err = NewClient(ClientConfig{})
	checkFindings(t, err, []string{"addresses: missing"})
}

func TestValueRejectsUnsafeNames(t *testing.T) {
	client, calls := newTestClient(t, func(http.ResponseWriter, *http.Request) {})
	for _, name := range []model.BundleName{"", ".", "..", "a/b", "a b", "a\n", "\u00e9"} {
		if _, err := client.Value(context.Background(), name); err == nil {
			t.Errorf("name %q passed", name)
		}
	}
	if n := calls.Load(); n != 0 {
		t.Errorf("%d calls were sent", n)
	}
	if _, err := client.Value(context.Background(), "a%2f?b#c"); err != nil {
		t.Errorf("name that needs escaping: %v", err)
	}
}
