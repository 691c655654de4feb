package owner

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

func TestEvacuatedDataCentreAdmitsNothing(t *testing.T) {
	r := newRig(t, testService())
	running := r.fill(2)
	queued := r.attempt()
	queued.Remaining = 5 * time.Second
	r.want(r.offer(queued), enqueued)
	r.o.SetEvacuated(r.now, true)
	r.want(r.offer(r.attempt()), refused(model.ReasonEvacuated, true))
	for waited := time.Duration(0); waited < evacuatedQueue+10*time.Millisecond; waited += 10 * time.Millisecond {
		r.tick(10 * time.Millisecond)
	}
	r.collect(r.o.Finish(r.now, running[0].ID, Completion{ServiceTime: time.Second, Status: 200}))
	if len(r.decided) != 1 || r.decided[0].Kind != Refuse || r.decided[0].Refusal.Reason != model.ReasonEvacuated || !r.decided[0].Refusal.NotRun {
		t.Errorf("decisions %+v, want the queued one refused as not run", r.decided)
	}
	r.o.SetEvacuated(r.now, false)
	r.want(r.offer(r.attempt()), started)
}

// An evacuated home remembers a caller's id that it delegates, so that the request runs
// once.
func TestEvacuatedHomeDelegatesKeys(t *testing.T) {
	r := newRig(t, testService())
	r.o.SetEvacuated(r.now, true)
	a := r.attempt()
	a.CallerKey = true
	r.want(r.offer(a), refused(model.ReasonDelegated, true))
	again := r.attempt()
	again.CallerKey, again.Request = true, a.Request
	if v, refusal := r.o.Offer(r.now, again, false); v != Refuse || refusal.NotRun {
		t.Errorf("resubmission: %v %+v, want a refusal that does not claim \"not run\"", v, refusal)
	}
}

func TestRequestRunsOnlyInItsRegions(t *testing.T) {
	r := newRig(t, testService())
	r.o.cfg.Region = "north"
	for _, tt := range []struct {
		names []model.RegionName
		want  offerResult
	}{
		{nil, started},
		{[]model.RegionName{"south", "north"}, started},
		{[]model.RegionName{"south"}, refused(model.ReasonRegion, true)},
		{[]model.RegionName{}, refused(model.ReasonRegion, true)},
	} {
		a := r.attempt()
		a.Regions = model.NewRegions(tt.names)
		r.want(r.offer(a), tt.want)
	}
}
