package server

import (
	"net/http"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/running"
	"gypsumstand/internal/wire"
)

// ParentKind tells whether a request is a call that a worker makes for a run, its parent.
type ParentKind uint8

// The kinds.
const (
	// ParentNone: the request names no parent, or the bundle needs none.
	ParentNone ParentKind = iota
	// ParentRunning: the parent runs at this node's own worker.
	ParentRunning
	// ParentUnknown: no such run is at the worker, as it has ended or never was there.
	ParentUnknown
	// ParentMalformed: the parent's id could not be parsed.
	ParentMalformed
)

var parentKindNames = [...]string{"none", "running", "unknown", "malformed"}

// String returns the label form of k.
func (k ParentKind) String() string {
	if int(k) < len(parentKindNames) {
		return parentKindNames[k]
	}
	return "invalid"
}

// workerCall is a request as a call of a run of the own worker. The zero value is a request
// of another caller.
type workerCall struct {
	kind ParentKind
	// call and parent are valid if kind is ParentRunning.
	call   *running.Call
	parent entry.Parent
	// inherits reports that the bundle gives the call its parent's priority and deadline.
	inherits bool
}

// beginWorkerCall looks up the run for which the request is made. It does nothing unless
// the bundle that governs the request's service enables inheritance, or admission by
// outcome, which does not refuse calls.
func (c *CallerHandler) beginWorkerCall(now time.Time, h wire.CallerHeaders, t bundle.Target) workerCall {
	a := t.Bundle.Admission
	if !a.InheritPriority && !a.ByOutcome || c.Executor == nil {
		return workerCall{}
	}
	if h.MalformedParent {
		return workerCall{kind: ParentMalformed}
	}
	hint := running.Hint{Attempt: h.ParentAttempt, Request: h.ParentRequest}
	if hint.IsZero() {
		return workerCall{}
	}
	call := c.Executor.runs.BeginCall(now, hint)
	if call == nil {
		return workerCall{kind: ParentUnknown}
	}
	return workerCall{
		kind: ParentRunning, call: call, parent: c.parentOf(call.Parent()), inherits: a.InheritPriority,
	}
}

// parentOf returns what a call of r inherits: the priority that r inherited itself, else
// that of its class.
func (c *CallerHandler) parentOf(r running.Run) entry.Parent {
	p := entry.Parent{Deadline: r.Deadline}
	if r.Inherited > 0 {
		p.Priority, p.HasPriority = int(r.Inherited)-1, true
		return p
	}
	_, b := c.Board.Bundles.Get().Service(c.Service)
	if b == nil {
		return p
	}
	if class := b.Class(r.Class); class != nil {
		p.Priority, p.HasPriority = class.Priority, true
	}
	return p
}

// inherit marks the request, which arrived at now, as a call, and applies the parent's
// priority and deadline to it if the bundle enables that.
func (w workerCall) inherit(r *entry.Request, now time.Time) {
	switch {
	case w.kind != ParentRunning:
	case w.inherits:
		r.Inherit(now, w.parent)
	default:
		r.WorkerCall = true
	}
}

// end records the end of the call, before the worker gets its response; see
// running.Call.End.
func (w workerCall) end(served bool) { w.call.End(served) }

// log adds the parent's request id and the inherited priority to a line, where there is a
// parent.
func (w workerCall) log(line *event.Line) {
	if w.kind != ParentRunning {
		return
	}
	line.Str("parent", string(w.call.Parent().Request))
	if w.inherits && w.parent.HasPriority {
		line.Int("inherited_priority", int64(w.parent.Priority))
	}
}

// servesCall reports whether a call that ends with step says nothing about the load of the
// called service: it got a response, or was refused for a reason that lower load would not
// change.
func servesCall(step entry.Step) bool {
	if step.Outcome == model.OutcomeAnswered {
		return true
	}
	switch step.Reason {
	case model.ReasonBadRequest, model.ReasonNoRoute, model.ReasonBodyTooLarge, model.ReasonTenantLimit,
		model.ReasonRegion, model.ReasonEvacuated, model.ReasonQuarantined, model.ReasonDeferred,
		model.ReasonDuplicateRunning, model.ReasonDuplicateDone:
		return true
	}
	return false
}

// trackRun records that an attempt runs at the worker from the given time on.
func (x *Executor) trackRun(a *model.Attempt, started time.Time) {
	x.runs.Add(running.Run{
		Attempt: a.ID, Request: a.Request, Class: a.Class, Inherited: a.InheritedPriority,
		Deadline: started.Add(a.Remaining),
	})
}

// endRun records the end of a run. It reports whether the worker responded with a server
// error, and not with a refusal, after a call of the run got no response.
func (x *Executor) endRun(id model.AttemptID, c *owner.Completion) bool {
	run, unserved, ok := x.runs.Remove(id)
	if !ok || !unserved || c.NotRun || c.Status < http.StatusInternalServerError {
		return false
	}
	// A name that the bundle does not have is counted as empty, so that the counters stay
	// bounded: it comes from another node.
	class := run.Class
	if !x.owner.KnowsClass(class) {
		class = ""
	}
	x.runs.RecordCallRefused(class)
	event.Log(x.requestLog, event.RunCallRefused).
		Str("request", string(run.Request)).Str("attempt", id.String()).Str("class", string(run.Class)).
		Int("status", int64(c.Status)).Send()
	return true
}

// CallRefusedRuns returns, by class, the number of runs that failed after a call that the
// worker made for them got no response.
func (x *Executor) CallRefusedRuns() map[model.ClassName]uint64 { return x.runs.CallRefused() }
