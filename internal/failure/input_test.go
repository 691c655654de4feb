package failure

import (
	"bufio"
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"gypsumstand/internal/link"
	"gypsumstand/internal/local"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// readResponse reads one response; the test fails when none arrives.
func readResponse(t *testing.T, conn net.Conn) result {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{
		err:     err,
		status:  resp.StatusCode,
		outcome: resp.Header.Get(wire.HeaderOutcome),
		reason:  resp.Header.Get(wire.HeaderReason),
		body:    body,
	}
}

// startedRuns returns the number of runs that all stand-in workers have started.
func startedRuns(f *local.Fleet) uint64 {
	var n uint64
	for _, m := range standIns(f) {
		n += m.Worker.Counters().Started
	}
	return n
}

func TestMalformedRequestsAreRefused(t *testing.T) {
	f := sharedFleet(t)
	head := func(lines ...string) string {
		return "GET /a HTTP/1.1\r\nHost: x\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
	}
	cases := []struct {
		name, text string
		status     int
	}{
		{"junk", "junk\r\n\r\n", 400},
		{"a TLS greeting", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400},
		{"an unknown version", "GET /a HTTP/9.9\r\nHost: x\r\n\r\n", 505},
		{"HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 404},
		{"no host", "GET /a HTTP/1.1\r\n\r\n", 400},
		{"two hosts", head("Host: y"), 400},
		{"a bad method", "G(ET /a HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		{"a bad escape", "GET /%zz HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		{"CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", 404},
		{"an opaque target", "GET http:a HTTP/1.1\r\nHost: x\r\n\r\n", 404},
		{"a target without a path", "GET * HTTP/1.1\r\nHost: x\r\n\r\n", 404},
		{"a header without a name", head(": v"), 400},
		{"a header over the limit", head("X-Big: " + strings.Repeat("x", 1<<20)), 431},
		{"many headers over the limit", head(strings.Repeat("X-Many: 1\r\n", 10_000) + "X: 1"), 431},
		{"a long target", "GET /" + strings.Repeat("a", 1<<20) + " HTTP/1.1\r\nHost: x\r\n\r\n", 431},
		{"two lengths", head("Content-Length: 1", "Content-Length: 2"), 400},
		{"a negative length", head("Content-Length: -1"), 400},
		{"a length and chunks", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", 400},
		{"an unknown coding", head("Transfer-Encoding: gzip"), 501},
		{"a bad chunk", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		{"a body over the limit", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n", 413},
		{"an unknown expectation", head("Expect: miracles"), 417},
		{"two ids", head("Idempotency-Key: a", "Idempotency-Key: b"), 400},
		{"an id over the limit", head("Idempotency-Key: " + strings.Repeat("x", 300)), 400},
		{"an id that is no text", head("Idempotency-Key: \xff\xfe"), 400},
		{"an empty id", head("Idempotency-Key: "), 400},
		{"a bad timeout", head("Gypsum-Timeout-Ms: -1"), 400},
		{"a timeout out of range", head("Gypsum-Timeout-Ms: 99999999999999999999"), 400},
		{"a bad retry budget", head("Gypsum-Retry-Budget: many"), 400},
		{"a bad claim of idempotence", head("Gypsum-Idempotent: maybe"), 400},
		{"a tenant over the limit", head("Gypsum-Tenant: " + strings.Repeat("x", 200)), 400},
	}
	started := startedRuns(f)
	t.Cleanup(func() {
		if now := startedRuns(f); now != started {
			t.Errorf("%d malformed requests ran", now-started)
		}
	})
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := readResponse(t, connect(t, membersOf(f, "ledger")[0].Node.CallerAddress(), tt.text))
			if got.status != tt.status {
				t.Errorf("got %d %s %s, want status %d", got.status, got.outcome, got.reason, tt.status)
			}
			if got.outcome != notRun && got.outcome != "" {
				t.Errorf("outcome %q, want not-run or none", got.outcome)
			}
		})
	}
}

func TestLargestHeaderReachesEveryOwner(t *testing.T) {
	f := sharedFleet(t)
	// net/http adds 4096 bytes to the limit of 32768.
	big := strings.Repeat("x", 36_750)
	for _, path := range []string{"/a", "/strict/a"} {
		for _, m := range f.Members() {
			conn := connect(t, m.Node.CallerAddress(), "GET "+path+" HTTP/1.1\r\nHost: x\r\nX-Big: "+big+"\r\n\r\n")
			if got := readResponse(t, conn); got.outcome != answered {
				t.Errorf("%s at %s: got %d %s %s, want answered", path, m.ID, got.status, got.outcome, got.reason)
			}
		}
	}
}

func TestMalformedAttemptsAreRefused(t *testing.T) {
	f := sharedFleet(t)
	owner := membersOf(f, "ledger")[0]
	incarnation := owner.Node.Core().Board.Self.Get().Instance.Incarnation
	good := model.Attempt{
		ID:      model.AttemptID{Entry: "stranger", Incarnation: 1, Sequence: 1},
		Request: "x", Service: "ledger", Class: "view", Owner: owner.ID, OwnerIncarnation: incarnation,
		Idempotent: true, Remaining: time.Second,
	}
	with := func(change func(*model.Attempt)) string {
		a := good
		change(&a)
		text, err := wire.EncodeOffer(&a)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	cases := []struct {
		name, offer string
		status      int
	}{
		{"none", "", 400},
		{"no base64", "%%%", 400},
		{"no CBOR", base64.RawURLEncoding.EncodeToString([]byte("junk")), 400},
		{"over the limit", strings.Repeat("A", wire.MaxOfferBytes+4), 400},
		{"nested", base64.RawURLEncoding.EncodeToString([]byte(strings.Repeat("\x81", 1000))), 400},
		{"no id", with(func(a *model.Attempt) { a.ID = model.AttemptID{} }), 400},
		{"negative time", with(func(a *model.Attempt) { a.Remaining = -1 }), 400},
		{"negative clock", with(func(a *model.Attempt) { a.OwnerClock = -1 }), 400},
		{"another owner", with(func(a *model.Attempt) { a.Owner = "other" }), 503},
		{"another incarnation", with(func(a *model.Attempt) { a.OwnerIncarnation++ }), 503},
		{"a clock far ahead", with(func(a *model.Attempt) { a.OwnerClock = 1 << 62 }), 502},
		{"no time left", with(func(a *model.Attempt) { a.Remaining = 0 }), 503},
		{"an entry's name that no header takes", with(func(a *model.Attempt) { a.ID.Entry = "a\r\nX: b" }), 400},
		{"a class that no header takes", with(func(a *model.Attempt) { a.ID.Sequence, a.Class = 3, "a\nb" }), 400},
		{"a tenant that no header takes", with(func(a *model.Attempt) { a.ID.Sequence, a.Tenant = 4, "\x00" }), 400},
		{"a request id that no header takes", with(func(a *model.Attempt) { a.ID.Sequence, a.Request = 5, "a\nb" }), 400},
	}
	started := startedRuns(f)
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			for range 3 {
				text := "POST /v1/attempt/a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n" + wire.HeaderOffer + ": " + tt.offer + "\r\n\r\n"
				got := readResponse(t, connect(t, owner.Node.PeerAddress(), text))
				if got.status != tt.status {
					t.Errorf("status %d, want %d", got.status, tt.status)
				}
			}
		})
	}
	if now := startedRuns(f); now != started {
		t.Errorf("%d malformed attempts ran", now-started)
	}
	if got := stateAt(owner, owner.ID); got != model.StateLive {
		t.Errorf("worker is %s after malformed attempts, want live", got)
	}
	awaitAnswer(t, newCallers(t), owner.Node.CallerAddress(), "/a")
}

func TestMalformedLinkMessagesDoNotStopServing(t *testing.T) {
	f := sharedFleet(t)
	owner := membersOf(f, "ledger")[0]
	hello, err := wire.Encode(wire.Hello{Instance: model.Instance{ID: "stranger"}, Transient: true})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name     string
		messages [][]byte
	}{
		{"no hello", [][]byte{[]byte("junk")}},
		{"a hello without an instance", [][]byte{mustEncode(t, wire.Hello{})}},
		{"another message first", [][]byte{mustEncode(t, wire.Resolve{})}},
		{"junk after the hello", [][]byte{hello, []byte("junk"), nil, []byte(strings.Repeat("\x81", 1000))}},
		{"an unknown kind", [][]byte{hello, {0xa3, 1, 1, 2, 0x19, 0x7f, 0xff, 3, 0xa0}}},
		{"an unknown version", [][]byte{hello, {0xa3, 1, 0x18, 99, 2, 10, 3, 0xa0}}},
		{"a message over the limit", [][]byte{hello, make([]byte, wire.MaxMessageBytes+1)}},
		{"a resolution of nothing", [][]byte{hello, mustEncode(t, wire.Resolve{}), mustEncode(t, wire.ResolveReply{}), mustEncode(t, wire.KeyResult{})}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
			defer cancel()
			ws, _, err := websocket.Dial(ctx, "ws://"+owner.Node.PeerAddress()+link.Path, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer ws.CloseNow()
			for _, m := range tt.messages {
				// The node may already have closed the link.
				_ = ws.Write(ctx, websocket.MessageBinary, m)
			}
			awaitAnswer(t, newCallers(t), owner.Node.CallerAddress(), "/a")
		})
	}
	for _, m := range f.Members() {
		if liveAt(m) != len(f.Members()) {
			t.Errorf("%s knows %d live instances, want %d", m.ID, liveAt(m), len(f.Members()))
		}
	}
}

func mustEncode(t *testing.T, m wire.Message) []byte {
	t.Helper()
	data, err := wire.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestMalformedOperatorRequestsAreRefused(t *testing.T) {
	f := sharedFleet(t)
	m := membersOf(f, "ledger")[0]
	cases := []struct {
		text   string
		status int
	}{
		{"junk\r\n\r\n", 400},
		{"GET /none HTTP/1.1\r\nHost: x\r\n\r\n", 404},
		{"POST /status HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405},
		{"GET /explain?method=%00&path=%ff&class=none HTTP/1.1\r\nHost: x\r\n\r\n", 200},
		{"GET /explain?path=/a&class=none HTTP/1.1\r\nHost: x\r\n\r\n", 200},
		{"GET /metrics HTTP/1.1\r\nHost: x\r\nX-Big: " + strings.Repeat("x", 1<<20) + "\r\n\r\n", 431},
	}
	for _, tt := range cases {
		got := readResponse(t, connect(t, m.Node.OperatorAddress(), tt.text))
		if got.status != tt.status {
			t.Errorf("%.60q: status %d, want %d", tt.text, got.status, tt.status)
		}
	}
	if got := operatorStatus(m, "/healthz"); got != http.StatusOK {
		t.Errorf("/healthz: status %d, want 200", got)
	}
}
