package node_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/local"
)

// httpWorker responds according to the path and counts runs by request id.
type httpWorker struct {
	mu   sync.Mutex
	runs map[string]int
	last *http.Request
	// begun, if not nil, is called when the header of the next request has arrived.
	begun func()
}

func (h *httpWorker) setBegun(begun func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begun = begun
}

// begin calls begun once.
func (h *httpWorker) begin() {
	h.mu.Lock()
	begun := h.begun
	h.begun = nil
	h.mu.Unlock()
	if begun != nil {
		begun()
	}
}

const longAnswer = 200 << 10

func (h *httpWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.begin()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h.mu.Lock()
	h.runs[r.Header.Get("Idempotency-Key")]++
	h.last = r
	h.mu.Unlock()
	w.Header().Set("Gypsum-Attempt", r.Header.Get("Gypsum-Attempt"))
	switch r.URL.Path {
	case "/cut":
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "/cut-long":
		_, _ = w.Write(make([]byte, longAnswer))
		panic(http.ErrAbortHandler)
	case "/crossed":
		w.Header().Set("Gypsum-Attempt", "other/1/1")
		_, _ = io.WriteString(w, "another's answer")
	case "/payouts/crossed":
		w.Header().Set("Gypsum-Attempt", "other/1/1")
	case "/error":
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "own error")
	case "/nothing":
		w.WriteHeader(http.StatusNoContent)
	case "/hop":
		w.Header().Set("Connection", "X-Secret")
		w.Header().Set("X-Secret", "hop")
		w.Header().Set("X-Kept", "end")
		w.Header().Set("Gypsum-Outcome", "spoofed")
	case "/length":
		fmt.Fprintf(w, "%d", len(body))
	default:
		_, _ = io.WriteString(w, r.URL.EscapedPath()+"?"+r.URL.RawQuery)
	}
}

func (h *httpWorker) count(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

func (h *httpWorker) lastHeader(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last.Header.Get(name)
}

// reply is a response as the caller receives it.
type reply struct {
	Status          int
	Outcome, Reason string
	Body            string
}

func do(t *testing.T, f *local.Fleet, method, path, body string, header http.Header) (reply, http.Header, error) {
	t.Helper()
	return doAt(t, f.CallerAddresses()[0], method, path, body, header)
}

func doAt(t *testing.T, address, method, path, body string, header http.Header) (reply, http.Header, error) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header.Get("Gypsum-Outcome"), resp.Header.Get("Gypsum-Reason"), string(got)}, resp.Header, err
}

func TestHTTPBetweenCallerAndWorker(t *testing.T) {
	worker := &httpWorker{runs: map[string]int{}}
	f := newFleet(t, 2, worker)
	cases := []struct {
		name, method, path, body string
		header                   http.Header
		want                     reply
	}{
		{"path and query arrive as sent", http.MethodGet, "/a%2Fb//c/../d?x=1%202", "", nil,
			reply{200, "answered", "", "/a%2Fb//c/../d?x=1%202"}},
		{"a worker's own error passes through", http.MethodGet, "/error", "", nil,
			reply{418, "answered", "", "own error"}},
		{"a response without content", http.MethodGet, "/nothing", "", nil,
			reply{204, "answered", "", ""}},
		{"a truncated response to an idempotent request is never a short 200", http.MethodGet, "/cut", "", nil,
			reply{502, "unknown", "link-broken", ""}},
		{"a response to another request is refused", http.MethodGet, "/crossed", "", nil,
			reply{502, "unknown", "worker-broken", ""}},
		{"a response to another request is refused for a payout", http.MethodPost, "/payouts/crossed", "x", nil,
			reply{502, "unknown", "worker-broken", ""}},
		{"a body over the limit", http.MethodPost, "/length", strings.Repeat("x", 1<<20+1), nil,
			reply{413, "not-run", "body-too-large", ""}},
		{"a streamed body", http.MethodPost, "/length", strings.Repeat("x", 1<<20), nil,
			reply{200, "answered", "", "1048576"}},
		{"a malformed timeout", http.MethodGet, "/", "", http.Header{"Gypsum-Timeout-Ms": {"soon"}},
			reply{400, "not-run", "bad-request", "Gypsum-Timeout-Ms: \"soon\": want a whole number of milliseconds from 1\n"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, _, err := do(t, f, c.method, c.path, c.body, c.header)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("reply (-want +got):\n%s", diff)
			}
		})
	}
	t.Run("a truncated long response is seen as broken", func(t *testing.T) {
		got, _, err := do(t, f, http.MethodGet, "/cut-long", "", nil)
		if err == nil {
			t.Errorf("got %d bytes as a complete response with status %d", len(got.Body), got.Status)
		}
	})
	t.Run("hop-by-hop and own headers do not pass", func(t *testing.T) {
		header := http.Header{"Connection": {"X-Mine"}, "X-Mine": {"hop"}, "X-End": {"end"}, "Gypsum-Class": {"spoofed"}}
		_, got, err := do(t, f, http.MethodGet, "/hop", "", header)
		if err != nil {
			t.Fatal(err)
		}
		seen := []string{got.Get("X-Secret"), got.Get("X-Kept"), got.Get("Gypsum-Outcome"),
			worker.lastHeader("X-Mine"), worker.lastHeader("X-End"), worker.lastHeader("Gypsum-Class")}
		if diff := cmp.Diff([]string{"", "end", "answered", "", "end", "view"}, seen); diff != "" {
			t.Errorf("headers (-want +got):\n%s", diff)
		}
	})
	t.Run("a long chunked body is streamed", func(t *testing.T) { checkChunkedIsStreamed(t, f, worker) })
	t.Run("a chunked body over the limit is not run", func(t *testing.T) { checkChunkedOverLimit(t, f, worker) })
	t.Run("a payout resubmitted with its key is not run again", func(t *testing.T) { checkResubmitted(t, f, worker) })
}

// noLength hides a reader's length, so that the body is sent chunked.
type noLength struct{ io.Reader }

// checkChunkedIsStreamed sends the end of a long body only after the worker has received its
// beginning. It guards against nodes that held such bodies whole and ran out of memory.
func checkChunkedIsStreamed(t *testing.T, f *local.Fleet, worker *httpWorker) {
	const part = 200 << 10
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		begun := make(chan struct{})
		worker.setBegun(func() { close(begun) })
		body, sender := io.Pipe()
		go func() {
			_, _ = sender.Write(make([]byte, part))
			select {
			case <-begun:
				_, _ = sender.Write(make([]byte, part))
				sender.Close()
			case <-time.After(5 * time.Second):
				sender.CloseWithError(errors.New("the worker has received nothing"))
			}
		}()
		req, err := http.NewRequest(method, "http://"+f.CallerAddresses()[0]+"/length", body)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		worker.setBegun(nil)
		if err != nil {
			t.Errorf("%s: %v", method, err)
			continue
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if want := strconv.Itoa(2 * part); err != nil || string(got) != want {
			t.Errorf("%s: status %d, body %q, err %v; want %s", method, resp.StatusCode, got, err, want)
		}
	}
}

func checkChunkedOverLimit(t *testing.T, f *local.Fleet, worker *httpWorker) {
	body := noLength{bytes.NewReader(make([]byte, 1<<20+1))}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.CallerAddresses()[0]+"/length", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "chunked")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge || worker.count("chunked") != 0 {
		t.Errorf("status %d, %d runs", resp.StatusCode, worker.count("chunked"))
	}
}

func checkResubmitted(t *testing.T, f *local.Fleet, worker *httpWorker) {
	header := http.Header{"Idempotency-Key": {"payout-7"}}
	first, _, err := do(t, f, http.MethodPost, "/payouts", "amount=7", header)
	if err != nil || first.Outcome != "answered" {
		t.Fatalf("first: %+v, %v", first, err)
	}
	for _, address := range f.CallerAddresses() {
		second, _, err := doAt(t, address, http.MethodPost, "/payouts", "amount=7", header)
		if err != nil {
			t.Fatal(err)
		}
		if want := (reply{502, "unknown", "duplicate-done", ""}); second != want {
			t.Errorf("second: %+v, want %+v", second, want)
		}
	}
	if got := worker.count("payout-7"); got != 1 {
		t.Errorf("%d runs, want 1", got)
	}
}
