package worker

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/fake/listen"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// harness is a worker with a client, within a testing/synctest bubble.
type harness struct {
	*Worker
	client *http.Client
}

// runSynctest runs f with a worker and a client on the fake clock of testing/synctest.
func runSynctest(t *testing.T, cfg Config, f func(t *testing.T, s harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		pipe := listen.NewPipe()
		server := w.NewServer(nil)
		go func() { _ = server.Serve(pipe) }()
		transport := &http.Transport{DialContext: pipe.Dial, MaxIdleConnsPerHost: 100}
		f(t, harness{Worker: w, client: &http.Client{Transport: transport}})
		transport.CloseIdleConnections()
		_ = server.Close()
	})
}

// call is one request to a worker.
type call struct {
	path    string
	id      model.RequestID
	timeout time.Duration
	ctx     context.Context
}

// result is the outcome of a call.
type result struct {
	status  int
	notRun  bool
	attempt string
	body    []byte
	err     error
	took    time.Duration
}

const callText = "body"

// do sends one POST with the attempt id "e/1/" + c.id.
func (s harness) do(t *testing.T, c call) result {
	t.Helper()
	if c.ctx == nil {
		c.ctx = context.Background()
	}
	req, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://worker"+c.path, strings.NewReader(callText))
	if err != nil {
		t.Error(err)
		return result{err: err}
	}
	req.Header.Set(wire.HeaderIdempotencyKey, string(c.id))
	req.Header.Set(wire.HeaderAttempt, "e/1/"+string(c.id))
	if c.timeout > 0 {
		req.Header.Set(wire.HeaderTimeout, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	}
	start := time.Now()
	resp, err := s.client.Do(req)
	if err != nil {
		return result{err: err, took: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{
		status:  resp.StatusCode,
		notRun:  resp.Header.Get(wire.HeaderNotRun) == "true",
		attempt: resp.Header.Get(wire.HeaderAttempt),
		body:    body,
		err:     err,
		took:    time.Since(start),
	}
}

// doConcurrently makes concurrent calls that arrive in order, and returns their results
// in that order.
func (s harness) doConcurrently(t *testing.T, calls ...call) []result {
	t.Helper()
	out := make([]result, len(calls))
	done := make(chan struct{})
	for i, c := range calls {
		go func() {
			out[i] = s.do(t, c)
			done <- struct{}{}
		}()
		synctest.Wait() // ensures that the calls arrive in order
	}
	for range calls {
		<-done
	}
	return out
}

func (s harness) changeFaults(t *testing.T, change func(*Faults)) {
	t.Helper()
	if err := s.ChangeFaults(change); err != nil {
		t.Fatal(err)
	}
}

// expectedAnswer returns the request that the answer to c must match.
func expectedAnswer(c call) answer.Request {
	return answer.Request{ID: c.id, Target: c.path, BodyHash: answer.Hash([]byte(callText))}
}

// checkOwnAnswer fails the test unless r is the complete answer to c.
func checkOwnAnswer(t *testing.T, c call, r result) {
	t.Helper()
	if r.err != nil || r.status != http.StatusOK {
		t.Errorf("%s: status %d, %v", c.id, r.status, r.err)
		return
	}
	if err := answer.Check(r.body, expectedAnswer(c)); err != nil {
		t.Errorf("%s: %v", c.id, err)
	}
	if want := "e/1/" + string(c.id); r.attempt != want {
		t.Errorf("%s: echo %q, want %q", c.id, r.attempt, want)
	}
}

// checkNotRun fails the test unless r reports that c was not run and c never ran.
func (s harness) checkNotRun(t *testing.T, c call, r result) {
	t.Helper()
	if r.status != http.StatusServiceUnavailable || !r.notRun {
		t.Errorf("%s: status %d, not run %v, %v; want 503 not run", c.id, r.status, r.notRun, r.err)
	}
	if runs := s.Ledger().Runs(c.id); runs != 0 {
		t.Errorf("%s: ran %d times", c.id, runs)
	}
}
