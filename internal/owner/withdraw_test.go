package owner

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

func TestAnUpstreamThatTheListSaysLeavesAdmitsNothingNew(t *testing.T) {
	r := newRig(t, testService())
	running := r.fill(2)
	queued := r.attempt()
	r.want(r.offer(queued), waits)
	r.o.Withdraw(r.now, true)
	r.want(r.offer(r.attempt()), refused(model.ReasonLeaving, true))
	if got := r.o.Report(r.now).State; got != model.StateLeaving {
		t.Errorf("reported as %v", got)
	}
	// What was admitted is finished.
	r.pass(10 * time.Millisecond)
	r.wantDecisions(r.finish(running[0], Finish{ServiceTime: 10 * time.Millisecond, Status: 200}), Decision{Attempt: queued.ID, Verdict: Start})
	r.o.Withdraw(r.now, false)
	r.pass(10 * time.Millisecond)
	r.finish(running[1], Finish{ServiceTime: 10 * time.Millisecond, Status: 200})
	r.want(r.offer(r.attempt()), started)
}
