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
	// lease is the request's lease, if it holds one.
	lease *quarantine.Lease
	// decision is the quarantine's last decision.
	decision quarantine.Decision
	// stream hashes a streamed body; nil for others.
	stream *hashingBody
}

// newFingerprinter prepares hashing of the message's body if it is streamed, and must
// therefore be called before the body is read.
func (x *Executor) newFingerprinter(m *AttemptMessage) *fingerprinter {
	fp := &fingerprinter{message: m, hostOfRoute: x.routeHost}
	if m.Body != nil && m.isStreamed() {
		hash := model.NewFingerprintHash(m.Method, fp.routeHost(), m.URL, m.Attempt.Tenant, m.ContentLength)
		fp.stream = &hashingBody{ReadCloser: m.Body, hash: hash, remaining: maxBufferedBody}
		m.Body = fp.stream
	}
	return fp
}

func (fp *fingerprinter) routeHost() string {
	return fp.hostOfRoute(fp.message.Host, fp.message.Method, fp.message.URL.Path)
}

// fingerprint returns the request's fingerprint. For a streamed body it covers the length
// and the beginning, and is zero until the beginning has passed.
func (fp *fingerprinter) fingerprint() model.Fingerprint {
	if !fp.cached.IsZero() {
		return fp.cached
	}
	if fp.stream != nil {
		fp.cached = fp.stream.fingerprint()
		return fp.cached
	}
	m := fp.message
	fp.cached = model.NewFingerprint(m.Method, fp.routeHost(), m.URL, m.Attempt.Tenant, m.ContentLength, m.BufferedBody)
	return fp.cached
}

// maxLabel bounds the description of a request for operators, in bytes.
const maxLabel = 160

// label describes the request for operators. It leaves out query and body, which may be
// confidential.
func (fp *fingerprinter) label() string {
	text := fp.message.Method + " " + fp.message.Host + fp.message.URL.EscapedPath()
	return text[:min(len(text), maxLabel)]
}

// run describes a run of the request that started at the given time.
func (fp *fingerprinter) run(began time.Time) quarantine.Run {
	return quarantine.Run{
		Content: fp.fingerprint(), Label: fp.label(), Started: began,
		AlreadySuspect: fp.message.Attempt.Crashes > 0 || fp.decision.Crashes > 0, Trial: fp.decision.Trial,
	}
}

// complete reports whether everything that the fingerprint covers has been received.
func (fp *fingerprinter) complete() bool {
	withheld := fp.message.FetchBody != nil && fp.message.ContentLength != 0
	return !withheld && fp.stream == nil
}

// readPrefix reads the part of a streamed body that the fingerprint covers.
func (fp *fingerprinter) readPrefix() error {
	if fp.stream == nil {
		return nil
	}
	head := make([]byte, maxBufferedBody)
	if _, err := io.ReadFull(fp.stream, head); err != nil {
		return err
	}
	fp.message.Body = readCloser{io.MultiReader(bytes.NewReader(head), fp.stream), fp.stream}
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
