package failure

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Paths of rawWorker.
const (
	pathTwice     = "/raw/twice"
	pathTail      = "/raw/tail"
	pathSwitch    = "/raw/switch"
	pathContinue  = "/raw/continue"
	pathNoLength  = "/raw/no-length"
	pathTwoEchoes = "/raw/two-echoes"
	pathNoEcho    = "/raw/no-echo"
	pathJunk      = "/raw/junk"
	pathTwoSizes  = "/raw/two-sizes"
	pathBadChunk  = "/raw/bad-chunk"
	pathBigHeader = "/raw/big-header"
)

// rawWorker writes its response byte by byte to the connection, as the path demands.
func rawWorker(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := model.RequestID(r.Header.Get(wire.HeaderIdempotencyKey))
	rawRuns.add(id)
	own := string(answer.Make(answer.Request{ID: id, Target: r.URL.RequestURI(), BodyHash: answer.Hash(body)}, smallAnswer))
	echo := wire.HeaderAttempt + ": " + r.Header.Get(wire.HeaderAttempt) + "\r\n"
	full := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(own), own)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	serveRaw(conn, r.URL.Path, echo, own, full)
}

// serveRaw writes the response. It closes the connection, unless the path keeps it open.
func serveRaw(conn net.Conn, path, echo, own, full string) {
	defer conn.Close()
	out := full
	switch path {
	case pathTwice:
		out = full + full
	case pathTail:
		out = full + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
	case pathSwitch:
		out = "HTTP/1.1 101 Switching Protocols\r\n" + echo + "Connection: Upgrade\r\nUpgrade: junk\r\n\r\njunk"
	case pathContinue:
		out = strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 2) + full
	case pathNoLength:
		out = "HTTP/1.1 200 OK\r\n" + echo + "Connection: close\r\n\r\n" + own
	case pathTwoEchoes:
		out = strings.Replace(full, echo, echo+wire.HeaderAttempt+": other/1/1\r\n", 1)
	case pathNoEcho:
		out = strings.Replace(full, echo, "", 1)
	case pathJunk:
		out = "junk\r\n\r\n"
	case pathTwoSizes:
		out = strings.Replace(full, "\r\n\r\n", "\r\nContent-Length: 1\r\n\r\n", 1)
	case pathBadChunk:
		out = "HTTP/1.1 200 OK\r\n" + echo + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n"
	case pathBigHeader:
		out = "HTTP/1.1 200 OK\r\n" + echo + "X-Big: " + strings.Repeat("x", 1<<20) + "\r\n\r\n"
	}
	// The node may already have closed the connection.
	_, _ = io.WriteString(conn, out)
	if path == pathSwitch || path == pathTwice {
		// Stay open, as such a worker would, until the node closes the connection.
		_, _ = io.Copy(io.Discard, conn)
	}
}

func TestMalformedWorkerResponsesEndUnknown(t *testing.T) {
	f := sharedFleet(t)
	cases := []struct {
		path string
		want string
	}{
		{pathContinue, answered},
		{pathSwitch, unknown},
		{pathNoLength, unknown},
		{pathTwoEchoes, unknown},
		{pathNoEcho, unknown},
		{pathJunk, unknown},
		{pathTwoSizes, unknown},
		{pathBadChunk, unknown},
		{pathBigHeader, unknown},
		// Bytes after a response may be taken for the response to the next request on the
		// connection; its echo is then wrong or missing, and that request ends as
		// unknown.
		{pathTwice, answered},
		{pathTail, answered},
	}
	entries := []string{membersOf(f, "raw")[0].Node.CallerAddress(), membersOf(f, "ledger")[0].Node.CallerAddress()}
	for _, tt := range cases {
		t.Run(tt.path, func(t *testing.T) {
			c := newCallers(t)
			c.sendAll(t.Context(), entries, 12, 4, func(int) request {
				r := view(tt.path)
				r.method, r.atMostOnce, r.body = http.MethodPost, true, "x"
				return r
			})
			for _, s := range c.submissions() {
				if broken := s.violation(rawRuns.count(s.id)); broken != "" {
					t.Error(broken)
				}
				if s.err != nil || s.outcome == answered && tt.want != answered {
					t.Errorf("got %d %s %s, %v; want %s", s.status, s.outcome, s.reason, s.err, tt.want)
				}
			}
			if c.count(tt.want) == 0 {
				t.Errorf("no caller got outcome %s", tt.want)
			}
		})
	}
	awaitIdle(t, membersOf(f, "raw")[0])
}
