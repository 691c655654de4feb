package owner

import (
	"testing"
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
)

// observeSlowdown reports the worker's slowdown to the owner.
func (r *rig) observeSlowdown(slowdown float64) {
	r.decided = append(r.decided, r.o.ObserveLoad(r.now, dialect.WorkerLoad{Known: true, Slowdown: slowdown})...)
}

// learnService makes the owner expect a service time.
func (r *rig) learnService(d time.Duration) {
	for range smoothing {
		a := r.attempt()
		r.want(r.offer(a), started)
		r.advance(d)
		r.finish(a, Completion{ServiceTime: d, Status: 200})
	}
}

func TestRecoveryWait(t *testing.T) {
	const ms = time.Millisecond
	for name, tt := range map[string]struct {
		rule recoveryWait
		want bool
	}{
		"long work waits":             {recoveryWait{usual: 220 * ms, factor: 4, recoversIn: 300 * ms}, true},
		"short work starts":           {recoveryWait{usual: 55 * ms, factor: 4, recoversIn: 300 * ms}, false},
		"slightly slower work starts": {recoveryWait{usual: 200 * ms, factor: 2.5, recoversIn: 350 * ms}, false},
		"unknown service time starts": {recoveryWait{factor: 4, recoversIn: 300 * ms}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := tt.rule.worthwhile(); got != tt.want {
				t.Errorf("%+v: worthwhile %v, want %v", tt.rule, got, tt.want)
			}
		})
	}
}

func TestSlowMachineMovesOrDefersAttempts(t *testing.T) {
	r := newRig(t, testService())
	r.learnService(200 * time.Millisecond)
	r.observeSlowdown(4)
	moving := r.attempt()
	moving.MayMove = true
	r.want(r.offer(moving), refused(model.ReasonBusy, true))
	staying := r.attempt()
	r.want(r.offer(staying), enqueued)
	r.advance(50 * time.Millisecond)
	r.observeSlowdown(1)
	r.wantDecisions(r.decided, Decision{Attempt: staying.ID, Kind: Start})
}

func TestFullOwnerRefusesMovableAttempts(t *testing.T) {
	r := newRig(t, testService())
	r.fill(2)
	a := r.attempt()
	a.MayMove = true
	r.want(r.offer(a), refused(model.ReasonBusy, true))
	a = r.attempt()
	r.want(r.offer(a), enqueued)
}

func TestOldSlowdownSampleIsIgnored(t *testing.T) {
	r := newRig(t, testService())
	r.learnService(200 * time.Millisecond)
	r.observeSlowdown(4)
	r.advance(slowdownMemory + time.Millisecond)
	r.want(r.offer(r.attempt()), started)
}

func TestServiceTimesExcludeTheSlowdown(t *testing.T) {
	r := newRig(t, testService())
	r.learnService(100 * time.Millisecond)
	r.observeSlowdown(2)
	for range 4 * smoothing {
		a := r.attempt()
		r.want(r.offer(a), started)
		r.advance(200 * time.Millisecond)
		r.observeSlowdown(2)
		r.finish(a, Completion{ServiceTime: 200 * time.Millisecond, Status: 200})
	}
	if got := r.o.Report(r.now).ServiceTime; got < 95*time.Millisecond || got > 105*time.Millisecond {
		t.Errorf("service time %s, want about 100 ms", got)
	}
}

func TestNewOwnerDoesNotStartLongWorkInASlowPeriod(t *testing.T) {
	svc := testService()
	r := newRig(t, svc)
	b := testBundle(svc)
	b.Classes[0].ObjectiveMs = 600
	r.o.Configure(r.now, b, svc, 2)
	r.observeSlowdown(4)
	a := r.attempt()
	a.MayMove = true
	r.want(r.offer(a), refused(model.ReasonBusy, true))
}
