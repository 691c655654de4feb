package owner

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

func TestAnnouncedLeavingIsFinalForThatWorker(t *testing.T) {
	r := newRig(t, testService())
	r.o.SetWorker(r.now, "w1")
	running := r.fill(2)
	queued := r.attempt()
	queued.Remaining = 10 * time.Second
	r.want(r.offer(queued), enqueued)
	if !r.o.ObserveLeaving(r.now, "w1") || r.o.ObserveLeaving(r.now, "w1") {
		t.Error("the announcement is not reported as new once")
	}
	r.want(r.offer(r.attempt()), refused(model.ReasonLeaving, true))
	if report := r.o.Report(r.now); report.State != model.StateLeaving || report.LeavingWorker != "w1" {
		t.Errorf("reported as %s, leaving worker %q", report.State, report.LeavingWorker)
	}
	r.wantDecisions(r.tick(withdrawnQueue), refuseDecision(queued, model.ReasonLeaving))
	for _, a := range running {
		r.finish(a, Completion{ServiceTime: time.Millisecond, Status: 200})
	}
	r.o.SetWithdrawn(r.now, false)
	r.want(r.offer(r.attempt()), refused(model.ReasonLeaving, true))
	r.o.SetWorker(r.now, "w2")
	r.fill(1)
	r.o.ObserveLeaving(r.now, "w2")
	r.o.ObserveLeaving(r.now, "w1")
	r.want(r.offer(r.attempt()), refused(model.ReasonLeaving, true))
}
