package load

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// nonceParam is the query parameter that makes each target unique, so that a response to
// a request without an id can be told from any other.
const nonceParam = "n"

// request is one request of a stream.
type request struct {
	stream *Stream
	// id is sent as Idempotency-Key when it is not empty.
	id       model.RequestID
	nonce    string
	intended time.Time
}

// target returns the path and the query.
func (r *request) target() string {
	query := url.Values{nonceParam: {r.nonce}}
	if r.stream.Depth > 0 {
		query.Set(worker.DepthParam, strconv.Itoa(r.stream.Depth))
	}
	return r.stream.Path + "?" + query.Encode()
}

// expected identifies the request that a correct response belongs to.
func (r *request) expected(body []byte) answer.Request {
	return answer.Request{ID: r.id, Target: r.target(), BodyHash: answer.Hash(body)}
}

// body returns the request's body, which differs between requests.
func (r *request) body() []byte {
	if !r.stream.hasBody() {
		return nil
	}
	out := make([]byte, r.stream.BodyBytes)
	for i := range out {
		out[i] = r.nonce[i%len(r.nonce)]
	}
	return out
}

// send sends r once to a target and waits for the outcome until deadline plus the plan's
// slack.
func (g *generator) send(ctx context.Context, r *request, address string, deadline time.Time) sendResult {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(milliseconds(g.plan.SlackMs)))
	defer cancel()
	body := r.body()
	req, err := http.NewRequestWithContext(ctx, r.stream.Method, "http://"+address+r.target(), bodyReader(body))
	if err != nil {
		return sendResult{kind: resultBroken}
	}
	req.ContentLength = int64(len(body))
	setHeaders(req.Header, r, deadline)
	resp, err := g.client.Do(req)
	if err != nil {
		return classifyError(err)
	}
	return classifyResponse(resp, r.expected(body), g.plan.Direct)
}

func setHeaders(h http.Header, r *request, deadline time.Time) {
	h.Set(wire.HeaderTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	if r.stream.Tenant != "" {
		h.Set(wire.HeaderTenant, string(r.stream.Tenant))
	}
	if r.id != "" {
		h.Set(wire.HeaderIdempotencyKey, string(r.id))
	}
	if r.stream.NotIdempotent {
		h.Set(wire.HeaderIdempotent, "false")
	}
}

// bodyReader returns a reader that net/http cannot rewind, or nil for an empty body.
// net/http silently resends a request with an Idempotency-Key if it can rewind the body.
func bodyReader(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return &onceReader{rest: body}
}

// onceReader can be read only once.
type onceReader struct{ rest []byte }

// Read implements io.Reader.
func (r *onceReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}
