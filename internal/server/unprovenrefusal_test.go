package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/dialect"
	"gypsumstand/internal/wire"
)

// statusCallers are callers that go by the status alone.
type statusCallers struct{ dialect.Product }

func (statusCallers) MeansNotRun(status int) bool { return status == http.StatusServiceUnavailable }

// An owner of an earlier version passes on the status of a request that its worker has run.
func TestUnprovenRefusalOfOlderOwnerIsNotReportedAsNotRun(t *testing.T) {
	owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := wire.DecodeOffer(r.Header.Get(wire.HeaderOffer))
		if err != nil {
			t.Error(err)
		}
		w.WriteHeader(http.StatusContinue)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		w.Header().Set(wire.HeaderAttempt, a.ID.String())
		http.Error(w, "ran", http.StatusServiceUnavailable)
	}))
	defer owner.Close()
	n := &callingNode{}
	handler := n.callerHandler(bundle.Admission{}, strings.TrimPrefix(owner.URL, "http://"))
	handler.Dialect = statusCallers{}
	caller := httptest.NewServer(handler)
	defer caller.Close()
	resp, err := http.Post(caller.URL+"/rates", "", strings.NewReader("amount=7"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if outcome := resp.Header.Get(wire.HeaderOutcome); resp.StatusCode != http.StatusBadGateway || outcome != "unknown" {
		t.Errorf("status %d, outcome %q; want 502, unknown; log:\n%s", resp.StatusCode, outcome, n.log.String())
	}
}
