package quarantine

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// crashWith reports a crash with the contents in flight. The runs of those in
// alreadySuspect started when a crash under them was known.
func crashWith(q *Quarantine, now time.Time, length time.Duration, contents []int, alreadySuspect ...int) {
	for _, c := range contents {
		r := Run{Content: content(c), Started: now.Add(-length)}
		for _, d := range alreadySuspect {
			r.AlreadySuspect = r.AlreadySuspect || d == c
		}
		q.RunFailed(now, r)
	}
	q.WorkerCrashed(now)
}

func isQuarantined(q *Quarantine, now time.Time, c int) bool {
	_, blocked := q.Blocked(now, content(c))
	return blocked
}

var twelve = []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}

func singleNode() *Quarantine {
	return New(Config{Self: model.Instance{ID: "n0", Service: "s"}, Started: epoch, Fleet: func() *model.Fleet { return nil }})
}

func TestTwoCrashesQuarantineWhenChanceIsUnlikely(t *testing.T) {
	q := singleNode()
	crashWith(q, at(1000), 50*time.Millisecond, twelve)
	crashWith(q, at(5000), 50*time.Millisecond, []int{1, 20, 21, 22}, 1)
	for _, c := range append(twelve, 20, 21, 22) {
		if got := isQuarantined(q, at(5001), c); got != (c == 1) {
			t.Errorf("request %d: quarantined = %t", c, got)
		}
	}
}

// Two submissions of one request in flight at its second crash must count as one request.
func TestTwoSubmissionsAtSecondCrashAreOneRequest(t *testing.T) {
	q := singleNode()
	crashWith(q, at(1000), 50*time.Millisecond, twelve)
	crashWith(q, at(5000), 50*time.Millisecond, []int{1, 1, 20}, 1)
	if !isQuarantined(q, at(5001), 1) {
		t.Error("not quarantined")
	}
}

func TestTwoCrashesAreTooFewWhenExplainable(t *testing.T) {
	for _, tt := range []struct {
		name           string
		before         func(q *Quarantine)
		length         time.Duration
		alreadySuspect []int
	}{
		{"two known suspects were in flight", func(*Quarantine) {}, 50 * time.Millisecond, []int{1, 2}},
		{"it started before the first crash was known", func(*Quarantine) {}, 50 * time.Millisecond, nil},
		{"its run was long", func(*Quarantine) {}, 3 * time.Second, []int{1}},
		{"the worker crashes often", func(q *Quarantine) {
			for i := range 20 {
				crashWith(q, at(-40_000+2000*i), 50*time.Millisecond, []int{100 + i})
			}
		}, 50 * time.Millisecond, []int{1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := singleNode()
			tt.before(q)
			crashWith(q, at(1000), tt.length, twelve)
			crashWith(q, at(9000), tt.length, []int{1, 2, 20}, tt.alreadySuspect...)
			if isQuarantined(q, at(9001), 1) || isQuarantined(q, at(9001), 2) {
				t.Error("quarantined after two crashes")
			}
			crashWith(q, at(17_000), tt.length, []int{1}, 1)
			if !isQuarantined(q, at(17_001), 1) {
				t.Error("not quarantined after three crashes")
			}
		})
	}
}

// traffic simulates harmless requests at workers that crash by chance.
type traffic struct {
	*upstreams
	inFlight    map[*node]map[*job]bool
	next        int
	quarantined int
}

type job struct {
	content    model.Fingerprint
	started    time.Time
	decision   Decision
	submission Submission
}

func (tr *traffic) arrive(every time.Duration) {
	tr.after(time.Duration(tr.rng.ExpFloat64()*float64(every)), func() {
		tr.next++
		tr.place(&job{content: content(1000 + tr.next)}, 0)
		tr.arrive(every)
	})
}

// place offers a job to an owner whose worker is up, and then to the owners that decisions
// name.
func (tr *traffic) place(j *job, hops int) {
	owner := tr.owners[tr.rng.IntN(len(tr.owners))]
	for hops < maxHops && !tr.down[owner] {
		hops++
		d := owner.q.Evaluate(tr.now, j.content, j.submission, "")
		if d.Quarantined {
			tr.quarantined++
			return
		}
		if !d.Deferred {
			tr.start(owner, j, d)
			return
		}
		if tr.byID[d.OnlyOwner] == nil {
			return
		}
		owner, j.submission.Granted = tr.byID[d.OnlyOwner], d.Granted
	}
}

func (tr *traffic) start(at *node, j *job, d Decision) {
	j.started, j.decision = tr.now, d
	tr.inFlight[at][j] = true
	tr.after(time.Duration(tr.rng.ExpFloat64()*float64(meanRun)), func() {
		if tr.inFlight[at][j] {
			delete(tr.inFlight[at], j)
			at.q.RunCompleted(tr.now, j.content)
			tr.wake(at)
		}
	})
}

func (tr *traffic) scheduleCrash(every time.Duration) {
	tr.after(time.Duration(tr.rng.ExpFloat64()*float64(every)), func() {
		tr.scheduleCrash(every)
		at := tr.owners[tr.rng.IntN(len(tr.owners))]
		if tr.down[at] {
			return
		}
		var runs []Run
		failed := tr.inFlight[at]
		tr.inFlight[at] = map[*job]bool{}
		for j := range failed {
			runs = append(runs, Run{Content: j.content, Started: j.started, AlreadySuspect: j.submission.Crashes > 0 || j.decision.Crashes > 0})
		}
		tr.crash(at, runs...)
		for j := range failed {
			j.submission = Submission{Crashes: j.submission.Crashes + 1}
			tr.place(j, 0)
		}
	})
}

// Workers that crash by chance every few seconds with a dozen requests in flight hardly
// ever cause a quarantine.
func TestChanceCrashesSeldomQuarantineAtSecond(t *testing.T) {
	for _, n := range []int{3, 16} {
		tr := &traffic{upstreams: newUpstreams(n, 0.6), inFlight: map[*node]map[*job]bool{}}
		for _, nd := range tr.owners {
			tr.inFlight[nd] = map[*job]bool{}
		}
		tr.arrive(meanRun / time.Duration(n*slots/2))
		tr.scheduleCrash(10 * time.Second / time.Duration(n))
		tr.simulate(3 * time.Minute)
		crashes := 0
		for _, nd := range tr.owners {
			crashes += int(nd.q.Counts().Crashes)
		}
		t.Logf("%d workers: %d crashes, %d requests, %d refused as quarantined", n, crashes, tr.next, tr.quarantined)
		if limit := 1 + int(maxChanceProbability*float64(crashes)); tr.quarantined > limit {
			t.Errorf("%d workers: %d refused as quarantined after %d crashes; want at most %d", n, tr.quarantined, crashes, limit)
		}
	}
}

func TestRecentRunsAreRememberedAndExpire(t *testing.T) {
	var recent recentRuns
	for i := range 2000 {
		recent.add(content(i))
	}
	for i := 1900; i < 2000; i++ {
		if !recent.has(content(i)) {
			t.Fatalf("run %d of 2000 is missing", i)
		}
	}
	for i := range 3 * recentSets * recentWays {
		recent.add(model.Fingerprint{0: byte(i), 1: byte(i >> 8), 2: 9, 14: byte(i >> 8), 15: byte(i)})
	}
	if recent.has(content(1999)) {
		t.Error("a run is never evicted")
	}
}
