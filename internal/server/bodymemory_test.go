package server

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
)

// streamOf returns a long body of unknown length.
func streamOf(bytesLong int) *requestBody {
	body := io.NopCloser(bytes.NewReader(make([]byte, bytesLong)))
	return &requestBody{stream: body, length: unknownLength}
}

// Bodies that have to be received whole had no bound for all together: in a burst their node
// exceeded its memory.
func TestBodiesReceivedWholeStayWithinMemory(t *testing.T) {
	m := NewBodyMemory(5 * maxBufferedBody)
	first, release, err := m.receive(streamOf(3 * maxBufferedBody))
	if err != nil || first.length != 3*maxBufferedBody {
		t.Fatalf("first: %v", err)
	}
	_, releaseSecond, err := m.receive(streamOf(3 * maxBufferedBody))
	if !errors.Is(err, errBodyMemory) {
		t.Errorf("second: %v, want %v", err, errBodyMemory)
	}
	releaseSecond()
	release()
	if _, release, err := m.receive(streamOf(5 * maxBufferedBody)); err != nil {
		t.Errorf("after both: %v", err)
	} else {
		release()
	}
}

// An upload over the limit was received to its end.
func TestUploadOverLimitIsTooLarge(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(bytes.NewReader(make([]byte, 4*maxBufferedBody))))
	r.ContentLength = unknownLength
	body, err := bufferBody(r, 2*maxBufferedBody)
	if err != nil {
		t.Fatal(err)
	}
	_, release, err := NewBodyMemory(8 * maxBufferedBody).receive(body)
	release()
	if !errors.Is(err, errBodyTooLarge) {
		t.Errorf("%v, want %v", err, errBodyTooLarge)
	}
}

// A caller that breaks off a long body looked like a worker that fails its requests.
func TestBodyBrokenOffBySenderIsNoFailureOfWorker(t *testing.T) {
	worker := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer worker.Close()
	o, x := withSlots(4, strings.TrimPrefix(worker.URL, "http://"))
	for sequence := range uint64(20) {
		m := testMessage(sequence + 1)
		broken := io.MultiReader(bytes.NewReader(make([]byte, 2*maxBufferedBody)), brokenReader{})
		m.Body, m.ContentLength = io.NopCloser(broken), unknownLength
		r := x.Do(t.Context(), m)
		if r.Response != nil || r.Refusal.Reason != model.ReasonCancelled || r.Refusal.NotRun {
			t.Fatalf("%+v", r.Refusal)
		}
	}
	if got := o.Report(time.Now()).FailureRate; got != 0 {
		t.Errorf("failure rate %v of the worker, want 0", got)
	}
	if kind, refusal := o.Offer(time.Now(), &testMessage(100).Attempt, true); kind != owner.Start {
		t.Errorf("the next attempt is not started: %+v", refusal)
	}
}

// brokenReader fails as a connection that is cut off.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
