package quarantine

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// inHandAt tells a quarantine of an end with the contents in hand; those in doubted began when
// an end under them was known.
func inHandAt(q *Quarantine, now time.Time, length time.Duration, contents []int, doubted ...int) {
	for _, c := range contents {
		r := Run{Content: content(c), Started: now.Add(-length)}
		for _, d := range doubted {
			r.AlreadySuspect = r.AlreadySuspect || d == c
		}
		q.RunFailed(now, r)
	}
	q.WorkerCrashed(now)
}

func isAside(q *Quarantine, now time.Time, c int) bool {
	_, barred := q.Blocked(now, content(c))
	return barred
}

var twelve = []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}

func lone() *Quarantine {
	return New(Config{Self: model.Instance{ID: "n0", Service: "s"}, Started: epoch, Fleet: func() *model.Fleet { return nil }})
}

func TestTwoEndsPutARequestAsideWhereChanceDoesNotExplainThem(t *testing.T) {
	q := lone()
	inHandAt(q, at(1000), 50*time.Millisecond, twelve)
	inHandAt(q, at(5000), 50*time.Millisecond, []int{1, 20, 21, 22}, 1)
	for _, c := range append(twelve, 20, 21, 22) {
		if got := isAside(q, at(5001), c); got != (c == 1) {
			t.Errorf("request %d: put aside %t", c, got)
		}
	}
}

// Two sendings of one request were in hand at its second end, and were taken for two requests.
func TestTwoSendingsAtTheSecondEndAreOneRequest(t *testing.T) {
	q := lone()
	inHandAt(q, at(1000), 50*time.Millisecond, twelve)
	inHandAt(q, at(5000), 50*time.Millisecond, []int{1, 1, 20}, 1)
	if !isAside(q, at(5001), 1) {
		t.Error("not put aside")
	}
}

func TestTwoEndsAreTooFewWhereSomethingElseMayExplainThem(t *testing.T) {
	for _, tt := range []struct {
		name    string
		before  func(q *Quarantine)
		length  time.Duration
		doubted []int
	}{
		{"two that were suspect were in hand", func(*Quarantine) {}, 50 * time.Millisecond, []int{1, 2}},
		{"it began before the first end was known", func(*Quarantine) {}, 50 * time.Millisecond, nil},
		{"its run was a long one", func(*Quarantine) {}, 3 * time.Second, []int{1}},
		{"the worker ends again and again", func(q *Quarantine) {
			for i := range 20 {
				inHandAt(q, at(-40_000+2000*i), 50*time.Millisecond, []int{100 + i})
			}
		}, 50 * time.Millisecond, []int{1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := lone()
			tt.before(q)
			inHandAt(q, at(1000), tt.length, twelve)
			inHandAt(q, at(9000), tt.length, []int{1, 2, 20}, tt.doubted...)
			if isAside(q, at(9001), 1) || isAside(q, at(9001), 2) {
				t.Error("put aside after two ends")
			}
			inHandAt(q, at(17_000), tt.length, []int{1}, 1)
			if !isAside(q, at(17_001), 1) {
				t.Error("not put aside after three ends")
			}
		})
	}
}

// traffic plays innocent requests beside workers that end by themselves.
type traffic struct {
	*upstreams
	inHand map[*node]map[*job]bool
	next   int
	asides int
}

type job struct {
	content model.Fingerprint
	began   time.Time
	verdict Decision
	s       Submission
}

func (p *traffic) come(every time.Duration) {
	p.after(time.Duration(p.rng.ExpFloat64()*float64(every)), func() {
		p.next++
		p.place(&job{content: content(1000 + p.next)}, 0)
		p.come(every)
	})
}

// place offers a job to an owner with a worker, and to those that are named.
func (p *traffic) place(j *job, hops int) {
	at := p.owners[p.rng.IntN(len(p.owners))]
	for hops < mostHops && !p.down[at] {
		hops++
		v := at.q.Evaluate(p.now, j.content, j.s, "")
		if v.Quarantined {
			p.asides++
			return
		}
		if !v.Deferred {
			p.start(at, j, v)
			return
		}
		if p.byID[v.OnlyOwner] == nil {
			return
		}
		at, j.s.Granted = p.byID[v.OnlyOwner], v.Granted
	}
}

func (p *traffic) start(at *node, j *job, v Decision) {
	j.began, j.verdict = p.now, v
	p.inHand[at][j] = true
	p.after(time.Duration(p.rng.ExpFloat64()*float64(meanRun)), func() {
		if p.inHand[at][j] {
			delete(p.inHand[at], j)
			at.q.RunCompleted(p.now, j.content)
			p.wake(at)
		}
	})
}

func (p *traffic) endNow(every time.Duration) {
	p.after(time.Duration(p.rng.ExpFloat64()*float64(every)), func() {
		p.endNow(every)
		at := p.owners[p.rng.IntN(len(p.owners))]
		if p.down[at] {
			return
		}
		var runs []Run
		lost := p.inHand[at]
		p.inHand[at] = map[*job]bool{}
		for j := range lost {
			runs = append(runs, Run{Content: j.content, Started: j.began, AlreadySuspect: j.s.Crashes > 0 || j.verdict.Crashes > 0})
		}
		p.end(at, runs...)
		for j := range lost {
			j.s = Submission{Crashes: j.s.Crashes + 1}
			p.place(j, 0)
		}
	})
}

// Workers that end by themselves every few seconds, with a dozen requests in hand each time,
// hardly ever put one aside.
func TestInnocentRequestsAreSeldomPutAsideByTwoEnds(t *testing.T) {
	for _, n := range []int{3, 16} {
		p := &traffic{upstreams: newUpstreams(n, 0.6), inHand: map[*node]map[*job]bool{}}
		for _, nd := range p.owners {
			p.inHand[nd] = map[*job]bool{}
		}
		p.come(meanRun / time.Duration(n*slots/2))
		p.endNow(10 * time.Second / time.Duration(n))
		p.play(3 * time.Minute)
		ends := 0
		for _, nd := range p.owners {
			ends += int(nd.q.Counts().Crashes)
		}
		t.Logf("%d workers: %d ends, %d requests, %d refused as put aside", n, ends, p.next, p.asides)
		if most := 1 + int(mostByChance*float64(ends)); p.asides > most {
			t.Errorf("%d workers: %d refused as put aside after %d ends; want %d at most", n, p.asides, ends, most)
		}
	}
}

func TestWhatRanWholeOfLateIsKnownAndForgottenInTime(t *testing.T) {
	var w wholeRuns
	for i := range 2000 {
		w.add(content(i))
	}
	for i := 1900; i < 2000; i++ {
		if !w.has(content(i)) {
			t.Fatalf("run %d of 2000 is forgotten", i)
		}
	}
	for i := range 3 * wholeSets * wholeWays {
		w.add(model.Fingerprint{0: byte(i), 1: byte(i >> 8), 2: 9, 14: byte(i >> 8), 15: byte(i)})
	}
	if w.has(content(1999)) {
		t.Error("a run is remembered for ever")
	}
}
