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

// DepthParam is the query parameter with the remaining number of nested calls; each call
// carries one less than the request that makes it.
const DepthParam = "depth"

// Limits of the calls to other services.
const (
	maxIdlePerHost  = 64
	idleConnTimeout = 30 * time.Second
	callTimeout     = 10 * time.Second
	// callBodyText is sent as a body that can't be rewound, because net/http replays
	// requests without a body that carry an Idempotency-Key.
	callBodyText = "call"
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

// callNext makes the nested call of a request whose depth is above 0.
func (w *Worker) callNext(ctx context.Context, job *workRequest) error {
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

func (w *Worker) call(ctx context.Context, job *workRequest, query url.Values, depth int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, expected, err := w.newCall(ctx, job, query, depth)
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
	return answer.Check(body, expected)
}

// newCall builds the nested call of a request and returns the request that its answer
// must match.
func (w *Worker) newCall(ctx context.Context, job *workRequest, query url.Values, depth int) (*http.Request, answer.Request, error) {
	path := job.profile.Next
	if path == "" {
		path = job.http.URL.Path
	}
	target := (&url.URL{Path: path, RawQuery: query.Encode()}).RequestURI()
	text := ""
	if job.http.Method != http.MethodGet {
		text = callBodyText
	}
	req, err := http.NewRequestWithContext(ctx, job.http.Method, "http://"+w.cfg.Node+target, singleReadBody(text))
	if err != nil {
		return nil, answer.Request{}, err
	}
	req.ContentLength = int64(len(text))
	expected := answer.Request{Target: target, BodyHash: answer.Hash([]byte(text))}
	if job.request.ID != "" && job.http.Method != http.MethodGet {
		expected.ID = job.request.ID + model.RequestID("."+strconv.Itoa(depth))
		req.Header.Set(wire.HeaderIdempotencyKey, string(expected.ID))
	}
	propagateHeaders(ctx, req.Header, job.http.Header)
	return req, expected, nil
}

// singleReadBody returns a body that can't be rewound for a replay; nil for an empty
// text.
func singleReadBody(text string) io.Reader {
	if text == "" {
		return nil
	}
	return io.NopCloser(strings.NewReader(text))
}

// propagateHeaders sets the headers that apply to the whole call chain: the remaining
// time, the retry budget, the tenant and the attempt for which the call is made.
func propagateHeaders(ctx context.Context, to, from http.Header) {
	if deadline, ok := ctx.Deadline(); ok {
		to.Set(wire.HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	for _, name := range []string{wire.HeaderRetryBudget, wire.HeaderTenant, wire.HeaderAttempt} {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}
