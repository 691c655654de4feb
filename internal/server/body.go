package server

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// replayBytes bounds the request body that an entry holds whole so that it can
// be sent again; longer ones stream.
const replayBytes = 64 << 10

// errBodyTooLarge says that a request body is over the bundle's bound.
var errBodyTooLarge = errors.New("request body is over the bound")

// requestBody is a caller's body: held whole, or streamed once.
type requestBody struct {
	held   []byte
	stream io.ReadCloser
	length int64
	// touched tells that a part of the stream is gone.
	touched atomic.Bool
}

// takeBody holds a body of up to replayBytes, or of unknown length up to limit,
// and leaves a longer one of known length to be streamed.
func takeBody(r *http.Request, limit int64) (*requestBody, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.ContentLength > replayBytes {
		return &requestBody{stream: r.Body, length: r.ContentLength}, nil
	}
	held, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(held)) > limit {
		return nil, errBodyTooLarge
	}
	return &requestBody{held: held, length: int64(len(held))}, nil
}

// open returns the body for one attempt.
func (b *requestBody) open() io.ReadCloser {
	if b.stream != nil {
		return streamOnce{b}
	}
	if len(b.held) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(b.held))
}

// streamOnce reads the caller's stream; closing it leaves the stream open, for
// another attempt when nothing was read.
type streamOnce struct{ b *requestBody }

// Read implements io.Reader.
func (s streamOnce) Read(p []byte) (int, error) {
	s.b.touched.Store(true)
	return s.b.stream.Read(p)
}

// Close implements io.Closer.
func (s streamOnce) Close() error { return nil }

// closing ends a context with the body that is read under it.
type closing struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (c closing) Close() error {
	err := c.ReadCloser.Close()
	c.end()
	return err
}

// limitReading ends the reading of the request's body at t: no context ends a
// read from the connection. net/http lifts the limit once the body is read, but not
// where there is none: the limit would then end net/http's own watch of the
// connection, and with it the contexts of all later requests there.
func limitReading(w http.ResponseWriter, r *http.Request, t time.Time) {
	if r.ContentLength == 0 {
		return
	}
	// Only a writer without a connection, as in tests, refuses.
	_ = http.NewResponseController(w).SetReadDeadline(t)
}

// limitWriting ends the writing of the response at t: no context ends a write to
// a connection whose reader has stopped. net/http lifts the limit after it.
func limitWriting(w http.ResponseWriter, t time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(t)
}
