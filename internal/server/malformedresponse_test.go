package server

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/upstream"
	"gypsumstand/internal/wire"
)

// respondWith returns the address of a server that answers one request on each connection with
// text, and then closes the connection.
func respondWith(t *testing.T, text string) string {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, text)
	})
}

// A malformed response of another node, which an owner of an earlier version also passes on, must
// count as none.
func TestMalformedPeerResponseIsNotUsed(t *testing.T) {
	const attempt, body = "Gypsum-Attempt: n0/1/1\r\n", "Content-Length: 4\r\n\r\ndone"
	const refusal = "Gypsum-Refusal: busy\r\nGypsum-Not-Run: true\r\n"
	report, err := wire.EncodeReport(&model.LoadReport{Owner: "n1", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	f := NewForwarder(nil, nil, 0)
	for line, sound := range map[string]bool{"X-Good: v\r\n": true, "X Bad: v\r\n": false, "X-Bad : v\r\n": false} {
		r, _, err := f.Do(t.Context(), respondWith(t, "HTTP/1.1 200 OK\r\n"+attempt+line+body), requestMessage(1, "payout-1"))
		if broken := errors.Is(err, ErrConnectionBroken); broken == sound || (r.Response != nil) != sound {
			t.Errorf("%q in a response: %+v, error %v", line, r, err)
		}
		r, _, err = f.Do(t.Context(), respondWith(t, "HTTP/1.1 503 Busy\r\n"+attempt+refusal+line+body), requestMessage(1, "payout-1"))
		if broken := errors.Is(err, ErrConnectionBroken); broken == sound || r.Refusal.NotRun != sound {
			t.Errorf("%q in a refusal: %+v, error %v", line, r, err)
		}
		_, err = f.Get(t.Context(), respondWith(t, "HTTP/1.1 200 OK\r\n"+line+body), "/v1/any", 100)
		if broken := errors.Is(err, upstream.ErrInvalidFieldName); broken == sound {
			t.Errorf("%q in a message: error %v", line, err)
		}
		m := requestMessage(1, "payout-1")
		m.AcknowledgeBy = time.Now().Add(time.Minute)
		reply := f.reserve(t.Context(), respondWith(t, "HTTP/1.1 204 No Content\r\n"+attempt+wire.HeaderReport+": "+report+"\r\n"+line+"\r\n"), m)
		if reply.granted != sound || reply.refusal.NotRun == sound {
			t.Errorf("%q in a reservation: %+v", line, reply)
		}
	}
}

// An owner of an earlier version passes on an invalid status.
func TestInvalidStatusOfPeerIsNotPassedOn(t *testing.T) {
	f := NewForwarder(nil, nil, 0)
	for _, status := range []string{"000", "099", "600", "999"} {
		text := "HTTP/1.1 " + status + " Odd\r\nGypsum-Attempt: n0/1/1\r\nContent-Length: 4\r\n\r\ndone"
		r, _, err := f.Do(t.Context(), respondWith(t, text), requestMessage(1, "payout-1"))
		if r.Response != nil || !errors.Is(err, upstream.ErrInvalidStatus) {
			t.Errorf("status %s: %+v, error %v", status, r, err)
		}
	}
}
