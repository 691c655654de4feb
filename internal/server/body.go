package server

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// maxBufferedBody is the longest request body, in bytes, that an entry node buffers so
// that it can be sent again; longer ones are streamed.
const maxBufferedBody = 64 << 10

// errBodyTooLarge is returned for a request body over the bundle's limit.
var errBodyTooLarge = errors.New("request body exceeds the limit")

// requestBody is a caller's request body, either buffered or streamed once.
type requestBody struct {
	buffered []byte
	stream   io.ReadCloser
	length   int64
	// partlyRead is set once a part of the stream has been consumed.
	partlyRead atomic.Bool
}

// bufferBody buffers a body of up to maxBufferedBody, or one of unknown length up to
// limit. A longer one of known length is left to be streamed.
func bufferBody(r *http.Request, limit int64) (*requestBody, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.ContentLength > maxBufferedBody {
		return &requestBody{stream: r.Body, length: r.ContentLength}, nil
	}
	buffered, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(buffered)) > limit {
		return nil, errBodyTooLarge
	}
	return &requestBody{buffered: buffered, length: int64(len(buffered))}, nil
}

// open returns the body for one attempt.
func (b *requestBody) open() io.ReadCloser {
	if b.stream != nil {
		return sharedStream{b}
	}
	if len(b.buffered) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(b.buffered))
}

// sharedStream reads the caller's stream. Closing it leaves the stream open, so that
// another attempt can send it if nothing was read.
type sharedStream struct{ b *requestBody }

// Read implements io.Reader.
func (s sharedStream) Read(p []byte) (int, error) {
	s.b.partlyRead.Store(true)
	return s.b.stream.Read(p)
}

// Close implements io.Closer.
func (s sharedStream) Close() error { return nil }

// cancelOnClose cancels the context of a response when its body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel func()
}

// Close implements io.Closer.
func (c cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}

// setReadDeadline ends the reading of the request body at t, since no context interrupts
// a read from the connection. net/http resets the deadline once the body has been read,
// but not for a request without one: the deadline would then end net/http's background
// read of the connection, and with it the contexts of all later requests on it.
func setReadDeadline(w http.ResponseWriter, r *http.Request, t time.Time) {
	if r.ContentLength == 0 {
		return
	}
	// Fails only for a writer without a connection, as in tests.
	_ = http.NewResponseController(w).SetReadDeadline(t)
}

// setWriteDeadline ends the writing of the response at t, since no context interrupts a
// write to a connection whose reader has stopped. net/http resets it afterwards.
func setWriteDeadline(w http.ResponseWriter, t time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(t)
}
