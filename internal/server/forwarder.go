package server

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/upstream"
	"gypsumstand/internal/wire"
)

// Forwarder sends attempts to the owners of other nodes.
type Forwarder struct {
	transport *http.Transport
	// probes opens a connection for each probe: one that is kept may be silent for
	// good while new ones work, or the other way round.
	probes *http.Transport
	scheme string
	// Unreachable carries which owners are out of reach; nil means that nothing is told. It is
	// set before the first use.
	Unreachable *UnreachableOwners
}

// PeerHeaderBytes bounds the headers that nodes add to a message between them,
// the offer and the report among them.
const PeerHeaderBytes = 2 * wire.MaxOfferBytes

// Settings of the transport between nodes.
const (
	// peerDialTimeout is some times the longest way between two regions (70 ms and
	// back); a machine without power answers nothing.
	peerDialTimeout = 400 * time.Millisecond
	// peerIdleTimeout keeps connections to the peers that are used all the time; each
	// costs both sides about 25 KB. It is far under DefaultIdleTimeout of the peer
	// port, so that the side that asks closes first.
	peerIdleTimeout = 3 * time.Second
	// peerSilence ends a connection to a machine that lost power or is cut off.
	peerSilence     = 3 * time.Second
	peerIdlePerHost = 32
	peerIdle        = 1024
	// peerMaxHeaderBytes is what the worker may send and what its owner adds.
	peerMaxHeaderBytes = 64<<10 + PeerHeaderBytes
	// peerContinueTimeout is longer than any wait in an owner's queue: a body
	// that streams is held back until the owner admits the attempt.
	peerContinueTimeout = time.Hour
)

// NewForwarder returns a forwarder; secured, when not nil, is the mutual TLS of
// the peers, and a nil dial means TCP. idle bounds the idle connections to all
// nodes together; zero means the default.
func NewForwarder(dial upstream.DialFunc, secured *tls.Config, idle int) *Forwarder {
	if idle == 0 {
		idle = peerIdle
	}
	t := upstream.NewTransport(upstream.Options{
		Dial: dial, MaxIdleConns: peerIdlePerHost,
		DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, AckTimeout: peerSilence,
	})
	t.MaxIdleConns = idle
	t.MaxResponseHeaderBytes = peerMaxHeaderBytes
	t.ExpectContinueTimeout = peerContinueTimeout
	t.TLSClientConfig = secured
	probes := upstream.NewTransport(upstream.Options{Dial: dial, DialTimeout: peerDialTimeout, AckTimeout: peerSilence})
	probes.DisableKeepAlives = true
	probes.TLSClientConfig = secured
	scheme := "http"
	if secured != nil {
		scheme = "https"
	}
	return &Forwarder{transport: t, probes: probes, scheme: scheme}
}

// Close closes idle connections.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

// ErrConnectionBroken says that the way to the owner broke after bytes had left.
var ErrConnectionBroken = errors.New("the way to the owner broke")

// Do sends the attempt to the owner at address. An error means ErrConnectionBroken; no
// connection, and an attempt that was withdrawn, are refusals that prove "not run".
// heard tells whether Report is the owner's.
func (f *Forwarder) Do(ctx context.Context, address string, w *AttemptMessage) (result Result, heard bool, err error) {
	offer, err := wire.EncodeOffer(&w.Attempt)
	if err != nil {
		return Result{Refusal: model.Refusal{Reason: model.ReasonBadRequest, NotRun: true}}, false, nil
	}
	if w.ContentLength > replayBytes || w.AcknowledgeBy.IsZero() {
		return f.do(f.streamed(ctx, address, w, offer), w, nil)
	}
	body := withhold(w.Body)
	ctx, end := withheldContext(ctx, body, w.AcknowledgeBy)
	result, heard, err = f.do(f.withheld(ctx, address, w, offer, body), w, body)
	if result.Response == nil {
		end()
		return result, heard, err
	}
	// The answer's body is read under the attempt's context.
	result.Response.Body = closing{result.Response.Body, end}
	return result, heard, err
}

// do carries out an attempt whose body is withheld; nil means that it leaves at once.
func (f *Forwarder) do(req *http.Request, w *AttemptMessage, body *withheldBody) (result Result, heard bool, err error) {
	var proof upstream.RequestTrace
	req = proof.Attach(req)
	upstream.PreventReplay(req)
	resp, err := f.transport.RoundTrip(req)
	switch {
	case err == nil:
		return f.read(w, resp, &proof)
	case proof.NotRun():
		return Result{Refusal: model.Refusal{Reason: unreached(err), NotRun: true}}, false, nil
	case body != nil && body.bar():
		return Result{Refusal: model.Refusal{Reason: model.ReasonNotAcknowledged, NotRun: true}}, false, nil
	}
	return Result{}, false, errors.Join(ErrConnectionBroken, err)
}

// ReachPath is where a node answers probes on its peer port.
const ReachPath = "/v1/reach"

// probeTimeout bounds a probe: some times the longest way between two regions (70 ms
// and back), for a connection and an answer.
const probeTimeout = 600 * time.Millisecond

// Probe asks the node at address for any answer, on a connection of its own. An error
// means that there was none within probeTimeout.
func (f *Forwarder) Probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.scheme+"://"+address+ReachPath, nil)
	if err != nil {
		return err
	}
	resp, err := f.probes.RoundTrip(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Get asks another node for what it tells on its peer port; most bounds the answer.
func (f *Forwarder) Get(ctx context.Context, address, path string, most int64) ([]byte, error) {
	return f.ask(ctx, http.MethodGet, address, path, nil, most)
}

// Post tells another node something on its peer port; most bounds the answer.
func (f *Forwarder) Post(ctx context.Context, address, path string, data []byte, most int64) ([]byte, error) {
	return f.ask(ctx, http.MethodPost, address, path, data, most)
}

func (f *Forwarder) ask(ctx context.Context, method, address, path string, data []byte, most int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, f.scheme+"://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	resp, err := f.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", path, resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, most+1))
}

// unreached tells an owner that is not there from one that cannot be reached.
func unreached(err error) model.Reason {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return model.ReasonOwnerAbsent
	}
	return model.ReasonWorkerUnreachable
}

// streamed makes the message of an attempt whose body is not withheld. A long one goes on
// from the caller to the worker as it comes, from the owner's start on.
func (f *Forwarder) streamed(ctx context.Context, address string, w *AttemptMessage, offer string) *http.Request {
	req := f.request(ctx, address, streamedPath, w, offer)
	if w.ContentLength > replayBytes {
		req.Header.Set("Expect", "100-continue")
	}
	return req
}

// withheld makes the message of an attempt whose body leaves when the owner asks for it.
// One without a body ends with an empty chunk, which is withheld in its place.
func (f *Forwarder) withheld(ctx context.Context, address string, w *AttemptMessage, offer string, body *withheldBody) *http.Request {
	req := f.request(ctx, address, withheldPath, w, offer)
	req.Body = body
	if req.ContentLength <= 0 {
		req.ContentLength = -1
		req.TransferEncoding = []string{"chunked"}
	}
	return body.attach(req)
}

func (f *Forwarder) request(ctx context.Context, address, prefix string, w *AttemptMessage, offer string) *http.Request {
	u := &url.URL{Scheme: f.scheme, Host: address, Path: prefix + w.URL.Path, RawQuery: w.URL.RawQuery}
	if w.URL.RawPath != "" {
		u.RawPath = prefix + w.URL.RawPath
	}
	req := w.request(ctx, u)
	req.Header.Set(wire.HeaderOffer, offer)
	f.Unreachable.write(req.Header)
	return req
}

// read takes the owner's word from the answer's head.
func (f *Forwarder) read(w *AttemptMessage, resp *http.Response, proof *upstream.RequestTrace) (Result, bool, error) {
	if resp.Header.Get(wire.HeaderAttempt) != w.Attempt.ID.String() || upstream.CheckFraming(resp, w.Method) != nil {
		proof.CloseConn()
		resp.Body.Close()
		return Result{}, false, ErrConnectionBroken
	}
	f.Unreachable.read(resp.Header)
	var result Result
	report, err := wire.DecodeReport(resp.Header.Get(wire.HeaderReport))
	heard := err == nil
	result.Report = report
	refusal, refused, err := wire.ReadRefusal(resp.Header)
	if err != nil {
		resp.Body.Close()
		return result, heard, errors.Join(ErrConnectionBroken, err)
	}
	if refused {
		resp.Body.Close()
		result.Refusal = refusal
		return result, heard, nil
	}
	result.Times = wire.ReadTimes(resp.Header)
	result.Response = &Response{Status: resp.StatusCode, Header: endToEnd(resp.Header), ContentLength: resp.ContentLength, Body: resp.Body}
	return result, heard, nil
}
