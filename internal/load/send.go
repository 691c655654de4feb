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

// uniqueQuery is the query parameter that makes a target unique, so that an
// answer to a request without an id can be told from any other.
const uniqueQuery = "n"

// request is one request of a stream.
type request struct {
	stream *Stream
	// id is sent as Idempotency-Key when it is not empty.
	id       model.RequestID
	unique   string
	intended time.Time
}

// target returns the path and the query.
func (r *request) target() string {
	query := url.Values{uniqueQuery: {r.unique}}
	if r.stream.Depth > 0 {
		query.Set(worker.DepthParam, strconv.Itoa(r.stream.Depth))
	}
	return r.stream.Path + "?" + query.Encode()
}

// want returns what a right answer is to.
func (r *request) want(body []byte) answer.Request {
	return answer.Request{ID: r.id, Target: r.target(), BodyHash: answer.Hash(body)}
}

// body returns the request's body; it differs from request to request.
func (r *request) body() []byte {
	if !r.stream.hasBody() {
		return nil
	}
	out := make([]byte, r.stream.BodyBytes)
	for i := range out {
		out[i] = r.unique[i%len(r.unique)]
	}
	return out
}

// send sends r once to a target and waits until deadline and the slack for word
// of it.
func (g *generator) send(ctx context.Context, r *request, address string, deadline time.Time) reply {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(milliseconds(g.plan.SlackMs)))
	defer cancel()
	body := r.body()
	req, err := http.NewRequestWithContext(ctx, r.stream.Method, "http://"+address+r.target(), bodyReader(body))
	if err != nil {
		return reply{verdict: verdictBroken}
	}
	req.ContentLength = int64(len(body))
	setHeaders(req.Header, r, deadline)
	resp, err := g.client.Do(req)
	if err != nil {
		return judgeError(err)
	}
	return judge(resp, r.want(body), g.plan.Direct)
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

// bodyReader returns a reader that net/http can't rewind: it would otherwise
// send a request with an Idempotency-Key again by itself, unseen.
func bodyReader(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return &onceReader{rest: body}
}

// onceReader reads its bytes once.
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
