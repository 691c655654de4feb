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

// stand is a worker in a bubble of testing/synctest with a client.
type stand struct {
	*Worker
	client *http.Client
}

// inBubble runs f with a worker and a client on the fake clock.
func inBubble(t *testing.T, cfg Config, f func(t *testing.T, s stand)) {
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
		f(t, stand{Worker: w, client: &http.Client{Transport: transport}})
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

// result is what came of a call.
type result struct {
	status  int
	notRun  bool
	attempt string
	body    []byte
	err     error
	took    time.Duration
}

const callText = "body"

// do makes one POST; its attempt is "e/1/" and the id.
func (s stand) do(t *testing.T, c call) result {
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

// together makes calls at once and returns their results in the order of calls.
func (s stand) together(t *testing.T, calls ...call) []result {
	t.Helper()
	out := make([]result, len(calls))
	done := make(chan struct{})
	for i, c := range calls {
		go func() {
			out[i] = s.do(t, c)
			done <- struct{}{}
		}()
		synctest.Wait() // so that they arrive in order
	}
	for range calls {
		<-done
	}
	return out
}

func (s stand) change(t *testing.T, change func(*Faults)) {
	t.Helper()
	if err := s.ChangeFaults(change); err != nil {
		t.Fatal(err)
	}
}

// own returns what c's answer must be to.
func own(c call) answer.Request {
	return answer.Request{ID: c.id, Target: c.path, BodyHash: answer.Hash([]byte(callText))}
}

// checkOwn fails unless r is the whole answer to c.
func checkOwn(t *testing.T, c call, r result) {
	t.Helper()
	if r.err != nil || r.status != http.StatusOK {
		t.Errorf("%s: status %d, %v", c.id, r.status, r.err)
		return
	}
	if err := answer.Check(r.body, own(c)); err != nil {
		t.Errorf("%s: %v", c.id, err)
	}
	if want := "e/1/" + string(c.id); r.attempt != want {
		t.Errorf("%s: echo %q, want %q", c.id, r.attempt, want)
	}
}

// checkNotRun fails unless r says not run and c never ran.
func (s stand) checkNotRun(t *testing.T, c call, r result) {
	t.Helper()
	if r.status != http.StatusServiceUnavailable || !r.notRun {
		t.Errorf("%s: status %d, not run %v, %v; want 503 not run", c.id, r.status, r.notRun, r.err)
	}
	if runs := s.Ledger().Runs(c.id); runs != 0 {
		t.Errorf("%s: ran %d times", c.id, runs)
	}
}
