package server

import (
	"bytes"
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
// its owner. Of 1,064 requests that a cut of a third of 195 machines left in doubt, no
// worker had seen one. The price is one more way there and back, and its processor time.
// It is safe for concurrent use.
type withheldBody struct {
	body io.ReadCloser

	mu       sync.Mutex
	released bool
	barred   bool
	// decided is closed once the body is released or barred.
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

// barAt bars the body at t, unless it was released before, and then calls withdrawn. The
// timer is to be stopped once the attempt has ended.
func (b *withheldBody) barAt(t time.Time, withdrawn func()) *time.Timer {
	return time.AfterFunc(time.Until(t), func() {
		if b.bar() {
			withdrawn()
		}
	})
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
	b.mu.Lock()
	barred := b.barred
	b.mu.Unlock()
	if barred {
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

// claimer gets the body of an attempt.
type claimer func(w http.ResponseWriter, r *http.Request, work *Work) error

// claim asks the entry for a body that it withholds, and reads it whole, so that the worker
// gets nothing of an attempt that the entry may still withdraw.
func claim(w http.ResponseWriter, r *http.Request, work *Work) error {
	limitReading(w, r, time.Now().Add(claimTimeout))
	w.WriteHeader(http.StatusContinue)
	held, err := io.ReadAll(io.LimitReader(r.Body, replayBytes+1))
	if err != nil {
		return err
	}
	if len(held) > replayBytes {
		return errBodyTooLarge
	}
	work.hold(held)
	return nil
}

// finishReading sends a refusal off and reads what the entry then lets go, so that the
// connection can be used again. net/http reads it too, but after the handler's end, when
// its own watch of the connection panics at the body's end.
func finishReading(w http.ResponseWriter, r *http.Request) {
	// A connection that fails here ends by itself: net/http finds the body unread.
	_ = http.NewResponseController(w).Flush()
	limitReading(w, r, time.Now().Add(claimTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, replayBytes+1)
}

// hold makes a whole body the attempt's.
func (w *Work) hold(body []byte) {
	w.ContentLength = int64(len(body))
	w.Body = nil
	if len(body) > 0 {
		w.Body = io.NopCloser(bytes.NewReader(body))
	}
}

// withheldContext is an attempt's context with what ends it early.
func withheldContext(ctx context.Context, b *withheldBody, takenUpBy time.Time) (attempt context.Context, end func()) {
	attempt, cancel := context.WithCancel(ctx)
	timer := b.barAt(takenUpBy, cancel)
	return attempt, func() {
		timer.Stop()
		cancel()
	}
}
