package owner

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// slowestNews is the time in which a change of the directory reaches every node that it
// serves: the interval between two readings (0.8 s), the first one after it (0.4 s in 98
// of 100 cases), and the way to every node (0.3 s). See package directory.
const slowestNews = 1500 * time.Millisecond

// newWorkAfterLeave is the shortest time that a deployment gives for work to stop going
// to a worker that leaves.
const newWorkAfterLeave = 2 * time.Second

// Found by a score: news that took 1 s and a queue that went on for another second let
// five requests start 5 ms too late.
func TestNothingThatWaitedStartsTooLateAtAWorkerThatLeaves(t *testing.T) {
	for name, leave := range map[string]func(*rig){
		"listed as leaving": func(r *rig) { r.o.SetWithdrawn(r.now, true) },
		"no longer listed":  func(r *rig) { r.o.SetUnlisted(r.now, true) },
		"says so itself":    func(r *rig) { r.o.SetState(r.now, model.StateLeaving) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testService())
			running := r.fill(2)
			queued := r.attempt()
			queued.Remaining = 5 * time.Second
			r.want(r.offer(queued), waits)
			r.pass(slowestNews)
			leave(r)
			for waited := time.Duration(0); waited < newWorkAfterLeave-slowestNews-100*time.Millisecond; waited += 10 * time.Millisecond {
				r.tick(10 * time.Millisecond)
			}
			r.keep(r.o.Finish(r.now, running[0].ID, Completion{ServiceTime: time.Second, Status: 200}))
			for _, d := range r.decided {
				if d.Kind == Start {
					t.Errorf("%v started %v after the worker left", d.Attempt, newWorkAfterLeave-100*time.Millisecond)
				}
			}
			if len(r.decided) != 1 {
				t.Errorf("decisions %+v, want one refusal", r.decided)
			}
		})
	}
}

func TestAnUpstreamThatTheListSaysLeavesAdmitsNothingNew(t *testing.T) {
	r := newRig(t, testService())
	running := r.fill(2)
	queued := r.attempt()
	r.want(r.offer(queued), waits)
	r.o.SetWithdrawn(r.now, true)
	r.want(r.offer(r.attempt()), refused(model.ReasonLeaving, true))
	if got := r.o.Report(r.now).State; got != model.StateLeaving {
		t.Errorf("reported as %v", got)
	}
	// What was admitted is finished.
	r.pass(10 * time.Millisecond)
	r.wantDecisions(r.finish(running[0], Completion{ServiceTime: 10 * time.Millisecond, Status: 200}), Decision{Attempt: queued.ID, Kind: Start})
	r.o.SetWithdrawn(r.now, false)
	r.pass(10 * time.Millisecond)
	r.finish(running[1], Completion{ServiceTime: 10 * time.Millisecond, Status: 200})
	r.want(r.offer(r.attempt()), started)
}
