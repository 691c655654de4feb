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

// unknownLength is the length of a streamed body whose caller has not announced it.
const unknownLength = -1

// errBodyTooLarge is returned for a request body over the bundle's limit.
var errBodyTooLarge = errors.New("request body exceeds the limit")

// requestBody is a caller's request body, either buffered or streamed once.
type requestBody struct {
	buffered []byte
	stream   io.ReadCloser
	// length is unknownLength for a stream whose end is not known.
	length int64
	// partlyRead is set once a part of the stream has been consumed.
	partlyRead atomic.Bool
	// exceeded is set once the stream has turned out to be longer than the limit.
	exceeded atomic.Bool
}

// bufferBody buffers a body of up to maxBufferedBody. A longer one of up to limit is left to
// be streamed.
func bufferBody(r *http.Request, limit int64) (*requestBody, error) {
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.ContentLength > maxBufferedBody {
		return &requestBody{stream: r.Body, length: r.ContentLength}, nil
	}
	// http.MaxBytesReader takes the writer only to close the caller's connection.
	limited := http.MaxBytesReader(nil, r.Body, limit)
	buffered, err := io.ReadAll(io.LimitReader(limited, maxBufferedBody+1))
	if err != nil {
		return nil, limitError(err)
	}
	if len(buffered) <= maxBufferedBody {
		return &requestBody{buffered: buffered, length: int64(len(buffered))}, nil
	}
	rest := readCloser{io.MultiReader(bytes.NewReader(buffered), limited), limited}
	return &requestBody{stream: rest, length: unknownLength}, nil
}

// limitError returns errBodyTooLarge for the error of a body that is longer than its limit,
// and otherwise err.
func limitError(err error) error {
	if exceedsLimit(err) {
		return errBodyTooLarge
	}
	return err
}

// exceedsLimit reports whether err is that of http.MaxBytesReader for a body over its limit.
func exceedsLimit(err error) bool {
	var tooLong *http.MaxBytesError
	return errors.As(err, &tooLong)
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
	n, err := s.b.stream.Read(p)
	if err = limitError(err); err == errBodyTooLarge {
		s.b.exceeded.Store(true)
	}
	return n, err
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
