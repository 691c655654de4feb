package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"gypsumstand/internal/model"
)

// AttemptMessage is an attempt with the HTTP request that goes to the worker.
type AttemptMessage struct {
	Attempt model.Attempt
	Method  string
	// URL holds only path and query.
	URL    *url.URL
	Host   string
	Header http.Header
	// Body is read only after the attempt has a slot at the worker; nil means no body.
	Body io.ReadCloser
	// ContentLength is unknownLength for a streamed body whose length is not known.
	ContentLength int64
	// BufferedBody is the complete body if it has been received; a long one is streamed.
	BufferedBody []byte
	// bodyBroken is set once a streamed body has failed before its end.
	bodyBroken atomic.Bool
	// SameNode reports that the entry node is this node.
	SameNode bool
	// AcknowledgeBy is when the entry node withdraws the attempt if its owner has not
	// begun to reply. If it is zero, the body is sent at once.
	AcknowledgeBy time.Time
	// Reserve reports that the body has to be reserved at the owner before the attempt is
	// sent to it.
	Reserve bool
	// FetchBody requests the body that the entry node has not sent yet, after the attempt
	// was admitted. An error means that the body is not available and nothing may run.
	// Nil means that the body needs no request.
	FetchBody func() error
}

// request returns the HTTP/1.1 request of the attempt to its next hop at u, with a copy
// of the header.
func (m *AttemptMessage) request(ctx context.Context, u *url.URL) *http.Request {
	var encoding []string
	if m.ContentLength < 0 {
		// net/http would read the beginning of the body of some methods to find out.
		encoding = []string{"chunked"}
	}
	return (&http.Request{
		Method:        m.Method,
		URL:           u,
		Host:          m.Host,
		Header:        m.Header.Clone(),
		Body:          m.Body,
		ContentLength: m.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,

		TransferEncoding: encoding,
	}).WithContext(ctx)
}

// isStreamed reports whether the body is read from its sender while it is sent on.
func (m *AttemptMessage) isStreamed() bool {
	return m.FetchBody == nil && (m.ContentLength > maxBufferedBody || m.ContentLength < 0)
}

// bufferBody buffers the body unless it is streamed, so that the fingerprint can still be
// computed after the run.
func (m *AttemptMessage) bufferBody(r *http.Request) error {
	if r.ContentLength == 0 || m.isStreamed() {
		return nil
	}
	body, err := bufferBody(r, r.ContentLength)
	if err != nil {
		return err
	}
	m.Body, m.BufferedBody = body.open(), body.buffered
	return nil
}

// openBody returns the body for one request to the worker, nil if there is none. A streamed
// one stays open; net/http reads it only after the header has been sent.
func (m *AttemptMessage) openBody() io.ReadCloser {
	switch {
	case m.Body == nil:
		return nil
	case m.BufferedBody != nil && !m.isStreamed():
		return io.NopCloser(bytes.NewReader(m.BufferedBody))
	}
	return attemptStream{m}
}

// attemptStream is the streamed body of an attempt for one request to the worker.
type attemptStream struct{ message *AttemptMessage }

// Read implements io.Reader.
func (b attemptStream) Read(p []byte) (int, error) {
	n, err := b.message.Body.Read(p)
	if err != nil && err != io.EOF {
		b.message.bodyBroken.Store(true)
	}
	return n, err
}

// Close implements io.Closer. The stream stays open: it belongs to the request that carries
// it.
func (b attemptStream) Close() error { return nil }
