package measure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

var start = time.Unix(1_000_000, 0)

// mostInSecond returns the greatest number of times within any closed second.
func mostInSecond(times []time.Time) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowed(budget float64) int { return max(1, int(budget)) }

// gap draws a time between two messages: mostly short, sometimes zero or long.
func gap(t *rapid.T) time.Duration {
	switch rapid.IntRange(0, 9).Draw(t, "kind of gap") {
	case 0:
		return 0
	case 1:
		return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "long gap"))
	default:
		return time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "gap"))
	}
}

func drawMeasuring(t *rapid.T) bundle.Measuring {
	return bundle.Measuring{
		PerUpstreamPerSecond: rapid.Float64Range(0.2, 20).Draw(t, "budget"),
		PollShare:            rapid.Float64Range(0.1, 1).Draw(t, "poll share"),
	}
}

func TestOwnerLimiterKeepsBudgetInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMeasuring(t)
		now := start
		l := NewOwnerLimiter(now, m)
		var taken []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(gap(t))
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			case 0:
				l = NewOwnerLimiter(now, m)
			case 1:
				// A flood of messages.
				for range 2000 {
					now = now.Add(time.Millisecond)
					if l.AllowProbe(now) || l.AllowPoll(now) {
						taken = append(taken, now)
					}
				}
			case 2, 3, 4, 5, 6:
				if l.AllowPoll(now) {
					taken = append(taken, now)
				}
			default:
				if l.AllowProbe(now) {
					taken = append(taken, now)
				}
			}
		}
		if most := mostInSecond(taken); most > allowed(m.PerUpstreamPerSecond) {
			t.Fatalf("%d messages within a second, budget %v", most, m.PerUpstreamPerSecond)
		}
	})
}

func TestOwnerLimiterIgnoresTimeRunningBackwards(t *testing.T) {
	m := bundle.Measuring{PerUpstreamPerSecond: 2, PollShare: 0.5}
	l := NewOwnerLimiter(start, m)
	taken := 0
	for i := range 100 {
		now := start.Add(10 * time.Second)
		if i%2 == 1 {
			now = start
		}
		l.Configure(now, m)
		if l.AllowProbe(now) {
			taken++
		}
	}
	if taken != 1 {
		t.Errorf("%d probes were answered at one moment, want 1", taken)
	}
}

func TestOwnerLimiterKeepsPollShareUnderProbeFlood(t *testing.T) {
	for _, m := range []bundle.Measuring{
		{PerUpstreamPerSecond: 1, PollShare: 0.1},
		{PerUpstreamPerSecond: 5, PollShare: 0.1},
		{PerUpstreamPerSecond: 5, PollShare: 0.5},
		{PerUpstreamPerSecond: 20, PollShare: 0.1},
		{PerUpstreamPerSecond: 20, PollShare: 0.9},
	} {
		t.Run(fmt.Sprint(m), func(t *testing.T) {
			const seconds = 100
			l := NewOwnerLimiter(start, m)
			for ms := range seconds * 1000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				l.AllowProbe(now)
				if ms%100 == 0 {
					l.AllowPoll(now)
				}
				l.AllowProbe(now)
			}
			c := l.Counts()
			// With a tick of 100 ms, a poll may be sent one tick after its own token, and
			// one more after a probe.
			spacing := 1/(m.PerUpstreamPerSecond*m.PollShare) + 0.2
			if want := uint64(0.95 * seconds / spacing); c.PollsSent < want {
				t.Errorf("%d polls in %d s, want at least %d (%+v)", c.PollsSent, seconds, want, c)
			}
			if m.PollShare < 0.9 && c.ProbesAnswered == 0 {
				t.Errorf("no probe was answered: %+v", c)
			}
		})
	}
}

func TestZeroBudgetAllowsNothing(t *testing.T) {
	ownerLimiter := NewOwnerLimiter(start, bundle.Measuring{})
	entryLimiter := NewEntryLimiter(nil)
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Minute)
		if ownerLimiter.AllowPoll(now) || ownerLimiter.AllowProbe(now) || entryLimiter.Allow(now, "a", bundle.Measuring{}, 1) {
			t.Fatal("a message was allowed without a budget")
		}
	}
}

func TestConfigureAppliesSmallerBudgetAtOnce(t *testing.T) {
	l := NewOwnerLimiter(start, bundle.Measuring{PerUpstreamPerSecond: 20, PollShare: 0.5})
	l.Configure(start, bundle.Measuring{PerUpstreamPerSecond: 1, PollShare: 0.5})
	var taken []time.Time
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if l.AllowPoll(now) {
			taken = append(taken, now)
		}
		if l.AllowProbe(now) {
			taken = append(taken, now)
		}
	}
	if most := mostInSecond(taken); most > 1 || len(taken) < 8 {
		t.Errorf("%d messages in 10 s, at most %d in one second; want at least 8 and at most 1", len(taken), most)
	}
}

func TestEntryLimiterKeepsItsPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMeasuring(t)
		m.PollShare = min(m.PollShare, 0.9)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		l := NewEntryLimiter(rng.Uint64)
		now, probers := start, 1
		// earned is the part of the budget since the last probe, in probes.
		earned := 1.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			d := gap(t)
			now = now.Add(d)
			earned += d.Seconds() * m.PerUpstreamPerSecond * (1 - m.PollShare) / float64(probers)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				probers = rapid.IntRange(1, 50).Draw(t, "probers")
			}
			if !l.Allow(now, "a", m, probers) {
				continue
			}
			if earned < 1 {
				t.Fatalf("a probe was sent after %v of its period", earned)
			}
			earned = 0
		}
	})
}

// allowAll asks all limiters on every tick and returns the times of the allowed probes.
func allowAll(limiters []*EntryLimiter, from time.Time, d time.Duration, m bundle.Measuring) []time.Time {
	const tick = 100 * time.Millisecond
	var arrived []time.Time
	for at := time.Duration(0); at < d; at += tick {
		for _, l := range limiters {
			if l.Allow(from.Add(at), "a", m, len(limiters)) {
				arrived = append(arrived, from.Add(at))
			}
		}
	}
	return arrived
}

func TestEntryLimitersDoNotSynchronise(t *testing.T) {
	const nodes = 200
	const phase = 2 * time.Minute
	m := bundle.Measuring{PerUpstreamPerSecond: 10, PollShare: 0.5}
	rng := rand.New(rand.NewPCG(1, 2))
	limiters := make([]*EntryLimiter, nodes)
	for i := range limiters {
		limiters[i] = NewEntryLimiter(rng.Uint64)
	}
	cases := []struct {
		name string
		gap  time.Duration
	}{
		{"mass restart", 0},
		{"pause shorter than the period", 20 * time.Second},
		{"partition for an hour", time.Hour},
	}
	from := start
	for _, c := range cases {
		from = from.Add(c.gap)
		arrived := allowAll(limiters, from, phase, m)
		from = from.Add(phase)
		// A Poisson variable of mean 5 exceeds 20 once in 10 million draws.
		if most := mostInSecond(arrived); most > 20 {
			t.Errorf("%s: %d probes arrived within a second, the mean is 5", c.name, most)
		}
		if n := len(arrived); n < 400 || n > 600 {
			t.Errorf("%s: %d probes in %v, want 400 to 600", c.name, n, phase)
		}
	}
}

func TestEntryLimiterBoundsItsMemory(t *testing.T) {
	m := bundle.Measuring{PerUpstreamPerSecond: 10, PollShare: 0.5}
	l := NewEntryLimiter(nil)
	for i := range 3 * maxTracked {
		l.Allow(start, model.InstanceID(fmt.Sprint(i)), m, 1)
	}
	want := EntryCounts{Untracked: 2 * maxTracked}
	got := l.Counts()
	got.Sent, got.Deferred = 0, 0
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	// Later, expired plans make room.
	l.Allow(start.Add(time.Hour), "new", m, 1)
	if len(l.plans) != 1 {
		t.Errorf("%d upstreams are tracked, want 1", len(l.plans))
	}
}
