package owner

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// serialContent is the content of the attempts that run one at a time.
var serialContent = model.Fingerprint{1}

// serial offers a new attempt with serialContent that may move to another owner.
func (r *rig) serial() (DecisionKind, model.AttemptID) {
	a := r.attempt()
	a.MayMove = true
	v, _ := r.o.OfferSuspect(r.now, a, false, Restrictions{Content: serialContent})
	return v, a.ID
}

// threeSerial returns an owner with free slots, and three attempts of which the first
// started.
func threeSerial(t *testing.T) (r *rig, first, second, third model.AttemptID) {
	t.Helper()
	r = eightSlotRig(t)
	v, first := r.serial()
	if v != Start {
		t.Fatalf("the first: decision %d; want it to start", v)
	}
	v, second = r.serial()
	if v != Queue {
		t.Fatalf("the second: decision %d; want it to wait", v)
	}
	v, third = r.serial()
	if v != Queue {
		t.Fatalf("the third: decision %d; want it to wait", v)
	}
	return r, first, second, third
}

// wantStarted fails unless the decisions start exactly these attempts.
func wantStarted(t *testing.T, ds []Decision, want ...model.AttemptID) {
	t.Helper()
	if len(ds) != len(want) {
		t.Fatalf("decisions %+v; want %d starts", ds, len(want))
	}
	for i, d := range ds {
		if d.Kind != Start || d.Attempt != want[i] {
			t.Errorf("decision %d is %+v; want the start of %s", i, d, want[i])
		}
	}
}

// A second run of a deadly request beside the first would crash the restarted worker.
func TestEqualAttemptsRunOneAtATime(t *testing.T) {
	r, first, second, third := threeSerial(t)
	if v, _, _ := r.suspect(Restrictions{Content: model.Fingerprint{2}}); v != Start {
		t.Errorf("an attempt of another content: decision %d; want it to start", v)
	}
	r.advance(50 * time.Millisecond)
	wantStarted(t, r.collect(r.o.Finish(r.now, first, Completion{Failed: true})), second)
	wantStarted(t, r.collect(r.o.Finish(r.now, second, Completion{NotRun: true})), third)
}

func TestEqualAttemptsRunTogetherOnceWorkerResponds(t *testing.T) {
	r, first, second, third := threeSerial(t)
	r.advance(50 * time.Millisecond)
	wantStarted(t, r.collect(r.o.Responding(r.now, first)), second, third)
	if v, _ := r.serial(); v != Start {
		t.Errorf("one more: decision %d; want it to start as the first of its content", v)
	}
}

func TestCompleteResponseEndsSerialRuns(t *testing.T) {
	r, first, second, third := threeSerial(t)
	r.advance(50 * time.Millisecond)
	wantStarted(t, r.collect(r.o.Finish(r.now, first, Completion{Status: 200})), second, third)
}

// Equal requests that take long, such as streams, must not wait for each other to the end.
func TestEqualAttemptsWaitForLimitedTimeOnly(t *testing.T) {
	svc := testService()
	svc.Slots, svc.QueueLimit, svc.Connections = 8, 20, 40
	r := newRig(t, svc)
	long := func() model.AttemptID {
		a := r.attempt()
		a.Remaining = time.Minute
		r.o.OfferSuspect(r.now, a, false, Restrictions{Content: serialContent})
		return a.ID
	}
	long()
	second, third := long(), long()
	if ds := r.tick(model.MaxSerialRun - time.Millisecond); len(ds) != 0 {
		t.Fatalf("decisions %+v before the limit", ds)
	}
	wantStarted(t, r.tick(time.Millisecond), second, third)
}

func TestWithdrawnAttemptLeavesSerialRuns(t *testing.T) {
	r, first, second, third := threeSerial(t)
	if notRun, _ := r.o.Cancel(r.now, second); !notRun {
		t.Fatal("the second started")
	}
	wantStarted(t, r.collect(r.o.Finish(r.now, first, Completion{Failed: true})), third)
	r.collect(r.o.Finish(r.now, third, Completion{Failed: true}))
	if len(r.o.serial) != 0 {
		t.Errorf("%d contents are left without attempts", len(r.o.serial))
	}
}

// An attempt that displaced the leader of its own content waited until its deadline, though
// slots were free.
func TestAttemptThatDisplacesItsLeaderStarts(t *testing.T) {
	r := newRig(t, testService())
	running := r.fill(2)
	offer := func(worth float64, content model.Fingerprint) model.AttemptID {
		t.Helper()
		a := r.attempt()
		a.Worth = worth
		v, _ := r.o.OfferSuspect(r.now, a, false, Restrictions{Content: content})
		if v != Queue {
			t.Fatalf("decision %d; want it to wait", v)
		}
		return a.ID
	}
	for i := range testService().QueueLimit - 1 {
		offer(10, model.Fingerprint{2, byte(i)})
	}
	leader := offer(1, serialContent)
	newer := offer(20, serialContent)
	ds := r.tick(0)
	if len(ds) != 1 || ds[0].Attempt != leader || ds[0].Kind != Refuse {
		t.Fatalf("decisions %+v; want the leader refused", ds)
	}
	wantStarted(t, r.finish(running[0], Completion{Status: 200}), newer)
}
