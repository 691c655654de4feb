package server

import (
	"bytes"
	"io"
	"sync"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/quarantine"
)

// fingerprinter computes a request's fingerprint on demand. A buffered body is hashed
// when the fingerprint is first needed; the beginning of a long, streamed body is hashed
// as it passes.
type fingerprinter struct {
	message *AttemptMessage
	// hostOfRoute returns the host of the route, or empty if the route is for any host.
	hostOfRoute func(host, method, path string) string
	// cached is the fingerprint once it has been computed.
	cached model.Fingerprint
	// decision is the quarantine's last decision.
	decision quarantine.Decision
	// stream hashes a streamed body; nil for others.
	stream *hashingBody
}

// newFingerprinter prepares hashing of the message's body if it is streamed, and must
// therefore be called before the body is read.
func (x *Executor) newFingerprinter(w *AttemptMessage) *fingerprinter {
	c := &fingerprinter{message: w, hostOfRoute: x.routeHost}
	if w.Body != nil && w.ContentLength > maxBufferedBody {
		hash := model.NewFingerprintHash(w.Method, c.routeHost(), w.URL, w.Attempt.Tenant, w.ContentLength)
		c.stream = &hashingBody{ReadCloser: w.Body, hash: hash, remaining: maxBufferedBody}
		w.Body = c.stream
	}
	return c
}

func (c *fingerprinter) routeHost() string {
	return c.hostOfRoute(c.message.Host, c.message.Method, c.message.URL.Path)
}

// fingerprint returns the request's fingerprint. For a streamed body it covers the length
// and the beginning, and is zero until the beginning has passed.
func (c *fingerprinter) fingerprint() model.Fingerprint {
	if !c.cached.IsZero() {
		return c.cached
	}
	if c.stream != nil {
		c.cached = c.stream.fingerprint()
		return c.cached
	}
	w := c.message
	c.cached = model.NewFingerprint(w.Method, c.routeHost(), w.URL, w.Attempt.Tenant, w.ContentLength, w.BufferedBody)
	return c.cached
}

// maxLabel bounds the description of a request for operators, in bytes.
const maxLabel = 160

// label describes the request for operators. It leaves out query and body, which may be
// confidential.
func (c *fingerprinter) label() string {
	text := c.message.Method + " " + c.message.Host + c.message.URL.EscapedPath()
	return text[:min(len(text), maxLabel)]
}

// run describes a run of the request that started at the given time.
func (c *fingerprinter) run(began time.Time) quarantine.Run {
	return quarantine.Run{
		Content: c.fingerprint(), Label: c.label(), Started: began,
		AlreadySuspect: c.message.Attempt.Crashes > 0 || c.decision.Crashes > 0, Trial: c.decision.Trial,
	}
}

// complete reports whether everything that the fingerprint covers has been received.
func (c *fingerprinter) complete() bool { return c.message.FetchBody == nil && c.stream == nil }

// readPrefix reads the part of a streamed body that the fingerprint covers.
func (c *fingerprinter) readPrefix() error {
	if c.stream == nil {
		return nil
	}
	head := make([]byte, maxBufferedBody)
	if _, err := io.ReadFull(c.stream, head); err != nil {
		return err
	}
	c.message.Body = readCloser{io.MultiReader(bytes.NewReader(head), c.stream), c.stream}
	return nil
}

// readCloser combines a Reader and a Closer.
type readCloser struct {
	io.Reader
	io.Closer
}

// hashingBody hashes the beginning of a body while a single goroutine reads it.
type hashingBody struct {
	io.ReadCloser

	mu   sync.Mutex
	hash model.FingerprintHash
	// remaining is the number of bytes still to be hashed.
	remaining int
}

// Read implements io.Reader.
func (b *hashingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	part := min(n, b.remaining)
	_, _ = b.hash.Write(p[:part])
	b.remaining -= part
	return n, err
}

func (b *hashingBody) fingerprint() model.Fingerprint {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining > 0 {
		return model.Fingerprint{}
	}
	return b.hash.Sum()
}
