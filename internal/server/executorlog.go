package server

import (
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// refused logs the refusal of an attempt and returns it with the owner's report.
func (x *Executor) refused(m *AttemptMessage, r model.Refusal, offered time.Time) Result {
	now := time.Now()
	result := Result{Refusal: r, Report: x.report(now)}
	event.Log(x.requestLog, event.AttemptRefused).
		Str("request", string(m.Attempt.Request)).Str("attempt", m.Attempt.ID.String()).
		Str("class", string(m.Attempt.Class)).Str("reason", r.Reason.String()).Bool("not_run", r.NotRun).
		Int("waited_ms", now.Sub(offered).Milliseconds()).Int("left_ms", m.Attempt.Remaining.Milliseconds()).
		Int("retry_after_ms", r.RetryAfter.Milliseconds()).
		Int("running", int64(result.Report.InFlight)).Int("queued", int64(result.Report.Queued)).
		Int("limit", int64(result.Report.Limit)).Int("pace_percent", int64(result.Report.SlowdownPercent)).Send()
	return result
}

// report returns the owner's report with this node's directory freshness.
func (x *Executor) report(now time.Time) model.LoadReport {
	r := x.owner.Report(now)
	r.Directory = x.freshness()
	return r
}

// logEnd logs how an attempt ended at the worker; of a response only the header has
// arrived by then.
func (x *Executor) logEnd(m *AttemptMessage, r *Result) {
	status := 0
	if r.Response != nil {
		status = r.Response.Status
	}
	event.Log(x.requestLog, event.AttemptEnded).
		Str("request", string(m.Attempt.Request)).Str("attempt", m.Attempt.ID.String()).
		Str("class", string(m.Attempt.Class)).Str("reason", r.Refusal.Reason.String()).Bool("not_run", r.Refusal.NotRun).
		Int("status", int64(status)).Int("queued_ms", r.Times.Queued.Milliseconds()).
		Int("worker_ms", r.Times.Worker.Milliseconds()).Str("worker", string(x.worker())).
		Int("running", int64(r.Report.InFlight)).Int("queued", int64(r.Report.Queued)).
		Int("limit", int64(r.Report.Limit)).Int("pace_percent", int64(r.Report.SlowdownPercent)).Send()
}

// logInvalidResponse logs a response that does not belong to its attempt or cannot be passed
// on.
func (x *Executor) logInvalidResponse(m *AttemptMessage, w workerResponse, cause error) {
	event.Log(x.requestLog, event.ResponseInvalid).
		Str("request", string(m.Attempt.Request)).Str("attempt", m.Attempt.ID.String()).
		Str("class", string(m.Attempt.Class)).Str("echo", w.head.Echo.String()).
		Int("status", int64(w.StatusCode)).Int("length", w.ContentLength).Str("worker", string(x.worker())).
		Err(cause).Send()
}
