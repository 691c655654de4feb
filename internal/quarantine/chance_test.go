package quarantine

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gypsumstand/internal/eventqueue"
	"gypsumstand/internal/model"
)

// service simulates workers that crash by chance under harmless requests, and the table
// that their owners share.
type service struct {
	rng     *rand.Rand
	now     time.Time
	queue   eventqueue.Queue[func()]
	table   table
	workers []*worker
	crashes int
	// requests counts those that arrived, quarantined those that were quarantined.
	requests, quarantined int
	next                  int
}

type worker struct {
	down bool
	// inFlight holds the runs of the current worker incarnation.
	inFlight map[*request]bool
}

type request struct {
	content        model.Fingerprint
	attempts       int
	alreadySuspect bool
}

// Parameters of the simulated service.
const (
	meanRun           = 200 * time.Millisecond
	restartTime       = 2 * time.Second
	slots             = 18
	maxAttempts       = 3
	popularRequests   = 3
	meanCrashInterval = 4 * time.Second
	rackLossInterval  = 3 * time.Minute
)

func (s *service) exp(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

func (s *service) after(d time.Duration, do func()) { s.queue.Add(s.now.Add(d), do) }

// arrive schedules the arrival of requests; a third of them are among a few popular ones.
func (s *service) arrive(every time.Duration) {
	s.after(s.exp(every), func() {
		s.requests++
		r := &request{}
		if s.rng.IntN(3) == 0 {
			r.content = content(s.rng.IntN(popularRequests))
		} else {
			s.next++
			r.content = model.Fingerprint{0: byte(s.next), 1: byte(s.next >> 8), 2: byte(s.next >> 16), 3: byte(s.next >> 24), 4: 1}
		}
		s.place(r)
		s.arrive(every)
	})
}

// place runs a request at a random worker if that is up and has a free slot.
func (s *service) place(r *request) {
	w := s.workers[s.rng.IntN(len(s.workers))]
	if w.down || len(w.inFlight) >= slots || r.attempts == maxAttempts {
		return
	}
	r.attempts++
	known := s.table.records[r.content]
	r.alreadySuspect = known != nil && known.unexplained > 0
	w.inFlight[r] = true
	s.after(s.exp(meanRun), func() {
		if w.inFlight[r] {
			delete(w.inFlight, r)
			s.table.clear(s.now, r.content)
			s.classify()
		}
	})
}

func (s *service) classify() {
	for _, t := range s.table.classify(s.now) {
		if t.quarantined {
			s.quarantined++
		}
	}
}

// crash makes workers crash at the same time and retries their runs elsewhere.
func (s *service) crash(workers ...*worker) {
	var again []*request
	for _, w := range workers {
		if w.down {
			continue
		}
		s.crashes++
		w.down = true
		for r := range w.inFlight {
			s.table.addCrash(s.now, r.content, crash{id: CrashID(s.crashes), owner: "w", at: s.now, alreadySuspect: r.alreadySuspect})
			again = append(again, r)
		}
		w.inFlight = map[*request]bool{}
		s.after(restartTime, func() { w.down = false })
	}
	s.classify()
	for _, r := range again {
		s.place(r)
	}
}

func (s *service) scheduleCrash(w *worker) {
	s.after(s.exp(meanCrashInterval*time.Duration(len(s.workers))), func() {
		s.crash(w)
		s.scheduleCrash(w)
	})
}

func (s *service) scheduleRackLoss() {
	s.after(rackLossInterval, func() {
		s.crash(s.workers[:len(s.workers)/2]...)
		s.scheduleRackLoss()
	})
}

// A harmless request is quarantined if it is in flight at three crashes without a completed
// run between them. With runs of length d and a crash of each worker every m that happens
// to a fraction (d/m)^3 of the requests. The simulated service, with a crash every 4 s and
// half of its workers crashing together every three minutes, is far worse than any usable
// one.
func TestChanceCrashesSeldomQuarantine(t *testing.T) {
	for _, n := range []int{3, 16} {
		s := &service{rng: rand.New(rand.NewPCG(uint64(n), 7)), now: epoch, table: newTable()}
		for range n {
			w := &worker{inFlight: map[*request]bool{}}
			s.workers = append(s.workers, w)
			s.scheduleCrash(w)
		}
		s.scheduleRackLoss()
		// Half of the slots are in use.
		s.arrive(meanRun / time.Duration(n*slots/2))
		end := s.now.Add(20 * time.Minute)
		for at, do := range s.queue.Until(end) {
			s.now = at
			do()
		}
		crashChance := float64(meanRun) / float64(meanCrashInterval*time.Duration(n))
		expected := float64(s.requests) * math.Pow(crashChance, quarantineThreshold)
		t.Logf("%d workers: %d crashes, %d requests, %d quarantined; %.1f expected", n, s.crashes, s.requests, s.quarantined, expected)
		// The limit is ten times the expected number, plus a margin for chance.
		if float64(s.quarantined) > 10*expected+5 {
			t.Errorf("%d workers: %d of %d harmless requests were quarantined; %.1f expected", n, s.quarantined, s.requests, expected)
		}
	}
}
