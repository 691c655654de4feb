// Package dialect holds the seam between this system and those it speaks HTTP
// with: how callers name what they ask for and are told how it ended, and how
// workers are given an attempt and say what became of it. Product is this system's
// own; an adapter brings another. A dialect reads and writes; it decides nothing.
package dialect

import (
	"net/http"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Callers is how callers and entry nodes speak. Its methods are called for each
// request, by many goroutines at once, and do not block.
type Callers interface {
	// ReadRequest returns what a request's header asks for. An error names the header at
	// fault, for the caller to read.
	ReadRequest(h http.Header) (wire.CallerHeaders, error)
	// PrepareForward changes the header that goes on to the worker: h is a copy of the
	// caller's end-to-end fields, remote the caller's "ip:port".
	PrepareForward(h http.Header, remote string)
	// AnnotateResponse adds to the header of a worker's answer.
	AnnotateResponse(h http.Header, e Result)
	// WriteFailure writes the header of an outcome without a worker's answer; request is
	// the caller's header.
	WriteFailure(h, request http.Header, e Result)
}

// Result is how a call ended, for its caller.
type Result struct {
	Outcome model.Outcome
	Reason  model.Reason
	// RetryAfter is the advice to come back; zero means none.
	RetryAfter time.Duration
	// Upstream is the last instance that the request was sent to, and Bundle the
	// version it was decided under; empty when there was none.
	Upstream model.InstanceID
	Bundle   model.BundleVersion
}

// Workers is how an owner and its worker speak. Its methods are called by many
// goroutines at once and do not block.
type Workers interface {
	// PrepareAttempt writes the header fields of an attempt. worker is the worker's
	// present life, empty when none is known.
	PrepareAttempt(h http.Header, a *model.Attempt, worker model.WorkerID)
	// ReadResponse reads the head of an answer to a.
	ReadResponse(resp *http.Response, a *model.Attempt) ResponseHead
	// ReadHealth reads an answer of the worker's health path.
	ReadHealth(resp *http.Response, body []byte) WorkerHealth
	// AcceptsCloseDelimited tells whether an answer with neither a length nor chunks
	// is whole when its connection ends in order, without a reset.
	AcceptsCloseDelimited() bool
}

// Echo tells whether an answer names the attempt that it belongs to.
type Echo uint8

// The echoes.
const (
	// EchoAbsent: the answer names no attempt.
	EchoAbsent Echo = iota
	// EchoMatch: it names this one.
	EchoMatch
	// EchoMismatch: it names another, or several.
	EchoMismatch
)

// ResponseHead is what the head of a worker's answer says.
type ResponseHead struct {
	Echo Echo
	// NotRun: the worker says that it did not run the attempt and never will.
	NotRun bool
	// Refusal is the reason of a refusal with NotRun.
	Refusal model.Reason
	// RetryAfter is the worker's advice to come back; zero means none.
	RetryAfter time.Duration
	Load       WorkerLoad
	// Worker is the worker that answers, where a refusal says; empty otherwise.
	Worker model.WorkerID
}

// WorkerHealth is what an answer of the health path says.
type WorkerHealth struct {
	// OK: the worker takes work. Leaving: it drains.
	OK, Leaving bool
	// Worker is the life that answered, empty when it does not say.
	Worker model.WorkerID
	Load   WorkerLoad
	// Warming is for how much longer the worker bears only a part of its usual load; zero
	// for not.
	Warming time.Duration
}

// WorkerLoad is a worker's own word about its load.
type WorkerLoad struct {
	// Known tells whether there was one.
	Known bool
	// Running and Waiting count requests at the worker, Slots how many it runs at
	// once.
	Running, Waiting, Slots int
	// Slowdown is how long work takes on its machine at this moment, 1 as usual; 0
	// when it does not say.
	Slowdown float64
}

// roomyShare is the part of the slots under which a worker that refuses does so for
// another reason than load.
const roomyShare = 0.75

// HasSpareSlots tells whether the worker says that it has slots to spare.
func (l WorkerLoad) HasSpareSlots() bool {
	return l.Known && l.Waiting == 0 && float64(l.Running) < roomyShare*float64(l.Slots)
}
