package failure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// request is one request of a caller.
type request struct {
	method string
	path   string
	id     model.RequestID
	// body of an answered POST is checked by its hash.
	body    string
	timeout time.Duration
	// once marks a request that must not run twice.
	once bool
}

// told is what a caller got for one sending.
type told struct {
	// err is set when there was no whole response.
	err      error
	status   int
	outcome  string
	reason   string
	upstream model.InstanceID
	bundle   string
	body     []byte
	// goAway tells that the node wants no more requests on the connection.
	goAway bool
}

func (a told) answered() bool { return a.err == nil && a.outcome == answered }

// The outcomes, as headers name them.
var (
	answered = model.OutcomeAnswered.String()
	notRun   = model.OutcomeNotRun.String()
	unknown  = model.OutcomeUnknown.String()
)

// sending is one request with what came of it.
type sending struct {
	request
	told
}

// maxRuns bounds the runs of an idempotent request: the first attempt and the
// default retry budget of a path.
const maxRuns = 3

// nextID numbers the requests of all tests.
var nextID atomic.Uint64

func newID(prefix string) model.RequestID {
	return model.RequestID(prefix + "-" + strconv.FormatUint(nextID.Add(1), 10))
}

// payout is a request that must run once at most.
func payout(path string) request {
	id := newID("payout")
	return request{method: http.MethodPost, path: path, id: id, body: "pay " + string(id), once: true, timeout: 10 * time.Second}
}

// view is an idempotent request.
func view(path string) request {
	return request{method: http.MethodGet, path: path, id: newID("view"), timeout: 10 * time.Second}
}

// callers send requests and remember what they were told.
type callers struct {
	client *http.Client

	mu   sync.Mutex
	sent []sending
}

// newCallers returns callers that open a connection for each request.
func newCallers(t *testing.T) *callers {
	return callersWith(t, &http.Transport{DisableKeepAlives: true, DisableCompression: true})
}

// newKeepAliveCallers returns callers that use connections again.
func newKeepAliveCallers(t *testing.T) *callers {
	return callersWith(t, &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64})
}

func callersWith(t *testing.T, transport *http.Transport) *callers {
	t.Cleanup(transport.CloseIdleConnections)
	return &callers{client: &http.Client{Transport: transport}}
}

// send sends r once and remembers the outcome.
func (c *callers) send(ctx context.Context, address string, r request) told {
	got := c.do(ctx, address, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, sending{r, got})
	return got
}

func (c *callers) do(ctx context.Context, address string, r request) told {
	// net/http can't rewind this body, so it never sends the request twice by itself.
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, io.NopCloser(strings.NewReader(r.body)))
	if err != nil {
		return told{err: err}
	}
	req.ContentLength = int64(len(r.body))
	req.Header.Set(wire.HeaderIdempotencyKey, string(r.id))
	if r.timeout > 0 {
		req.Header.Set(wire.HeaderTimeout, strconv.FormatInt(r.timeout.Milliseconds(), 10))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return told{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return told{
		err:      err,
		status:   resp.StatusCode,
		outcome:  resp.Header.Get(wire.HeaderOutcome),
		reason:   resp.Header.Get(wire.HeaderReason),
		upstream: model.InstanceID(resp.Header.Get(wire.HeaderUpstream)),
		bundle:   resp.Header.Get(wire.HeaderBundle),
		body:     body,
		goAway:   resp.Close,
	}
}

// sendings returns all sendings so far.
func (c *callers) sendings() []sending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sending(nil), c.sent...)
}

// count returns how many sendings were told outcome; "" counts those that got no
// whole response.
func (c *callers) count(outcome string) int {
	n := 0
	for _, s := range c.sendings() {
		if s.err != nil && outcome == "" || s.err == nil && s.outcome == outcome {
			n++
		}
	}
	return n
}

// check holds what callers were told against the runs. Each id must have been
// sent once.
func (c *callers) check(t *testing.T, ledger *worker.Ledger) {
	t.Helper()
	for _, s := range c.sendings() {
		if fault := s.fault(ledger.Runs(s.id)); fault != "" {
			t.Errorf("%s %s %s: %s (told %d %s %s, %v)", s.method, s.path, s.id, fault, s.status, s.outcome, s.reason, s.err)
		}
	}
}

// fault says which promise was broken, or nothing.
func (s *sending) fault(runs int) string {
	limit := maxRuns
	if s.once {
		limit = 1
	}
	switch {
	case runs > limit:
		return fmt.Sprintf("ran %d times", runs)
	case s.err != nil:
		return ""
	case s.outcome == notRun && runs > 0:
		return "told not-run, and ran"
	case s.outcome == answered && runs == 0:
		return "answered without a run"
	case s.outcome == answered && s.status == http.StatusOK:
		return s.answerFault()
	case s.outcome != answered && s.status < http.StatusBadRequest:
		return "an outcome without an answer has a status of success"
	case s.outcome != answered && s.outcome != notRun && s.outcome != unknown:
		return "no outcome"
	}
	return ""
}

func (s *sending) answerFault() string {
	want := answer.Request{ID: s.id, Target: s.path, BodyHash: answer.Hash([]byte(s.request.body))}
	if err := answer.Check(s.told.body, want); err != nil {
		return "not its own whole answer: " + err.Error()
	}
	return ""
}

// together sends n requests that next makes to the addresses in turn, width at
// once, and returns when all have ended.
func (c *callers) together(ctx context.Context, addresses []string, n, width int, next func(i int) request) {
	var wg sync.WaitGroup
	var at atomic.Int64
	for range width {
		wg.Go(func() {
			for i := int(at.Add(1)) - 1; i < n; i = int(at.Add(1)) - 1 {
				c.send(ctx, addresses[i%len(addresses)], next(i))
			}
		})
	}
	wg.Wait()
}

// keepCalling sends requests to address until stop is closed or the node sends
// the caller away.
func (c *callers) keepCalling(ctx context.Context, stop <-chan struct{}, address string, next func() request) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if got := c.send(ctx, address, next()); got.goAway {
			return
		}
	}
}
