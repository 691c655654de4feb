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
	// body is sent with a POST; the response to it contains its hash.
	body    string
	timeout time.Duration
	// atMostOnce marks a request that must not run twice.
	atMostOnce bool
}

// result is what a caller received for one submission.
type result struct {
	// err is set when the caller got no complete response.
	err      error
	status   int
	outcome  string
	reason   string
	upstream model.InstanceID
	bundle   string
	body     []byte
	// closesConnection: the node accepts no more requests on the connection.
	closesConnection bool
}

func (r result) answered() bool { return r.err == nil && r.outcome == answered }

// Outcomes, as they are written in the outcome header.
var (
	answered = model.OutcomeAnswered.String()
	notRun   = model.OutcomeNotRun.String()
	unknown  = model.OutcomeUnknown.String()
)

// submission is one request with its result.
type submission struct {
	request
	result
}

// maxRuns bounds the runs of an idempotent request: the first attempt and the default
// retry budget of a path.
const maxRuns = 3

// nextID numbers the requests of all tests.
var nextID atomic.Uint64

func newID(prefix string) model.RequestID {
	return model.RequestID(prefix + "-" + strconv.FormatUint(nextID.Add(1), 10))
}

// payout returns a request that must run at most once.
func payout(path string) request {
	id := newID("payout")
	return request{method: http.MethodPost, path: path, id: id, body: "pay " + string(id), atMostOnce: true, timeout: 10 * time.Second}
}

// view returns an idempotent request.
func view(path string) request {
	return request{method: http.MethodGet, path: path, id: newID("view"), timeout: 10 * time.Second}
}

// callers sends requests and records their results. It is safe for concurrent use.
type callers struct {
	client *http.Client

	mu   sync.Mutex
	sent []submission
}

// newCallers returns callers that open a connection for each request.
func newCallers(t *testing.T) *callers {
	return callersWith(t, &http.Transport{DisableKeepAlives: true, DisableCompression: true})
}

// newKeepAliveCallers returns callers that reuse connections.
func newKeepAliveCallers(t *testing.T) *callers {
	return callersWith(t, &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64})
}

func callersWith(t *testing.T, transport *http.Transport) *callers {
	t.Cleanup(transport.CloseIdleConnections)
	return &callers{client: &http.Client{Transport: transport}}
}

// send sends r once and records the result.
func (c *callers) send(ctx context.Context, address string, r request) result {
	got := c.do(ctx, address, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, submission{r, got})
	return got
}

func (c *callers) do(ctx context.Context, address string, r request) result {
	// net/http can't rewind this body, so it never resends the request by itself.
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, io.NopCloser(strings.NewReader(r.body)))
	if err != nil {
		return result{err: err}
	}
	req.ContentLength = int64(len(r.body))
	req.Header.Set(wire.HeaderIdempotencyKey, string(r.id))
	if r.timeout > 0 {
		req.Header.Set(wire.HeaderTimeout, strconv.FormatInt(r.timeout.Milliseconds(), 10))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{
		err:              err,
		status:           resp.StatusCode,
		outcome:          resp.Header.Get(wire.HeaderOutcome),
		reason:           resp.Header.Get(wire.HeaderReason),
		upstream:         model.InstanceID(resp.Header.Get(wire.HeaderUpstream)),
		bundle:           resp.Header.Get(wire.HeaderBundle),
		body:             body,
		closesConnection: resp.Close,
	}
}

// submissions returns all submissions so far.
func (c *callers) submissions() []submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]submission(nil), c.sent...)
}

// count returns the number of submissions with the given outcome; "" counts those without
// a complete response.
func (c *callers) count(outcome string) int {
	n := 0
	for _, s := range c.submissions() {
		if s.err != nil && outcome == "" || s.err == nil && s.outcome == outcome {
			n++
		}
	}
	return n
}

// check compares the results with the runs that the workers counted. Each id must have
// been submitted once.
func (c *callers) check(t *testing.T, ledger *worker.Ledger) {
	t.Helper()
	for _, s := range c.submissions() {
		if broken := s.violation(ledger.Runs(s.id)); broken != "" {
			t.Errorf("%s %s %s: %s (got %d %s %s, %v)", s.method, s.path, s.id, broken, s.status, s.outcome, s.reason, s.err)
		}
	}
}

// violation names the promise that was broken; empty when none was.
func (s *submission) violation(runs int) string {
	limit := maxRuns
	if s.atMostOnce {
		limit = 1
	}
	switch {
	case runs > limit:
		return fmt.Sprintf("ran %d times", runs)
	case s.err != nil:
		return ""
	case s.outcome == notRun && runs > 0:
		return "outcome not-run, but it ran"
	case s.outcome == answered && runs == 0:
		return "answered without a run"
	case s.outcome == answered && s.status == http.StatusOK:
		return s.responseViolation()
	case s.outcome != answered && s.status < http.StatusBadRequest:
		return "no answer, but a status of success"
	case s.outcome != answered && s.outcome != notRun && s.outcome != unknown:
		return "no valid outcome"
	}
	return ""
}

func (s *submission) responseViolation() string {
	want := answer.Request{ID: s.id, Target: s.path, BodyHash: answer.Hash([]byte(s.request.body))}
	if err := answer.Check(s.result.body, want); err != nil {
		return "not the complete response to its own request: " + err.Error()
	}
	return ""
}

// sendAll sends n requests, which next returns, to the addresses in turn. It keeps width
// requests in flight and returns when all have ended.
func (c *callers) sendAll(ctx context.Context, addresses []string, n, width int, next func(i int) request) {
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

// sendUntil sends requests to address until stop is closed or the node closes the
// connection.
func (c *callers) sendUntil(ctx context.Context, stop <-chan struct{}, address string, next func() request) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if got := c.send(ctx, address, next()); got.closesConnection {
			return
		}
	}
}
