package owner

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// maxUpdateDelay is the time within which a change of the directory reaches every node
// that it serves: the interval between two readings (0.8 s), the first one after it (0.4
// s in 98 of 100 cases), and the path to every node (0.3 s). See package directory.
const maxUpdateDelay = 1500 * time.Millisecond

// leaveGrace is the shortest time that a deployment allows for work to stop going to a
// worker that leaves.
const leaveGrace = 2 * time.Second

// Guards against queued requests that start after leaveGrace: with an update that takes
// 1 s and a queue that goes on for another second, five requests start 5 ms too late.
func TestQueuedAttemptsDoNotStartLateAtALeavingWorker(t *testing.T) {
	for name, leave := range map[string]func(*rig){
		"listed as leaving": func(r *rig) { r.o.SetWithdrawn(r.now, true) },
		"no longer listed":  func(r *rig) { r.o.SetUnlisted(r.now, true) },
		"leaves by itself":  func(r *rig) { r.o.SetState(r.now, model.StateLeaving) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testService())
			running := r.fill(2)
			queued := r.attempt()
			queued.Remaining = 5 * time.Second
			r.want(r.offer(queued), enqueued)
			r.advance(maxUpdateDelay)
			leave(r)
			for waited := time.Duration(0); waited < leaveGrace-maxUpdateDelay-100*time.Millisecond; waited += 10 * time.Millisecond {
				r.tick(10 * time.Millisecond)
			}
			r.collect(r.o.Finish(r.now, running[0].ID, Completion{ServiceTime: time.Second, Status: 200}))
			for _, d := range r.decided {
				if d.Kind == Start {
					t.Errorf("%v started %v after the worker left", d.Attempt, leaveGrace-100*time.Millisecond)
				}
			}
			if len(r.decided) != 1 {
				t.Errorf("decisions %+v, want one refusal", r.decided)
			}
		})
	}
}

func TestWithdrawnUpstreamAdmitsNothing(t *testing.T) {
	r := newRig(t, testService())
	running := r.fill(2)
	queued := r.attempt()
	r.want(r.offer(queued), enqueued)
	r.o.SetWithdrawn(r.now, true)
	r.want(r.offer(r.attempt()), refused(model.ReasonLeaving, true))
	if got := r.o.Report(r.now).State; got != model.StateLeaving {
		t.Errorf("reported as %v", got)
	}
	// Admitted attempts are finished.
	r.advance(10 * time.Millisecond)
	r.wantDecisions(r.finish(running[0], Completion{ServiceTime: 10 * time.Millisecond, Status: 200}), Decision{Attempt: queued.ID, Kind: Start})
	r.o.SetWithdrawn(r.now, false)
	r.advance(10 * time.Millisecond)
	r.finish(running[1], Completion{ServiceTime: 10 * time.Millisecond, Status: 200})
	r.want(r.offer(r.attempt()), started)
}
