package worker

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// DepthParam is the query parameter with the number of calls that a request
// makes one below the other; each call carries one less.
const DepthParam = "depth"

// Bounds of the calls to other services.
const (
	maxIdlePerHost   = 64
	idleConnTimeout  = 30 * time.Second
	defaultCallLimit = 10 * time.Second
	// callBody keeps net/http from sending a request again by itself: it replays
	// requests without a body that carry an Idempotency-Key.
	callBody = "call"
)

func newClient(transport http.RoundTripper) *http.Client {
	if transport == nil {
		transport = &http.Transport{
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleConnTimeout,
		}
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// callNext makes the call below a request when its depth asks for one.
func (w *Worker) callNext(ctx context.Context, job *work) error {
	query := job.http.URL.Query()
	depth, err := strconv.Atoi(query.Get(DepthParam))
	if err != nil || depth <= 0 || w.cfg.Node == "" {
		return nil
	}
	w.count(&w.counters.Calls)
	query.Set(DepthParam, strconv.Itoa(min(depth, MaxCallDepth)-1))
	if err := w.call(ctx, job, query, depth); err != nil {
		w.count(&w.counters.CallsFailed)
		return fmt.Errorf("call at depth %d: %w", depth, err)
	}
	return nil
}

func (w *Worker) call(ctx context.Context, job *work, query url.Values, depth int) error {
	ctx, cancel := context.WithTimeout(ctx, defaultCallLimit)
	defer cancel()
	req, want, err := w.newCall(ctx, job, query, depth)
	if err != nil {
		return err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, answer.MaxBytes+1))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, outcome %q", resp.StatusCode, resp.Header.Get(wire.HeaderOutcome))
	}
	return answer.Check(body, want)
}

// newCall makes the request below job and says what its answer must be to.
func (w *Worker) newCall(ctx context.Context, job *work, query url.Values, depth int) (*http.Request, answer.Request, error) {
	path := job.profile.Next
	if path == "" {
		path = job.http.URL.Path
	}
	target := (&url.URL{Path: path, RawQuery: query.Encode()}).RequestURI()
	text := ""
	if job.http.Method != http.MethodGet {
		text = callBody
	}
	req, err := http.NewRequestWithContext(ctx, job.http.Method, "http://"+w.cfg.Node+target, once(text))
	if err != nil {
		return nil, answer.Request{}, err
	}
	req.ContentLength = int64(len(text))
	want := answer.Request{Target: target, BodyHash: answer.Hash([]byte(text))}
	if job.request.ID != "" && job.http.Method != http.MethodGet {
		want.ID = job.request.ID + model.RequestID("."+strconv.Itoa(depth))
		req.Header.Set(wire.HeaderIdempotencyKey, string(want.ID))
	}
	passOn(ctx, req.Header, job.http.Header)
	return req, want, nil
}

// once returns a body that can be read once only; nil for an empty text.
func once(text string) io.Reader {
	if text == "" {
		return nil
	}
	return io.NopCloser(strings.NewReader(text))
}

// passOn gives a call what belongs to the whole path: the remaining time, the
// retry budget and the tenant.
func passOn(ctx context.Context, to, from http.Header) {
	if deadline, ok := ctx.Deadline(); ok {
		to.Set(wire.HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	for _, name := range []string{wire.HeaderRetryBudget, wire.HeaderTenant} {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}
