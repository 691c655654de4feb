package server

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/dialect"
	"gypsumstand/internal/wire"
)

func TestANodeThatIsNotReadyDoesNotSayThatACallersOwnIDWasNotRun(t *testing.T) {
	type told struct {
		Status  int
		Outcome string
	}
	tests := map[string]struct {
		ready bool
		key   string
		want  told
	}{
		"not ready, own id": {key: "payout-7", want: told{http.StatusServiceUnavailable, "unknown"}},
		"not ready, no id":  {want: told{http.StatusServiceUnavailable, "not-run"}},
		"ready, own id":     {ready: true, key: "payout-7", want: told{http.StatusNotFound, "not-run"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			board := &blackboard.Board{}
			board.Bundles.Put(bundle.NewSet(nil))
			board.Readiness.Put(&blackboard.Readiness{Ready: tt.ready})
			log := zerolog.Nop()
			c := &Caller{Board: board, Requests: &log, Dialect: dialect.Product{}, Leaving: func() bool { return false }}
			r := httptest.NewRequest(http.MethodPost, "/payouts", http.NoBody)
			if tt.key != "" {
				r.Header.Set(wire.HeaderIdempotencyKey, tt.key)
			}
			w := httptest.NewRecorder()
			c.ServeHTTP(w, r)
			got := told{w.Code, w.Header().Get(wire.HeaderOutcome)}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
