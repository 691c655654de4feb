package suppress

import (
	"math/rand/v2"
	"testing"
	"time"

	"gypsumstand/internal/eventqueue"
)

const tick = 100 * time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

func newTimer(seed uint64) *Timer { return New(rand.New(rand.NewPCG(seed, 1))) }

// beacon is one reader's word on its way to one node.
type beacon struct {
	to   int
	sent time.Time
	ok   bool
}

// fleet is n timers on a fake clock; each read's beacon reaches every other
// timer after a random delay.
type fleet struct {
	timers             []*Timer
	believed           int
	minDelay, maxDelay time.Duration
	down               func(now time.Time) bool
	rng                *rand.Rand
	now                time.Time
	waiting            eventqueue.Queue[beacon]
}

func newFleet(n int, minDelay, maxDelay time.Duration) *fleet {
	f := &fleet{believed: n, minDelay: minDelay, maxDelay: maxDelay, now: epoch}
	f.rng = rand.New(rand.NewPCG(uint64(n), 2))
	f.down = func(time.Time) bool { return false }
	for i := range n {
		f.timers = append(f.timers, newTimer(uint64(i)))
	}
	return f
}

// run moves the clock by d and returns the reads of the whole fleet. Ticks of
// different timers fall into different tenths of the tick.
func (f *fleet) run(d time.Duration) (reads int) {
	const phases = 10
	for end := f.now.Add(d); f.now.Before(end); {
		for phase := range phases {
			f.now = f.now.Add(tick / phases)
			f.deliver()
			for i := phase; i < len(f.timers); i += phases {
				if f.timers[i].Due(f.now, f.believed) {
					reads++
					f.read(i)
				}
			}
		}
	}
	return reads
}

func (f *fleet) read(i int) {
	ok := !f.down(f.now)
	f.timers[i].ReadDone(f.now, ok)
	for to := range f.timers {
		delay := f.minDelay + time.Duration(f.rng.Int64N(int64(f.maxDelay-f.minDelay)))
		f.waiting.Add(f.now.Add(delay), beacon{to: to, sent: f.now, ok: ok})
	}
}

func (f *fleet) deliver() {
	for _, b := range f.waiting.Until(f.now) {
		confirmed := Never
		if b.ok {
			confirmed = f.now.Sub(b.sent)
		}
		f.timers[b.to].ObservePeer(f.now, f.now.Sub(b.sent), confirmed)
	}
}

func TestReadsOfTheFleetStayFarUnderThePlatformsRate(t *testing.T) {
	const seconds = 20
	perSecond := map[int]float64{}
	for _, n := range []int{10, 100, 1000} {
		f := newFleet(n, 500*time.Millisecond, time.Second)
		f.run(5 * time.Second)
		perSecond[n] = float64(f.run(seconds*time.Second)) / seconds
		t.Logf("n=%d reads/s=%.1f", n, perSecond[n])
		if perSecond[n] < 0.3 {
			t.Errorf("n=%d: %.2f reads/s, so the source is read too seldom", n, perSecond[n])
		}
	}
	if perSecond[1000] > 100 {
		t.Errorf("1000 nodes: %.1f reads/s", perSecond[1000])
	}
	if perSecond[1000] > 3*perSecond[100] {
		t.Errorf("ten times the fleet reads %.1f times as often", perSecond[1000]/perSecond[100])
	}
}

func TestOutageLowersTheRateOfReads(t *testing.T) {
	f := newFleet(300, 500*time.Millisecond, time.Second)
	f.run(5 * time.Second)
	const span = 60 * time.Second
	healthy := f.run(span)
	f.down = func(time.Time) bool { return true }
	f.run(20 * time.Second)
	failing := f.run(span)
	t.Logf("reads in %s: healthy %d, failing %d", span, healthy, failing)
	if failing*6 > healthy {
		t.Errorf("%d reads in an outage, %d before", failing, healthy)
	}
	if failing == 0 {
		t.Error("no read in an outage, so its end is never seen")
	}
	f.down = func(time.Time) bool { return false }
	f.run(15 * time.Second)
	if f.timers[0].Failing() {
		t.Error("still failing 15 s after the outage")
	}
}

func TestLoneNodeThatBelievesInALargeFleetReadsSoon(t *testing.T) {
	for seed := range uint64(50) {
		timer := newTimer(seed)
		timer.ObservePeer(epoch, 0, 0)
		fired := firstDue(timer, epoch, 10_000)
		if age := fired.Sub(epoch); age < ReadInterval || age > ReadInterval+ForcedReadMax+tick {
			t.Errorf("seed %d: fired after %s", seed, age)
		}
	}
}

func TestFreshAttemptSilences(t *testing.T) {
	timer := newTimer(1)
	for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(tick) {
		timer.ObservePeer(now, 900*time.Millisecond, 900*time.Millisecond)
		if timer.Due(now, 1) {
			t.Fatalf("due %s after the start although an attempt is young", now.Sub(epoch))
		}
	}
}

func TestReadInFlightIsNotRepeatedUntilItsLimit(t *testing.T) {
	timer := newTimer(1)
	first := firstDue(timer, epoch, 1)
	second := firstDue(timer, first.Add(tick), 1)
	if gap := second.Sub(first); gap < inFlightLimit {
		t.Errorf("second read %s after one whose end was not told", gap)
	}
}

func TestSuccessConfirmsAsOfTheReadsStart(t *testing.T) {
	timer := newTimer(1)
	begun := firstDue(timer, epoch, 1)
	timer.ReadDone(begun.Add(3*time.Second), true)
	if !timer.LastSuccess().Equal(begun) {
		t.Errorf("confirmed at %s, read began at %s", timer.LastSuccess(), begun)
	}
}

func TestTimersThatWakeTogetherDoNotReadTogether(t *testing.T) {
	const n, asleep = 500, time.Minute
	f := newFleet(n, 500*time.Millisecond, time.Second)
	f.run(5 * time.Second)
	f.now = f.now.Add(asleep)
	f.waiting.Clear()
	for _, timer := range f.timers {
		timer.ProcessPaused(f.now, asleep)
	}
	if reads := f.run(2 * tick); reads > n/10 {
		t.Errorf("%d of %d timers read at once after a pause", reads, n)
	}
	if reads := f.run(3 * time.Second); reads == 0 || reads > n/2 {
		t.Errorf("%d of %d timers read in the 3 s after a pause", reads, n)
	}
}

func TestAgesThatWaitedOutAPauseAreRaisedByIt(t *testing.T) {
	timer := newTimer(1)
	timer.ObservePeer(epoch, time.Second, Never)
	wake := epoch.Add(time.Minute)
	timer.ProcessPaused(wake, time.Minute)
	timer.ObservePeer(wake, 0, 0)
	attempt, confirmed := timer.Ages(wake)
	if attempt < time.Minute || confirmed < time.Minute {
		t.Errorf("ages %s and %s after a pause of a minute", attempt, confirmed)
	}
}

func TestAgesOnlyGrowUntilNewerNews(t *testing.T) {
	timer := newTimer(1)
	timer.ObservePeer(epoch, time.Second, 2*time.Second)
	timer.ObservePeer(epoch.Add(time.Second), 10*time.Second, Never)
	attempt, confirmed := timer.Ages(epoch.Add(time.Second))
	if attempt != 2*time.Second || confirmed != 3*time.Second {
		t.Errorf("ages %s and %s, want 2s and 3s", attempt, confirmed)
	}
}

// BenchmarkFleetReads reports the reads a second of whole fleets whose beacons
// take 0.5 to 1 s.
func BenchmarkFleetReads(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(sizeName(n), func(b *testing.B) {
			const seconds = 20
			var reads int
			for range b.N {
				f := newFleet(n, 500*time.Millisecond, time.Second)
				f.run(5 * time.Second)
				reads = f.run(seconds * time.Second)
			}
			b.ReportMetric(float64(reads)/seconds, "reads/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func sizeName(n int) string {
	return map[int]string{10: "10", 100: "100", 1000: "1000", 10_000: "10000"}[n]
}

func firstDue(timer *Timer, from time.Time, fleetSize int) time.Time {
	now := from
	for !timer.Due(now, fleetSize) {
		now = now.Add(tick)
	}
	return now
}

func TestAReadThatTheTimerDidNotBeginCountsFromItsStart(t *testing.T) {
	timer := New(rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1_700_000_000, 0)
	timer.ReadSucceeded(now, now.Add(-700*time.Millisecond))
	if attempt, confirmed := timer.Ages(now); attempt != 700*time.Millisecond || confirmed != attempt {
		t.Errorf("attempt %s and success %s ago, want 700ms", attempt, confirmed)
	}
}

func TestANodeThatSharesWithFewFiresForCertainEarlier(t *testing.T) {
	pace := Schedule{Interval: time.Second, MeanFirstDelay: time.Hour, MaxFailedInterval: time.Second, ForcedAfter: 400 * time.Millisecond, ForcedPerDoubling: 100 * time.Millisecond}
	for _, tt := range []struct {
		nodes, failures int
		want            time.Duration
	}{
		{1, 0, 400 * time.Millisecond},
		{2, 0, 500 * time.Millisecond},
		{8, 0, 700 * time.Millisecond},
		{1, 1, 400 * time.Millisecond},
		{50, 1, ForcedReadMin},
		{1, 2, 400 * time.Millisecond},
		{3, 2, 1200 * time.Millisecond},
		{10, 2, ForcedReadMin},
		{1 << 30, 0, ForcedReadMin},
	} {
		timer := NewWithSchedule(rand.New(rand.NewPCG(1, 2)), pace)
		timer.failures = tt.failures
		if got := timer.certain(tt.nodes); got != tt.want && (tt.want != ForcedReadMin || got < ForcedReadMin || got > ForcedReadMax) {
			t.Errorf("%d nodes, %d failures: %s, want %s", tt.nodes, tt.failures, got, tt.want)
		}
	}
}

func TestStandstillsInSeriesKeepNoNodeFromReading(t *testing.T) {
	const stop, run = 1200 * time.Millisecond, 250 * time.Millisecond
	for seed := range uint64(100) {
		timer := newTimer(seed)
		now := epoch
		due := timer.Due(now, 1)
		for cycle := 0; !due; cycle++ {
			if cycle == 3 {
				t.Fatalf("seed %d: no reading in %d standstills", seed, cycle)
			}
			now = now.Add(stop)
			timer.ProcessPaused(now, stop)
			for end := now.Add(run); now.Before(end); now = now.Add(tick) {
				due = due || timer.Due(now, 1)
			}
		}
	}
}
