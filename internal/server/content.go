package server

import (
	"bytes"
	"io"
	"sync"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/quarantine"
)

// content finds a request's fingerprint. Nothing is hashed of a body that is here until
// somebody asks; of a long one that streams, its beginning is hashed as it passes.
type content struct {
	work *AttemptMessage
	// host is the route's, empty for a route for any host.
	host func(host, method, path string) string
	// known is the fingerprint once it was asked for.
	known model.Fingerprint
	// verdict is what the quarantine said last.
	verdict quarantine.Decision
	// passing is the hash of a body that streams; nil for others.
	passing *passingBody
}

// contentOf watches the work's body where it streams. It must come before the body is read.
func (x *Executor) contentOf(w *AttemptMessage) *content {
	c := &content{work: w, host: x.routeHost}
	if w.Body != nil && w.ContentLength > replayBytes {
		hash := model.NewFingerprintHash(w.Method, c.routeHost(), w.URL, w.Attempt.Tenant, w.ContentLength)
		c.passing = &passingBody{ReadCloser: w.Body, hash: hash, left: replayBytes}
		w.Body = c.passing
	}
	return c
}

func (c *content) routeHost() string {
	return c.host(c.work.Host, c.work.Method, c.work.URL.Path)
}

// fingerprint returns the request's fingerprint. That of a body that streams is of its
// length and its beginning, and zero before that has passed.
func (c *content) fingerprint() model.Fingerprint {
	if !c.known.IsZero() {
		return c.known
	}
	if c.passing != nil {
		c.known = c.passing.fingerprint()
		return c.known
	}
	w := c.work
	c.known = model.NewFingerprint(w.Method, c.routeHost(), w.URL, w.Attempt.Tenant, w.ContentLength, w.BufferedBody)
	return c.known
}

// maxLabel bounds what people are shown of a request, in bytes.
const maxLabel = 160

// label says what the request asks for; its query and body may hold what is nobody's
// business.
func (c *content) label() string {
	text := c.work.Method + " " + c.work.Host + c.work.URL.EscapedPath()
	return text[:min(len(text), maxLabel)]
}

// run tells of a run that began at that time.
func (c *content) run(began time.Time) quarantine.Run {
	return quarantine.Run{
		Content: c.fingerprint(), Label: c.label(), Started: began,
		AlreadySuspect: c.work.Attempt.Crashes > 0 || c.verdict.Crashes > 0, Trial: c.verdict.Trial,
	}
}

// here tells whether all is here that the fingerprint is made of.
func (c *content) here() bool { return c.work.FetchBody == nil && c.passing == nil }

// readAhead takes in the part of a body that streams which the fingerprint is made of.
func (c *content) readAhead() error {
	if c.passing == nil {
		return nil
	}
	head := make([]byte, replayBytes)
	if _, err := io.ReadFull(c.passing, head); err != nil {
		return err
	}
	c.work.Body = joined{io.MultiReader(bytes.NewReader(head), c.passing), c.passing}
	return nil
}

// joined reads from one and closes the other.
type joined struct {
	io.Reader
	io.Closer
}

// passingBody hashes the beginning of a body as it is read, by one reader at a time.
type passingBody struct {
	io.ReadCloser

	mu   sync.Mutex
	hash model.FingerprintHash
	// left is how many bytes the hash still takes.
	left int
}

// Read implements io.Reader.
func (b *passingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	part := min(n, b.left)
	_, _ = b.hash.Write(p[:part])
	b.left -= part
	return n, err
}

func (b *passingBody) fingerprint() model.Fingerprint {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left > 0 {
		return model.Fingerprint{}
	}
	return b.hash.Sum()
}
