package server

import (
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

// Prefixes of attempts on the peer port; the request's own path follows.
const (
	// withheldPath is for attempts whose body leaves when the owner asks for it.
	withheldPath = "/v1/withheld"
	// streamedPath is for those whose body follows at once, as the worker reads it.
	streamedPath = "/v1/attempt"
)

// AttemptPaths are the prefixes of the paths that Peer serves.
var AttemptPaths = []string{withheldPath + "/", streamedPath + "/"}

// PeerHandler serves attempts of other entry nodes.
type PeerHandler struct {
	Executor *Executor
	// BundleReported is told the bundle version of each attempt; it does not block.
	BundleReported func(from model.InstanceID, v model.BundleVersion)
	// FreshnessReported is told the directory's revision on each attempt; it does not block.
	RevisionReported func(from model.InstanceID, revision uint64)
	// Unreachable carries which owners are out of reach; nil means that nothing is told.
	Unreachable *UnreachableOwners
}

// ServeHTTP implements http.Handler.
func (p *PeerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer p.Executor.hold()()
	// Nodes have no use for each other's date; a worker's own is passed on.
	w.Header()["Date"] = nil
	if !strings.HasPrefix(r.URL.Path, withheldPath) {
		p.serve(w, r, streamedPath)
		return
	}
	// A refusal goes out before the body, which the entry then lets go. Only a writer
	// without a connection, as in tests, refuses.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if !p.serve(w, r, withheldPath) {
		finishReading(w, r)
	}
}

// serve carries out the attempt that a message to a path under prefix offers; false means
// that it was refused, perhaps before its body was read.
func (p *PeerHandler) serve(w http.ResponseWriter, r *http.Request, prefix string) bool {
	attempt, err := wire.DecodeOffer(r.Header.Get(wire.HeaderOffer))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	if !fitsHeaders(&attempt) {
		http.Error(w, "bad offer: a field is no header value", http.StatusBadRequest)
		return false
	}
	deadline := time.Now().Add(min(attempt.Remaining, maxPeerTime))
	limitReading(w, r, deadline)
	p.BundleReported(attempt.ID.Entry, attempt.Bundle)
	p.RevisionReported(attempt.ID.Entry, attempt.DirectoryRevision)
	p.Unreachable.read(r.Header)
	work := &AttemptMessage{
		Attempt:       attempt,
		Method:        r.Method,
		URL:           ownPath(r.URL, prefix),
		Host:          r.Host,
		Header:        endToEnd(r.Header),
		Body:          r.Body,
		ContentLength: r.ContentLength,
	}
	if prefix == withheldPath {
		work.FetchBody = func() error { return claim(w, r, work) }
	} else if err := work.hold(r); err != nil {
		writeRefusal(w, model.Refusal{Reason: model.ReasonCancelled, NotRun: true})
		return false
	}
	result := p.Executor.Do(r.Context(), work)
	p.Unreachable.write(w.Header())
	w.Header().Set(wire.HeaderAttempt, attempt.ID.String())
	if report, err := wire.EncodeReport(&result.Report); err == nil {
		w.Header().Set(wire.HeaderReport, report)
	}
	if result.Response == nil {
		writeRefusal(w, result.Refusal)
		return false
	}
	wire.SetTimes(w.Header(), result.Times)
	limitWriting(w, deadline)
	sendAnswer(w, result.Response)
	return true
}

// maxPeerTime bounds an attempt's time on the peer port.
const maxPeerTime = time.Hour

// fitsHeaders reports whether the fields that go to the worker as header values
// are fit for that: net/http would refuse the request without sending it, as if
// the worker could not be reached.
func fitsHeaders(a *model.Attempt) bool {
	for _, s := range []string{string(a.ID.Entry), string(a.Request), string(a.Class), string(a.Tenant)} {
		if !httpguts.ValidHeaderFieldValue(s) {
			return false
		}
	}
	return true
}

// ownPath takes the attempt's prefix off.
func ownPath(u *url.URL, prefix string) *url.URL {
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

// sendAnswer streams a to w. A cut answer ends the connection, so that it is
// never taken for whole.
func sendAnswer(w http.ResponseWriter, a *Response) {
	defer a.Body.Close()
	copyInto(w.Header(), a.Header)
	setLength(w.Header(), a.Status, a.ContentLength)
	w.WriteHeader(a.Status)
	if err := copyFlushing(w, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyBuffer is the size of a streaming copy's buffer, in bytes.
const copyBuffer = 32 << 10

// copyBuffers holds buffers for reuse: made anew for each answer they were over half of all
// that a node allocates.
var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// copyFlushing copies src to w and flushes after each read, so that a slow
// answer is passed on as it comes.
func copyFlushing(w http.ResponseWriter, src io.Reader) error {
	control := http.NewResponseController(w)
	buf := copyBuffers.Get().(*[copyBuffer]byte)
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
