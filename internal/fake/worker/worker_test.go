package worker

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

var slow = []Profile{{Path: "/", MeanMs: 1000, SizeBytes: 500}, {Path: "/now"}}

func calls(n int, path string) []call {
	out := make([]call, n)
	for i := range out {
		out[i] = call{path: path, id: model.RequestID("id" + strconv.Itoa(i))}
	}
	return out
}

func TestAnswersMatchTheirRequests(t *testing.T) {
	runSynctest(t, Config{Profiles: slow}, func(t *testing.T, s harness) {
		c := call{path: "/a?n=1", id: "x"}
		r := s.do(t, c)
		checkOwnAnswer(t, c, r)
		if len(r.body) != 500 || r.took != time.Second {
			t.Errorf("%d bytes after %v, want 500 after 1s", len(r.body), r.took)
		}
		if s.Ledger().Runs("x") != 1 {
			t.Errorf("%d runs", s.Ledger().Runs("x"))
		}
	})
}

func TestRequestsOverTheSlotsQueueInOrderOrAreShed(t *testing.T) {
	runSynctest(t, Config{Slots: 2, QueueLimit: 3, QueueMs: 60_000, Profiles: slow}, func(t *testing.T, s harness) {
		cs := calls(6, "/a")
		rs := s.doConcurrently(t, cs...)
		for i, want := range []time.Duration{1, 1, 2, 2, 3} {
			checkOwnAnswer(t, cs[i], rs[i])
			if rs[i].took != want*time.Second {
				t.Errorf("request %d took %v, want %ds", i, rs[i].took, want)
			}
		}
		s.checkNotRun(t, cs[5], rs[5])
		got := s.Counters()
		if got.PeakRunning != 2 || got.OverSlots != 4 || got.Started != 5 || got.Finished != 5 || got.Shed != 1 {
			t.Errorf("%+v", got)
		}
	})
}

// A caller that cancels at the moment when a slot is handed over must hold the slot, or
// it would never be released.
func TestHandedOverSlotIsAcquiredDespiteCancellation(t *testing.T) {
	s := newSlots(1, 1, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	turn := make(chan struct{})
	close(turn)
	for range 100 { // select chooses at random among the ready cases
		if got := s.wait(ctx, time.Hour, turn); got != slotAcquired {
			t.Fatalf("result %d, want slotAcquired", got)
		}
	}
}

func TestSlotIsReleasedBeforeTheAnswerIsRead(t *testing.T) {
	runSynctest(t, Config{Profiles: []Profile{{Path: "/", SizeBytes: 1 << 20}}}, func(t *testing.T, s harness) {
		resp, err := s.client.Get("http://worker/a")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		synctest.Wait() // the worker blocks until the body is read
		if running, _ := s.slots.load(); running != 0 || s.Counters().PeakRunning != 1 {
			t.Errorf("%d running, at most %d", running, s.Counters().PeakRunning)
		}
	})
}

func TestSlotWaitIsBounded(t *testing.T) {
	runSynctest(t, Config{Slots: 1, QueueMs: 300, Profiles: slow}, func(t *testing.T, s harness) {
		cs := calls(3, "/a")
		cs[2].timeout = 100 * time.Millisecond
		rs := s.doConcurrently(t, cs...)
		checkOwnAnswer(t, cs[0], rs[0])
		s.checkNotRun(t, cs[1], rs[1])
		s.checkNotRun(t, cs[2], rs[2])
		if rs[1].took != 300*time.Millisecond || rs[2].took != 100*time.Millisecond {
			t.Errorf("waits of %v and %v, want 300ms and 100ms", rs[1].took, rs[2].took)
		}
	})
}

func TestCancellationAbortsRunsAndWaits(t *testing.T) {
	runSynctest(t, Config{Slots: 1, Profiles: slow}, func(t *testing.T, s harness) {
		cs := calls(2, "/a")
		for i, timeout := range []time.Duration{200, 100} { // the queued call cancels first
			ctx, cancel := context.WithTimeout(context.Background(), timeout*time.Millisecond)
			defer cancel()
			cs[i].ctx = ctx
		}
		for _, r := range s.doConcurrently(t, cs...) {
			if !errors.Is(r.err, context.DeadlineExceeded) {
				t.Errorf("%v, want deadline exceeded", r.err)
			}
		}
		synctest.Wait()
		running, waiting := s.slots.load()
		got := s.Counters()
		if got.Cancelled != 1 || got.LeftQueue != 1 || running != 0 || waiting != 0 {
			t.Errorf("running %d waiting %d %+v", running, waiting, got)
		}
	})
}

func TestIgnoreCancelCompletesTheRun(t *testing.T) {
	runSynctest(t, Config{Profiles: slow}, func(t *testing.T, s harness) {
		s.changeFaults(t, func(f *Faults) { f.IgnoreCancel = true })
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		s.do(t, call{path: "/a", id: "x", ctx: ctx})
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		if got := s.Counters(); got.Finished != 1 || got.Cancelled != 0 {
			t.Errorf("%+v", got)
		}
	})
}

func TestRunIsAbortedAtItsDeadline(t *testing.T) {
	runSynctest(t, Config{Profiles: slow}, func(t *testing.T, s harness) {
		c := call{path: "/a", id: "x", timeout: 200 * time.Millisecond}
		r := s.do(t, c)
		if r.status != http.StatusGatewayTimeout || r.notRun || r.took != c.timeout || s.Ledger().Runs("x") != 1 {
			t.Errorf("status %d not run %v after %v", r.status, r.notRun, r.took)
		}
		s.changeFaults(t, func(f *Faults) { f.IgnoreDeadline = true })
		checkOwnAnswer(t, c, s.do(t, c))
		if got := s.Counters(); got.Expired != 1 || got.Finished != 1 {
			t.Errorf("%+v", got)
		}
	})
}

func TestRejectingFaultsRunNothing(t *testing.T) {
	faults := map[string]func(*Faults){
		"cold":     func(f *Faults) { f.Cold = ColdShed },
		"draining": func(f *Faults) { f.Draining = true },
		"shedding": func(f *Faults) { f.ShedShare = 1 },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runSynctest(t, Config{Profiles: slow}, func(t *testing.T, s harness) {
				admitted := call{path: "/a", id: "before"}
				done := make(chan result)
				go func() { done <- s.do(t, admitted) }()
				synctest.Wait()
				s.changeFaults(t, fault)
				refused := call{path: "/a", id: "x"}
				s.checkNotRun(t, refused, s.do(t, refused))
				checkOwnAnswer(t, admitted, <-done)
				s.changeFaults(t, func(f *Faults) { *f = Faults{} })
				checkOwnAnswer(t, refused, s.do(t, refused))
			})
		})
	}
}

func TestSlowDownAndFailFast(t *testing.T) {
	runSynctest(t, Config{Profiles: slow}, func(t *testing.T, s harness) {
		s.changeFaults(t, func(f *Faults) { f.SlowFactor = 5 })
		c := call{path: "/a", id: "x"}
		if r := s.do(t, c); r.took != 5*time.Second {
			t.Errorf("slowed 5 times: took %v", r.took)
		}
		s.changeFaults(t, func(f *Faults) { f.FailShare = 1 })
		r := s.do(t, call{path: "/a", id: "y"})
		if r.status != http.StatusInternalServerError || r.notRun || r.took != 0 || r.attempt != "e/1/y" {
			t.Errorf("failing fast: %+v", r)
		}
		if s.Ledger().Runs("y") != 1 {
			t.Error("a request that failed fast did not count as run")
		}
	})
}

func TestPauseDelaysRequestsUntilItEnds(t *testing.T) {
	runSynctest(t, Config{Profiles: slow}, func(t *testing.T, s harness) {
		s.Pause(10 * time.Second)
		gone, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		cs := []call{
			{path: "/now", id: "patient"},
			{path: "/now", id: "old", timeout: 500 * time.Millisecond},
			{path: "/a", id: "gone", ctx: gone},
		}
		rs := s.doConcurrently(t, cs...)
		for i := range 2 { // the timeout counts from the end of the pause
			checkOwnAnswer(t, cs[i], rs[i])
			if rs[i].took != 10*time.Second {
				t.Errorf("%s: answered after %v, want 10s", cs[i].id, rs[i].took)
			}
		}
		synctest.Wait()
		if got := s.Counters(); got.Started != 3 || got.Cancelled != 1 {
			t.Errorf("a request whose caller left during the pause must start and be cancelled: %+v", got)
		}
	})
}

func TestCutAnswersAreTruncated(t *testing.T) {
	runSynctest(t, Config{Profiles: slow}, func(t *testing.T, s harness) {
		s.changeFaults(t, func(f *Faults) { f.CutShare = 1 })
		c := call{path: "/a", id: "x"}
		r := s.do(t, c)
		if !errors.Is(r.err, io.ErrUnexpectedEOF) || len(r.body) != 250 {
			t.Errorf("%d bytes, %v; want 250 and io.ErrUnexpectedEOF", len(r.body), r.err)
		}
		if err := answer.Check(r.body, expectedAnswer(c)); !errors.Is(err, answer.ErrTruncated) {
			t.Errorf("%v, want ErrTruncated", err)
		}
	})
}

func TestCrossedAnswersBelongToAnotherRequest(t *testing.T) {
	runSynctest(t, Config{}, func(t *testing.T, s harness) {
		first := call{path: "/a", id: "first"}
		for _, test := range []struct {
			name  string
			fault func(*Faults)
			echo  string
		}{
			{"wholly", func(f *Faults) { f.CrossedShare = 1 }, "e/1/first"},
			{"body", func(f *Faults) { f.CrossedBodyShare = 1 }, "e/1/second"},
		} {
			s.changeFaults(t, func(f *Faults) { *f = Faults{} })
			checkOwnAnswer(t, first, s.do(t, first))
			s.changeFaults(t, test.fault)
			second := call{path: "/a", id: "second"}
			r := s.do(t, second)
			if err := answer.Check(r.body, expectedAnswer(second)); !errors.Is(err, answer.ErrMismatch) {
				t.Errorf("%s: %v, want ErrMismatch", test.name, err)
			}
			if err := answer.Check(r.body, expectedAnswer(first)); err != nil {
				t.Errorf("%s: not the answer to the first request: %v", test.name, err)
			}
			if r.attempt != test.echo {
				t.Errorf("%s: echo %q, want %q", test.name, r.attempt, test.echo)
			}
		}
	})
}

// net/http treats a request with an Idempotency-Key and a rewindable body as idempotent,
// whatever its method, and replays it when a reused connection closes.
func TestClosedReusedConnectionCausesHTTPReplay(t *testing.T) {
	runSynctest(t, Config{}, func(t *testing.T, s harness) {
		s.changeFaults(t, func(f *Faults) { f.CloseReusedShare = 1 })
		first, second := call{path: "/a", id: "first"}, call{path: "/a", id: "second"}
		checkOwnAnswer(t, first, s.do(t, first))
		checkOwnAnswer(t, second, s.do(t, second))
		if runs := s.Ledger().Runs("second"); runs != 2 {
			t.Errorf("%d runs, want 2: one whose answer was lost, one by net/http's replay", runs)
		}
		if got := s.Ledger().Duplicates(); len(got) != 1 || got[0] != (RunCount{ID: "second", Runs: 2}) {
			t.Errorf("duplicates %v", got)
		}
		s.changeFaults(t, func(f *Faults) { *f = Faults{CloseShare: 1} })
		if r := s.do(t, call{path: "/a", id: "third"}); r.err == nil {
			t.Errorf("status %d, want no response", r.status)
		}
	})
}

func TestRequestWithBrokenBodyDoesNotRun(t *testing.T) {
	runSynctest(t, Config{}, func(t *testing.T, s harness) {
		body := io.MultiReader(strings.NewReader("half"), brokenReader{})
		req, err := http.NewRequest(http.MethodPost, "http://worker/a", io.NopCloser(body))
		if err != nil {
			t.Fatal(err)
		}
		req.ContentLength = 100
		req.Header.Set(wire.HeaderIdempotencyKey, "x")
		if resp, err := s.client.Do(req); err == nil {
			_ = resp.Body.Close()
			t.Error("a request with a broken body was answered")
		}
		synctest.Wait()
		if got := s.Counters(); got.BrokenBody != 1 || got.Started != 0 || s.Ledger().Runs("x") != 0 {
			t.Errorf("%+v", got)
		}
	})
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("broken") }
