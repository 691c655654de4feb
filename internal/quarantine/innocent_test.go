package quarantine

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gypsumstand/internal/eventqueue"
	"gypsumstand/internal/model"
)

// service plays workers that end by themselves under innocent requests, and the table that
// their owners share.
type service struct {
	rng     *rand.Rand
	now     time.Time
	queue   eventqueue.Queue[func()]
	table   table
	workers []*worker
	ends    int
	// requests counts those that came, asides those that were put aside.
	requests, asides int
	next             int
}

type worker struct {
	down bool
	// inHand are the runs of the present life.
	inHand map[*request]bool
}

type request struct {
	content  model.Fingerprint
	attempts int
	doubted  bool
}

// Times of the service.
const (
	meanRun   = 200 * time.Millisecond
	downFor   = 2 * time.Second
	slots     = 18
	attempts  = 3
	popular   = 3
	meanEnds  = 4 * time.Second
	rackEvery = 3 * time.Minute
)

func (s *service) exp(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

func (s *service) after(d time.Duration, do func()) { s.queue.Add(s.now.Add(d), do) }

// come lets requests come for ever; a third is one of a few popular ones.
func (s *service) come(every time.Duration) {
	s.after(s.exp(every), func() {
		s.requests++
		r := &request{}
		if s.rng.IntN(3) == 0 {
			r.content = content(s.rng.IntN(popular))
		} else {
			s.next++
			r.content = model.Fingerprint{0: byte(s.next), 1: byte(s.next >> 8), 2: byte(s.next >> 16), 3: byte(s.next >> 24), 4: 1}
		}
		s.place(r)
		s.come(every)
	})
}

// place runs a request at a worker that is up, if one has room.
func (s *service) place(r *request) {
	w := s.workers[s.rng.IntN(len(s.workers))]
	if w.down || len(w.inHand) >= slots || r.attempts == attempts {
		return
	}
	r.attempts++
	known := s.table.records[r.content]
	r.doubted = known != nil && known.left > 0
	w.inHand[r] = true
	s.after(s.exp(meanRun), func() {
		if w.inHand[r] {
			delete(w.inHand, r)
			s.table.completed(s.now, r.content)
			s.judge()
		}
	})
}

func (s *service) judge() {
	for _, j := range s.table.judge(s.now) {
		if j.aside {
			s.asides++
		}
	}
}

// end ends workers at one moment, and all that they run is tried elsewhere.
func (s *service) end(workers ...*worker) {
	var again []*request
	for _, w := range workers {
		if w.down {
			continue
		}
		s.ends++
		w.down = true
		for r := range w.inHand {
			s.table.ended(s.now, r.content, end{id: CrashID(s.ends), owner: "w", at: s.now, doubted: r.doubted})
			again = append(again, r)
		}
		w.inHand = map[*request]bool{}
		s.after(downFor, func() { w.down = false })
	}
	s.judge()
	for _, r := range again {
		s.place(r)
	}
}

func (s *service) endNow(w *worker) {
	s.after(s.exp(meanEnds*time.Duration(len(s.workers))), func() {
		s.end(w)
		s.endNow(w)
	})
}

func (s *service) loseRacks() {
	s.after(rackEvery, func() {
		s.end(s.workers[:len(s.workers)/2]...)
		s.loseRacks()
	})
}

// An innocent request is put aside when it is in hand at three ends without a whole run
// between: with runs of d and an end of each worker every m, (d/m)^3 of those that come. A
// service whose workers end every 4 s by turns, and half of them at one moment every three
// minutes, is far beyond any that is still of use.
func TestInnocentRequestsAreSeldomPutAside(t *testing.T) {
	for _, n := range []int{3, 16} {
		s := &service{rng: rand.New(rand.NewPCG(uint64(n), 7)), now: epoch, table: newTable()}
		for range n {
			w := &worker{inHand: map[*request]bool{}}
			s.workers = append(s.workers, w)
			s.endNow(w)
		}
		s.loseRacks()
		// Half of the slots are used.
		s.come(meanRun / time.Duration(n*slots/2))
		end := s.now.Add(20 * time.Minute)
		for at, do := range s.queue.Until(end) {
			s.now = at
			do()
		}
		each := float64(meanRun) / float64(meanEnds*time.Duration(n))
		expected := float64(s.requests) * math.Pow(each, endsToPutAside)
		t.Logf("%d workers: %d ends, %d requests, %d put aside; %.1f by calculation", n, s.ends, s.requests, s.asides, expected)
		// Ten times the calculation, and some for chance.
		if float64(s.asides) > 10*expected+5 {
			t.Errorf("%d workers: %d of %d innocent requests were put aside; %.1f by calculation", n, s.asides, s.requests, expected)
		}
	}
}
