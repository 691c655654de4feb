package owner

import (
	"testing"
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
)

// observe tells the owner the worker's pace.
func (r *rig) observe(pace float64) {
	r.decided = append(r.decided, r.o.ObserveLoad(r.now, dialect.WorkerLoad{Known: true, Slowdown: pace})...)
}

// learnService makes the owner expect a service time.
func (r *rig) learnService(d time.Duration) {
	for range smoothing {
		a := r.attempt()
		r.want(r.offer(a), started)
		r.pass(d)
		r.finish(a, Completion{ServiceTime: d, Status: 200})
	}
}

func TestHoldRuleStartsWhatEndsSooner(t *testing.T) {
	const ms = time.Millisecond
	for name, tt := range map[string]struct {
		rule holdRule
		want bool
	}{
		"long work waits":                      {holdRule{usual: 220 * ms, factor: 4, easesIn: 300 * ms}, true},
		"short work starts":                    {holdRule{usual: 55 * ms, factor: 4, easesIn: 300 * ms}, false},
		"a little slower starts":               {holdRule{usual: 200 * ms, factor: 2.5, easesIn: 350 * ms}, false},
		"starts when nothing is known of work": {holdRule{factor: 4, easesIn: 300 * ms}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := tt.rule.holds(); got != tt.want {
				t.Errorf("%+v holds: %v, want %v", tt.rule, got, tt.want)
			}
		})
	}
}

func TestASlowMachineTurnsAwayWhatMayMoveAndHoldsWhatStays(t *testing.T) {
	r := newRig(t, testService())
	r.learnService(200 * time.Millisecond)
	r.observe(4)
	moving := r.attempt()
	moving.MayMove = true
	r.want(r.offer(moving), refused(model.ReasonBusy, true))
	staying := r.attempt()
	r.want(r.offer(staying), waits)
	r.pass(50 * time.Millisecond)
	r.observe(1)
	r.wantDecisions(r.decided, Decision{Attempt: staying.ID, Kind: Start})
}

func TestAFullOwnerTurnsAwayWhatMayMove(t *testing.T) {
	r := newRig(t, testService())
	r.fill(2)
	a := r.attempt()
	a.MayMove = true
	r.want(r.offer(a), refused(model.ReasonBusy, true))
	a = r.attempt()
	r.want(r.offer(a), waits)
}

func TestAnOldSampleOfThePaceHoldsNothing(t *testing.T) {
	r := newRig(t, testService())
	r.learnService(200 * time.Millisecond)
	r.observe(4)
	r.pass(paceMemory + time.Millisecond)
	r.want(r.offer(r.attempt()), started)
}

func TestServiceTimesAreLearnedAtTheUsualPace(t *testing.T) {
	r := newRig(t, testService())
	r.learnService(100 * time.Millisecond)
	r.observe(2)
	for range 4 * smoothing {
		a := r.attempt()
		r.want(r.offer(a), started)
		r.pass(200 * time.Millisecond)
		r.observe(2)
		r.finish(a, Completion{ServiceTime: 200 * time.Millisecond, Status: 200})
	}
	if got := r.o.Report(r.now).ServiceTime; got < 95*time.Millisecond || got > 105*time.Millisecond {
		t.Errorf("service time %s, want about 100 ms", got)
	}
}

func TestAnOwnerThatSawNothingYetHoldsLongWorkBack(t *testing.T) {
	svc := testService()
	r := newRig(t, svc)
	b := testBundle(svc)
	b.Classes[0].ObjectiveMs = 600
	r.o.Configure(r.now, b, svc, 2)
	r.observe(4)
	a := r.attempt()
	a.MayMove = true
	r.want(r.offer(a), refused(model.ReasonBusy, true))
}
