package owner

import (
	"testing"
	"time"
)

// registry is work with short deadlines: signings are more urgent than lookups, and both
// have their full worth only within a few service times, which vary by 0.3.
var registry = []load{
	{
		class: "sign", worth: 2, part: 0.35, service: 78 * time.Millisecond, spread: 0.3, priority: 1,
		objective: 250 * time.Millisecond, deadline: 600 * time.Millisecond,
	},
	{
		class: "lookup", worth: 1, part: 0.65, service: 72 * time.Millisecond, spread: 0.3, priority: 2,
		objective: 200 * time.Millisecond, deadline: 500 * time.Millisecond,
	},
}

// quick is the same work with service times, objectives and deadlines four times shorter,
// slow with those three times longer.
var (
	quick = scaled(registry, 0.25)
	slow  = scaled(registry, 3)
)

func scaled(loads []load, factor float64) []load {
	out := make([]load, len(loads))
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	for i, l := range loads {
		l.service, l.objective, l.deadline = scale(l.service), scale(l.objective), scale(l.deadline)
		out[i] = l
	}
	return out
}

// overloadResult is the outcome for the callers: shares of the requests, but for the last
// two fields.
type overloadResult struct {
	// inTime and late were answered within their objective and after it, unanswered ran
	// into their deadline.
	inTime, late, unanswered float64
	// lateRefusals is the share of the refusals that came after more than a tenth of the
	// objective, meanRefusalDelay the mean time to a refusal in objectives.
	lateRefusals, meanRefusalDelay float64
}

func simulateOverload(t *testing.T, level float64, loads []load) overloadResult {
	t.Helper()
	var out overloadResult
	var offered, refused float64
	for seed := range uint64(6) {
		r := simulate(t, scenario{loads: loads, slots: 8, level: level, length: 20 * time.Second, seed: seed})
		for _, l := range loads {
			sc := r.byClass[l.class]
			offered += float64(sc.offered)
			refused += float64(len(sc.refusalDelays))
			out.inTime += float64(sc.inTime)
			out.late += float64(sc.answered - sc.inTime)
			out.unanswered += float64(sc.late)
			for _, d := range sc.refusalDelays {
				out.meanRefusalDelay += float64(d) / float64(l.objective)
				if d > l.objective/10 {
					out.lateRefusals++
				}
			}
		}
	}
	out.inTime /= offered
	out.late /= offered
	out.unanswered /= offered
	out.lateRefusals /= max(refused, 1)
	out.meanRefusalDelay /= max(refused, 1)
	return out
}

// Guards against requests that wait until close to their deadline: they are refused after
// two objectives on average, and those that are served come late.
func TestRefusesEarlyAndServesInTimeUnderOverload(t *testing.T) {
	type bound struct {
		level float64
		// inTime is the least share, meanRefusalDelay the most objectives.
		inTime, meanRefusalDelay float64
	}
	for _, work := range []struct {
		name   string
		loads  []load
		bounds []bound
	}{
		{"registry", registry, []bound{{0.7, 0.99, 0.5}, {0.9, 0.98, 0.5}, {1.1, 0.94, 0.4}, {1.5, 0.75, 0.3}, {2.5, 0.43, 0.2}}},
		{"quick", quick, []bound{{0.7, 0.98, 0.5}, {0.9, 0.94, 0.5}, {1.1, 0.87, 0.4}, {1.5, 0.68, 0.3}, {2.5, 0.4, 0.2}}},
		{"slow", slow, []bound{{0.7, 0.98, 0.5}, {0.9, 0.98, 0.5}, {1.1, 0.94, 0.4}, {1.5, 0.78, 0.3}, {2.5, 0.45, 0.2}}},
	} {
		for _, tt := range work.bounds {
			got := simulateOverload(t, tt.level, work.loads)
			t.Logf("%s, load %.1f: %+v", work.name, tt.level, got)
			if got.inTime < tt.inTime {
				t.Errorf("%s, load %.1f: %.3f answered in time, want at least %.2f", work.name, tt.level, got.inTime, tt.inTime)
			}
			if got.meanRefusalDelay > tt.meanRefusalDelay {
				t.Errorf("%s, load %.1f: refused after %.2f objectives, want at most %.2f", work.name, tt.level, got.meanRefusalDelay, tt.meanRefusalDelay)
			}
			if got.late+got.unanswered > 0.02 {
				t.Errorf("%s, load %.1f: %.3f late, %.3f unanswered", work.name, tt.level, got.late, got.unanswered)
			}
		}
	}
}

func TestWaitInflationDecays(t *testing.T) {
	var s waitInflation
	if got := s.factor(0); got != 1 {
		t.Errorf("factor %v before any sample, want 1", got)
	}
	for range 100 {
		s.add(time.Second, time.Millisecond, time.Hour)
	}
	if got := s.factor(time.Second); got < 0.99*maxInflation || got > maxInflation {
		t.Errorf("factor %v after long waits, want %d", got, maxInflation)
	}
	half := 1 + (s.ratio-1)/2
	if got := s.factor(time.Second + inflationMemory); got != half {
		t.Errorf("factor %v after its memory, want %v", got, half)
	}
}

// The first attempt in the queue gets the next slot, however slow the machine.
func TestFirstInQueueIsNotRefused(t *testing.T) {
	r := newRig(t, testService())
	r.learnService(100 * time.Millisecond)
	r.fill(2)
	r.offerWithObjective(time.Millisecond)
	if ds := r.tick(10 * time.Millisecond); len(ds) != 0 {
		t.Errorf("decided %+v", ds)
	}
}

// Callers that retry before an overload ends are refused again, and have spent one of
// their few retries.
func TestRetryAfterGrowsWithTheOverload(t *testing.T) {
	var o overloadSpan
	at := time.Minute
	lasting := func(d time.Duration) time.Duration {
		for end := at + d; at < end; {
			at += 50 * time.Millisecond
			o.recordRefusal(at)
		}
		return o.recordRefusal(at)
	}
	if got := o.recordRefusal(at); got != 0 {
		t.Errorf("at the beginning: %s", got)
	}
	if got := lasting(time.Second); got != time.Second {
		t.Errorf("after a second of refusals: %s", got)
	}
	at += overloadGap + time.Millisecond
	if got := o.recordRefusal(at); got != 0 {
		t.Errorf("after a time without refusals: %s", got)
	}
}
