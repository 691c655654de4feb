package server

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"gypsumstand/internal/fetch"
	"gypsumstand/internal/model"
	"gypsumstand/internal/upstream"
	"gypsumstand/internal/wire"
)

// Forwarder sends attempts and messages to other nodes.
type Forwarder struct {
	transport *http.Transport
	// probes opens a new connection for each probe: a kept connection may be dead while
	// new ones work, or the reverse.
	probes *http.Transport
	scheme string
	// Unreachable exchanges the ids of unreachable owners with peers; nil disables this.
	// It must be set before the first use.
	Unreachable *UnreachableOwners
}

// PeerHeaderBytes bounds the headers that nodes add to a message between them, including
// the offer and the report.
const PeerHeaderBytes = 2 * wire.MaxOfferBytes

// Settings of the transport between nodes.
const (
	// peerDialTimeout is several times the longest round trip between two regions
	// (70 ms). A machine without power does not reply at all.
	peerDialTimeout = 400 * time.Millisecond
	// peerIdleTimeout is long enough to keep connections to peers in constant use; each
	// connection costs both sides about 25 KB. It is far below DefaultIdleTimeout of the
	// peer port, so that the requesting side closes first.
	peerIdleTimeout = 3 * time.Second
	// peerAckTimeout ends a connection to a machine that lost power or is cut off from the
	// network.
	peerAckTimeout  = 3 * time.Second
	peerIdlePerHost = 32
	peerIdle        = 1024
	// peerMaxHeaderBytes is what a worker may send plus what its owner adds.
	peerMaxHeaderBytes = 64<<10 + PeerHeaderBytes
	// peerContinueTimeout is longer than any wait in an owner's queue: a streamed body is
	// not sent until the owner admits the attempt.
	peerContinueTimeout = time.Hour
)

// NewForwarder returns a Forwarder. secured is the mutual TLS between nodes and may be
// nil, a nil dial means TCP, and idle bounds the idle connections to all nodes together;
// zero means the default.
func NewForwarder(dial upstream.DialFunc, secured *tls.Config, idle int) *Forwarder {
	if idle == 0 {
		idle = peerIdle
	}
	t := upstream.NewTransport(upstream.Options{
		Dial: dial, MaxIdleConns: peerIdlePerHost,
		DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, AckTimeout: peerAckTimeout,
	})
	t.MaxIdleConns = idle
	t.MaxResponseHeaderBytes = peerMaxHeaderBytes
	t.ExpectContinueTimeout = peerContinueTimeout
	t.TLSClientConfig = secured
	probes := upstream.NewTransport(upstream.Options{Dial: dial, DialTimeout: peerDialTimeout, AckTimeout: peerAckTimeout})
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

// ErrConnectionBroken is returned if the connection to the owner broke after bytes had
// been sent.
var ErrConnectionBroken = errors.New("connection to the owner broke")

// Do sends the attempt to the owner at address. An error wraps ErrConnectionBroken. A
// failed connection and a withdrawn attempt are not errors but refusals that guarantee
// "not run". reported reports whether Result.Report comes from the owner. A body that needs
// a reservation is sent only after the owner has granted it.
func (f *Forwarder) Do(ctx context.Context, address string, m *AttemptMessage) (result Result, reported bool, err error) {
	if m.Reserve {
		return f.doReserved(ctx, address, m)
	}
	offer, err := wire.EncodeOffer(&m.Attempt)
	if err != nil {
		return Result{Refusal: model.Refusal{Reason: model.ReasonBadRequest, NotRun: true}}, false, nil
	}
	if m.isStreamed() || m.AcknowledgeBy.IsZero() {
		return f.do(f.streamedRequest(ctx, address, m, offer), m, nil)
	}
	body := newGatedBody(m.Body)
	ctx, end := gatedContext(ctx, body, m.AcknowledgeBy)
	result, reported, err = f.do(f.gatedRequest(ctx, address, m, offer, body), m, body)
	if result.Response == nil {
		end()
		return result, reported, err
	}
	// The response body is read under the attempt's context.
	result.Response.Body = cancelOnClose{result.Response.Body, end}
	return result, reported, err
}

// do executes an attempt; body is nil if the request body is sent at once.
func (f *Forwarder) do(req *http.Request, m *AttemptMessage, body *gatedBody) (result Result, reported bool, err error) {
	var trace upstream.RequestTrace
	req = trace.Attach(req)
	upstream.PreventReplay(req)
	resp, err := f.transport.RoundTrip(req)
	switch {
	case err == nil:
		return f.read(m, resp, &trace)
	case trace.NotRun():
		return Result{Refusal: model.Refusal{Reason: connectFailure(err), NotRun: true}}, false, nil
	case body != nil && body.withdraw():
		return Result{Refusal: model.Refusal{Reason: model.ReasonNotAcknowledged, NotRun: true}}, false, nil
	}
	return Result{}, false, errors.Join(ErrConnectionBroken, err)
}

// ReachPath is the path of probes on the peer port.
const ReachPath = "/v1/reach"

// probeTimeout bounds a probe, including the connection: several times the longest round
// trip between two regions (70 ms).
const probeTimeout = 600 * time.Millisecond

// Probe sends the node at address a request over a new connection. Any response is a
// success; the error reports that there was none within probeTimeout.
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

// Get requests data from another node's peer port. It reads one byte more than limit,
// so that the caller can detect a longer response.
func (f *Forwarder) Get(ctx context.Context, address, path string, limit int64) ([]byte, error) {
	return f.fetch(ctx, http.MethodGet, address, path, nil, limit, nil)
}

// GetSteady is Get for a response that may take long: it fails as fetch.GetSteady does.
func (f *Forwarder) GetSteady(ctx context.Context, address, path string, limit int64) ([]byte, error) {
	ctx, progress := fetch.CancelOnStall(ctx)
	defer progress.Stop()
	return f.fetch(ctx, http.MethodGet, address, path, nil, limit, progress)
}

// Post sends data to another node's peer port and returns the response body, read as in
// Get.
func (f *Forwarder) Post(ctx context.Context, address, path string, data []byte, limit int64) ([]byte, error) {
	return f.fetch(ctx, http.MethodPost, address, path, data, limit, nil)
}

// fetch sends a request and reads the response body; progress may be nil.
func (f *Forwarder) fetch(ctx context.Context, method, address, path string, data []byte, limit int64, progress *fetch.Progress) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, f.scheme+"://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	resp, err := f.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if err := upstream.CheckHead(resp); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", path, resp.Status)
	}
	return io.ReadAll(io.LimitReader(progress.Reader(resp.Body), limit+1))
}

// connectFailure distinguishes an owner that is not running from one that cannot be
// reached.
func connectFailure(err error) model.Reason {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return model.ReasonOwnerAbsent
	}
	return model.ReasonWorkerUnreachable
}

// streamedRequest returns the request of an attempt whose body is sent without waiting
// for a reply, or, if it is long, streamed from the caller to the worker once the owner
// starts the attempt.
func (f *Forwarder) streamedRequest(ctx context.Context, address string, m *AttemptMessage, offer string) *http.Request {
	req := f.request(ctx, address, streamedPath, m, offer)
	if m.isStreamed() {
		req.Header.Set("Expect", "100-continue")
	}
	return req
}

// gatedRequest returns the request of an attempt whose body is sent when the owner asks
// for it. An empty body is sent chunked, so that its final empty chunk can be held back
// instead.
func (f *Forwarder) gatedRequest(ctx context.Context, address string, m *AttemptMessage, offer string, body *gatedBody) *http.Request {
	req := f.request(ctx, address, gatedPath, m, offer)
	req.Body = body
	if req.ContentLength <= 0 {
		req.ContentLength = -1
		req.TransferEncoding = []string{"chunked"}
	}
	return body.attach(req)
}

func (f *Forwarder) request(ctx context.Context, address, prefix string, m *AttemptMessage, offer string) *http.Request {
	u := &url.URL{Scheme: f.scheme, Host: address, Path: prefix + m.URL.Path, RawQuery: m.URL.RawQuery}
	if m.URL.RawPath != "" {
		u.RawPath = prefix + m.URL.RawPath
	}
	req := m.request(ctx, u)
	req.Header.Set(wire.HeaderOffer, offer)
	f.Unreachable.write(req.Header)
	return req
}

// checkPeerResponse returns an error unless resp is another node's response to the attempt of m.
func checkPeerResponse(m *AttemptMessage, resp *http.Response) error {
	if resp.Header.Get(wire.HeaderAttempt) != m.Attempt.ID.String() {
		return errOtherAttempt
	}
	return upstream.CheckHead(resp)
}

// errOtherAttempt is the error of a response that names another attempt or none.
var errOtherAttempt = errors.New("response names another attempt or none")

// read evaluates the header of the owner's response.
func (f *Forwarder) read(m *AttemptMessage, resp *http.Response, trace *upstream.RequestTrace) (Result, bool, error) {
	if err := cmp.Or(checkPeerResponse(m, resp), upstream.CheckFraming(resp, m.Method)); err != nil {
		trace.CloseConn()
		resp.Body.Close()
		return Result{}, false, errors.Join(ErrConnectionBroken, err)
	}
	f.Unreachable.read(resp.Header)
	var result Result
	report, err := wire.DecodeReport(resp.Header.Get(wire.HeaderReport))
	reported := err == nil
	result.Report = report
	refusal, refused, err := wire.ReadRefusal(resp.Header)
	if err != nil {
		resp.Body.Close()
		return result, reported, errors.Join(ErrConnectionBroken, err)
	}
	if refused {
		resp.Body.Close()
		result.Refusal = refusal
		return result, reported, nil
	}
	result.Times = wire.ReadTimes(resp.Header)
	result.Response = &Response{
		Status: resp.StatusCode, Header: endToEnd(resp.Header), ContentLength: resp.ContentLength, Body: resp.Body,
	}
	return result, reported, nil
}
