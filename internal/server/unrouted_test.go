package server

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/dialect"
	"gypsumstand/internal/wire"
)

func TestUnreadyNodeDoesNotGuaranteeNotRunForCallerID(t *testing.T) {
	type result struct {
		Status  int
		Outcome string
	}
	tests := map[string]struct {
		ready bool
		key   string
		want  result
	}{
		"not ready, own id": {key: "payout-7", want: result{http.StatusServiceUnavailable, "unknown"}},
		"not ready, no id":  {want: result{http.StatusServiceUnavailable, "not-run"}},
		"ready, own id":     {ready: true, key: "payout-7", want: result{http.StatusNotFound, "not-run"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := &blackboard.Board{}
			board.Bundles.Put(bundle.NewSet(nil))
			board.Readiness.Put(&blackboard.Readiness{Ready: tt.ready})
			log := zerolog.Nop()
			c := &CallerHandler{Board: board, RequestLog: &log, Dialect: dialect.Product{}, Leaving: func() bool { return false }}
			r := httptest.NewRequest(http.MethodPost, "/payouts", http.NoBody)
			if tt.key != "" {
				r.Header.Set(wire.HeaderIdempotencyKey, tt.key)
			}
			w := httptest.NewRecorder()
			c.ServeHTTP(w, r)
			got := result{w.Code, w.Header().Get(wire.HeaderOutcome)}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A refused request whose body never arrived held its connection indefinitely, and with
// it a planned stop of its node, which then cut off all other callers.
func TestRefusalIsSentWithoutBody(t *testing.T) {
	board := &blackboard.Board{}
	board.Bundles.Put(bundle.NewSet(nil))
	board.Readiness.Put(&blackboard.Readiness{Ready: true})
	log := zerolog.Nop()
	s := httptest.NewServer(&CallerHandler{Board: board, RequestLog: &log, Dialect: dialect.Product{}, Leaving: func() bool { return false }})
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(20 * refusedBodyTimeout))
	got, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 404 ") {
		t.Errorf("got %q, %v", got, err)
	}
}
