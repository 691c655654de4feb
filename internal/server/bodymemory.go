package server

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sync/semaphore"
)

// errBodyMemory is returned for a request body for which the memory does not suffice.
var errBodyMemory = errors.New("no memory for the request body")

// bodyMemoryRetry is the Retry-After for a body for which the memory does not suffice: about
// as long as one that is being received takes.
const bodyMemoryRetry = 500 * time.Millisecond

// BodyMemory bounds the bytes of the bodies that an entry node has to receive whole, as their
// length must be known before they are sent on. It is safe for concurrent use.
type BodyMemory struct{ free *semaphore.Weighted }

// NewBodyMemory returns a BodyMemory of so many bytes.
func NewBodyMemory(bytes int64) *BodyMemory {
	return &BodyMemory{free: semaphore.NewWeighted(bytes)}
}

// receive reads a streamed body to its end. release must be called when the body is no longer
// used, also after an error.
func (m *BodyMemory) receive(b *requestBody) (whole *requestBody, release func(), err error) {
	r := &accountedReader{Reader: b.open(), free: m.free}
	release = func() { m.free.Release(r.taken) }
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, release, err
	}
	return &requestBody{buffered: data, length: int64(len(data))}, release, nil
}

// accountedReader takes memory for all that it reads.
type accountedReader struct {
	io.Reader
	free  *semaphore.Weighted
	taken int64
}

// Read implements io.Reader. It fails with errBodyMemory once the memory does not suffice.
func (r *accountedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && !r.free.TryAcquire(int64(n)) {
		return 0, errBodyMemory
	}
	r.taken += int64(n)
	return n, err
}
