package server

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Path prefixes of attempts on the peer port; the request's own path follows.
const (
	// gatedPath is for attempts whose body is sent when the owner asks for it.
	gatedPath = "/v1/withheld"
	// streamedPath is for attempts whose body follows at once and is streamed to the
	// worker.
	streamedPath = "/v1/attempt"
)

// AttemptPaths are the path prefixes that PeerHandler serves.
var AttemptPaths = []string{gatedPath + "/", streamedPath + "/"}

// PeerHandler serves attempts of other entry nodes.
type PeerHandler struct {
	Executor *Executor
	// BundleReported is called with the bundle version of each attempt; it must not
	// block.
	BundleReported func(from model.InstanceID, v model.BundleVersion)
	// RevisionReported is called with the directory revision of each attempt; it must not
	// block.
	RevisionReported func(from model.InstanceID, revision model.Revision)
	// Unreachable exchanges the ids of unreachable owners with peers; nil disables this.
	Unreachable *UnreachableOwners
	// Reservations takes measurements of reservations; nil disables them.
	Reservations ReservationRecorder
}

// ServeHTTP implements http.Handler.
func (p *PeerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer p.Executor.trackPeerAttempt()()
	// Nodes do not use each other's Date; a worker's own is passed on.
	w.Header()["Date"] = nil
	if !strings.HasPrefix(r.URL.Path, gatedPath) {
		p.serve(w, r, streamedPath)
		return
	}
	// A refusal is sent before the body, which the entry node then sends. Fails only for
	// a writer without a connection, as in tests.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if !p.serve(w, r, gatedPath) {
		drainRefused(w, r)
	}
}

// serve executes the attempt offered by a request to a path under prefix. It returns
// false if the attempt was refused, possibly before its body was read.
func (p *PeerHandler) serve(w http.ResponseWriter, r *http.Request, prefix string) bool {
	attempt, err := decodeOffer(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	deadline := time.Now().Add(min(attempt.Remaining, maxPeerTime))
	setReadDeadline(w, r, deadline)
	p.noteEntry(&attempt, r.Header)
	message := &AttemptMessage{
		Attempt:       attempt,
		Method:        r.Method,
		URL:           stripPrefix(r.URL, prefix),
		Host:          r.Host,
		Header:        endToEnd(r.Header),
		Body:          r.Body,
		ContentLength: r.ContentLength,
	}
	end, ok := p.receiveBody(w, r, message, prefix, deadline)
	defer end()
	if !ok {
		return false
	}
	result := p.Executor.Do(r.Context(), message)
	p.Unreachable.write(w.Header())
	identify(w, attempt.ID, &result.Report)
	if result.Response == nil {
		writeRefusal(w, result.Refusal)
		return false
	}
	wire.SetTimes(w.Header(), result.Times)
	setWriteDeadline(w, deadline)
	writeResponse(w, r, result.Response)
	return true
}

// errInvalidField is returned for an offer that would make an invalid request to the worker.
var errInvalidField = errors.New("bad offer: a field is no header value")

// decodeOffer returns the attempt that a request offers.
func decodeOffer(r *http.Request) (model.Attempt, error) {
	attempt, err := wire.DecodeOffer(r.Header.Get(wire.HeaderOffer))
	if err == nil && !validHeaderFields(&attempt) {
		err = errInvalidField
	}
	return attempt, err
}

// noteEntry passes on what an entry node tells with an attempt, whose header is h.
func (p *PeerHandler) noteEntry(a *model.Attempt, h http.Header) {
	p.BundleReported(a.ID.Entry, a.Bundle)
	p.RevisionReported(a.ID.Entry, model.Revision{Era: a.DirectoryEra, Number: a.DirectoryRevision})
	p.Unreachable.read(h)
}

// receiveBody prepares the body of an attempt: it receives a reserved body whole, buffers
// another one, and leaves that of a gated attempt with the entry node until it is fetched. ok
// is false if the attempt was refused. end must be called when the attempt has ended.
func (p *PeerHandler) receiveBody(w http.ResponseWriter, r *http.Request, m *AttemptMessage, prefix string, deadline time.Time) (end func(), ok bool) {
	if prefix == gatedPath {
		m.FetchBody = func() error { return fetchBody(w, r, m) }
		return func() {}, true
	}
	if end, reserved, err := p.receiveReserved(w, r, m, deadline); reserved {
		if err != nil {
			p.refuseTransfer(w, m, err)
		}
		return end, err == nil
	}
	if err := m.bufferBody(r); err != nil {
		writeRefusal(w, model.Refusal{Reason: model.ReasonCancelled, NotRun: true})
		return func() {}, false
	}
	return func() {}, true
}

// maxPeerTime bounds the duration of an attempt on the peer port.
const maxPeerTime = time.Hour

// validHeaderFields reports whether the fields that are sent to the worker as header
// values are valid. Otherwise net/http would refuse to send the request, which would look
// like an unreachable worker.
func validHeaderFields(a *model.Attempt) bool {
	for _, s := range []string{string(a.ID.Entry), string(a.Request), string(a.Class), string(a.Tenant)} {
		if !httpguts.ValidHeaderFieldValue(s) {
			return false
		}
	}
	return true
}

// stripPrefix removes the prefix of attempts from the path.
func stripPrefix(u *url.URL, prefix string) *url.URL {
	out := &url.URL{Path: strings.TrimPrefix(u.Path, prefix), RawQuery: u.RawQuery}
	if u.RawPath != "" {
		out.RawPath = strings.TrimPrefix(u.RawPath, prefix)
	}
	return out
}

func writeRefusal(w http.ResponseWriter, r model.Refusal) {
	wire.SetRefusal(w.Header(), r)
	status := http.StatusServiceUnavailable
	if !r.NotRun {
		status = http.StatusBadGateway
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// writeResponse streams resp, the response to r, to w. One that is cut off is aborted.
func writeResponse(w http.ResponseWriter, r *http.Request, resp *Response) {
	defer resp.Body.Close()
	copyInto(w.Header(), resp.Header)
	setLength(w.Header(), resp.Status, resp.ContentLength)
	w.WriteHeader(resp.Status)
	if err := copyFlushing(w, resp.Body); err != nil {
		abortResponse(w, r)
	}
}

// copyBufferSize is the size of the buffer of a streaming copy, in bytes.
const copyBufferSize = 32 << 10

// copyBuffers reuses buffers: allocated for each response, they made up over half of a
// node's allocations.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// copyFlushing copies src to w and flushes after each read, so that a slow response is
// passed on as it arrives.
func copyFlushing(w http.ResponseWriter, src io.Reader) error {
	control := http.NewResponseController(w)
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := src.Read(buf[:])
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if n > 0 {
			if ferr := control.Flush(); ferr != nil {
				return ferr
			}
		}
	}
}
