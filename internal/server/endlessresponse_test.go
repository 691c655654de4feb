package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumstand/internal/bundle"
)

// testResponseLimit is the limit of a response body, in bytes.
const testResponseLimit = 1 << 20

// maxBeyondLimit is how much more a worker may send until it notices that its connection was
// closed, in bytes: what both sockets' buffers hold.
const maxBeyondLimit = 16 << 20

// endlessWorker is a worker that responds to each request with the start of a response and then
// sends more without end, until its connection is closed.
type endlessWorker struct {
	start, more string
	// sent receives the length of a response when its connection has been closed.
	sent chan int
}

func newEndlessWorker(t *testing.T, start, more string) (w *endlessWorker, address string) {
	t.Helper()
	w = &endlessWorker{start: start, more: strings.Repeat(more, 1+(16<<10)/len(more)), sent: make(chan int, 1)}
	return w, serveConns(t, w.serve)
}

func (w *endlessWorker) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	sent, err := io.WriteString(conn, strings.ReplaceAll(w.start, "%s", req.Header.Get(headerRequest)))
	for err == nil {
		var n int
		n, err = io.WriteString(conn, w.more)
		sent += n
	}
	w.sent <- sent
}

// A worker that sends bytes without end kept its connection, and passed on hundreds of
// megabytes, until the request's deadline.
func TestResponseWithoutEndIsBrokenOff(t *testing.T) {
	const echo = headerRequest + ": %s\r\n"
	const whole = "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 4\r\n\r\ndone"
	for name, tt := range map[string]struct {
		start, more string
		// answered reports that the response is complete, head that only its head is.
		answered, head bool
	}{
		"bytes that are no response":   {"", "x", false, false},
		"status line":                  {"HTTP/1.1 200 ", "x", false, false},
		"header line":                  {"HTTP/1.1 200 OK\r\nX-Long: ", "x", false, false},
		"header lines":                 {"HTTP/1.1 200 OK\r\n", "X-More: x\r\n", false, false},
		"interim responses":            {"", "HTTP/1.1 103 Early Hints\r\nX-More: x\r\n\r\n", false, false},
		"empty interim responses":      {"", "HTTP/1.1 100 Continue\r\n\r\n", false, false},
		"bytes after a response":       {whole, "x", true, false},
		"responses after a response":   {whole, strings.ReplaceAll(whole, "%s", "payout-1"), true, false},
		"body of an empty response":    {"HTTP/1.1 204 No Content\r\n" + echo + "\r\n", "x", true, false},
		"chunks":                       {"HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n", "4\r\ndone\r\n", false, true},
		"chunk":                        {"HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n", "x", false, true},
		"chunk length":                 {"HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n", "0", false, true},
		"chunk extension":              {"HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n4;", "x", false, true},
		"trailer":                      {"HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n", false, true},
		"body that ends with the link": {"HTTP/1.1 200 OK\r\n" + echo + "Connection: close\r\n\r\n", "x", false, true},
		"body over the limit":          {"HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 9223372036854775807\r\n\r\n", "x", false, false},
		"body of a rejection":          {"HTTP/1.1 503 Busy\r\n" + echo + "Gypsum-Not-Run: true\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\ndone\r\n", false, false},
		"body of another's response":   {"HTTP/1.1 200 OK\r\n" + headerRequest + ": x\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\ndone\r\n", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, address := newEndlessWorker(t, tt.start, tt.more)
			o, x := withSlots(1, address)
			x.dialect = acceptingEcho{}
			x.Configure(&bundle.Service{Name: "ledger", Slots: 1, Connections: 4, ResponseLimitBytes: testResponseLimit}, "n0")
			r := x.Do(t.Context(), requestMessage(1, "payout-1"))
			if passed := r.Response != nil; passed != (tt.answered || tt.head) {
				t.Errorf("response %v, refusal %+v", passed, r.Refusal)
			}
			if r.Response != nil {
				n, err := io.Copy(io.Discard, r.Response.Body)
				r.Response.Body.Close()
				if n > testResponseLimit || (err == nil) != tt.answered {
					t.Errorf("%d bytes passed on, error %v", n, err)
				}
			}
			if sent := w.awaitClose(t); sent > testResponseLimit+maxBeyondLimit {
				t.Errorf("the worker sent %d bytes", sent)
			}
			if n := o.Report(time.Now()).InFlight; n != 0 {
				t.Errorf("%d attempts hold slots", n)
			}
		})
	}
}

// acceptingEcho takes a response that ends with its connection for complete.
type acceptingEcho struct{ requestEcho }

func (acceptingEcho) AcceptsCloseDelimited() bool { return true }

// Another node that sends without end must not hold an attempt beyond its time, nor a message
// beyond the length that its reader takes.
func TestPeerResponseWithoutEndIsBrokenOff(t *testing.T) {
	const attemptEcho = "Gypsum-Attempt: n0/1/1\r\n"
	for name, tt := range map[string]struct{ start, more string }{
		"bytes that are no response": {"", "x"},
		"header line":                {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":               {"HTTP/1.1 200 OK\r\n", "X-More: x\r\n"},
		"interim responses":          {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"refusal":                    {"HTTP/1.1 503 Busy\r\n" + attemptEcho + "Gypsum-Refusal: busy\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\ndone\r\n"},
		"chunks":                     {"HTTP/1.1 200 OK\r\n" + attemptEcho + "Transfer-Encoding: chunked\r\n\r\n", "4\r\ndone\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, address := newEndlessWorker(t, tt.start, tt.more)
			f := NewForwarder(nil, nil, 0)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			r, _, err := f.Do(ctx, address, requestMessage(1, "payout-1"))
			if err == nil && r.Response == nil && name != "refusal" {
				t.Errorf("refused with %+v", r.Refusal)
			}
			if r.Response != nil {
				if _, err := io.Copy(io.Discard, r.Response.Body); err == nil {
					t.Error("the body counts as complete")
				}
				r.Response.Body.Close()
			}
			w.awaitClose(t)
			if data, err := f.Get(t.Context(), address, "/v1/any", testResponseLimit); err == nil && len(data) != testResponseLimit+1 {
				t.Errorf("a message of %d bytes was read", len(data))
			}
			w.awaitClose(t)
		})
	}
}

// awaitClose waits until the connection of a response was closed, and returns its length.
func (w *endlessWorker) awaitClose(t *testing.T) int {
	t.Helper()
	select {
	case sent := <-w.sent:
		return sent
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is still open after 10 s")
	}
	return 0
}
