package server

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/quarantine"
)

// suspects is an executor with a quarantine, whose worker counts its runs and breaks off
// those whose path holds "breaks".
func suspects(t *testing.T) (x *Executor, q *quarantine.Quarantine, runs *atomic.Int64) {
	t.Helper()
	runs = new(atomic.Int64)
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.Contains(r.URL.Path, "breaks") {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(worker.Close)
	_, x = oneSlot(strings.TrimPrefix(worker.URL, "http://"))
	q = quarantine.New(quarantine.Config{
		Self: model.Instance{ID: "n0", Service: "ledger"}, Started: time.Now(),
		Fleet: func() *model.Fleet { return &model.Fleet{} },
	})
	x.suspects = q
	x.broke = func(r quarantine.Run) bool {
		q.RunFailed(time.Now(), r)
		q.WorkerCrashed(time.Now())
		return true
	}
	return x, q, runs
}

// workOf is an attempt with a path and a body, in one of the ways in which it may come.
func workOf(sequence uint64, path, body string, way func(*AttemptMessage, string)) *AttemptMessage {
	w := testWork(sequence)
	w.URL = &url.URL{Path: path}
	way(w, body)
	return w
}

// The ways of a body.
func heldBody(w *AttemptMessage, body string) {
	w.BufferedBody, w.Body, w.ContentLength = []byte(body), io.NopCloser(strings.NewReader(body)), int64(len(body))
}

func claimedBody(w *AttemptMessage, body string) {
	w.ContentLength = -1
	w.FetchBody = func() error {
		heldBody(w, body)
		return nil
	}
}

func streamedBody(w *AttemptMessage, body string) {
	w.Body, w.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
}

// do carries an attempt out and reads its answer.
func do(t *testing.T, x *Executor, w *AttemptMessage) Result {
	t.Helper()
	r := x.Do(t.Context(), w)
	if r.Response != nil {
		if _, err := io.ReadAll(r.Response.Body); err != nil {
			t.Error(err)
		}
		r.Response.Body.Close()
	}
	return r
}

func TestARequestIsPutAsideHoweverItsBodyComes(t *testing.T) {
	long := strings.Repeat("x", 3*replayBytes)
	for _, tt := range []struct {
		name string
		body string
		way  func(*AttemptMessage, string)
	}{
		{"none", "", heldBody},
		{"held", "pay", heldBody},
		{"claimed", "pay", claimedBody},
		{"streamed", long, streamedBody},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x, _, runs := suspects(t)
			for i := range uint64(2) {
				if r := do(t, x, workOf(i+1, "/breaks", tt.body, tt.way)); r.Refusal.Reason != model.ReasonWorkerCrashed || r.Refusal.NotRun {
					t.Fatalf("run %d: %+v", i, r.Refusal)
				}
			}
			r := do(t, x, workOf(4, "/breaks", tt.body, tt.way))
			if r.Refusal.Reason != model.ReasonQuarantined || !r.Refusal.NotRun || r.Refusal.RetryAfter <= 0 {
				t.Errorf("after two ends with nothing else in hand: %+v; want put aside", r.Refusal)
			}
			if got := runs.Load(); got != 2 {
				t.Errorf("%d runs; want 2", got)
			}
			// Another body of the same length is another request.
			if tt.body == "" {
				return
			}
			if r := do(t, x, workOf(5, "/breaks", "X"+tt.body[1:], tt.way)); r.Refusal.Reason != model.ReasonWorkerCrashed {
				t.Errorf("another body: %+v; want it to run", r.Refusal)
			}
		})
	}
}

// The same payout is known again by whichever way it comes.
func TestTheWayOfABodyIsNoPartOfTheRequest(t *testing.T) {
	x, _, _ := suspects(t)
	for i, way := range []func(*AttemptMessage, string){heldBody, claimedBody, heldBody} {
		do(t, x, workOf(uint64(i+1), "/breaks", "pay", way))
	}
	if r := do(t, x, workOf(4, "/breaks", "pay", claimedBody)); r.Refusal.Reason != model.ReasonQuarantined {
		t.Errorf("%+v; want put aside", r.Refusal)
	}
}

func TestAWholeAnswerClearsARequest(t *testing.T) {
	x, q, _ := suspects(t)
	w := workOf(1, "/sound", "pay", heldBody)
	content := x.contentOf(w).fingerprint()
	q.RunFailed(time.Now(), quarantine.Run{Content: content, Started: time.Now()})
	q.WorkerCrashed(time.Now())
	if v := q.Evaluate(time.Now(), content, quarantine.Submission{}, ""); v.Crashes != 1 {
		t.Fatalf("%+v before", v)
	}
	do(t, x, w)
	if v := q.Evaluate(time.Now(), content, quarantine.Submission{}, ""); v.Crashes != 0 {
		t.Errorf("%+v after a whole answer", v)
	}
}

// A run that is under way when the node learns of an end clears its request too.
func TestARunFromBeforeAnEndClearsItsRequest(t *testing.T) {
	x, q, _ := suspects(t)
	w := workOf(1, "/sound", "pay", heldBody)
	content := x.contentOf(w).fingerprint()
	r := x.Do(t.Context(), w)
	q.RunFailed(time.Now(), quarantine.Run{Content: content, Started: time.Now()})
	q.WorkerCrashed(time.Now())
	if _, err := io.ReadAll(r.Response.Body); err != nil {
		t.Fatal(err)
	}
	r.Response.Body.Close()
	if v := q.Evaluate(time.Now(), content, quarantine.Submission{}, ""); v.Crashes != 0 {
		t.Errorf("%+v after a whole answer", v)
	}
}

// A sending that waits for a slot when its request is put aside does not run after all.
func TestARequestThatIsPutAsideWhileItWaitsDoesNotRun(t *testing.T) {
	release := make(chan struct{})
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, "done")
	}))
	defer worker.Close()
	x, q, _ := suspects(t)
	x.address = strings.TrimPrefix(worker.URL, "http://")
	// Something is suspect already, so that the sending is judged as it comes.
	q.RunFailed(time.Now(), quarantine.Run{Content: model.Fingerprint{1}, Started: time.Now()})
	q.WorkerCrashed(time.Now())
	results := make(chan Result, 2)
	go func() { results <- do(t, x, workOf(1, "/sound", "", heldBody)) }()
	await(t, x.owner, func(r model.LoadReport) bool { return r.InFlight == 1 })
	waiting := workOf(2, "/deadly", "pay", heldBody)
	content := x.contentOf(waiting).fingerprint()
	go func() { results <- do(t, x, waiting) }()
	await(t, x.owner, func(r model.LoadReport) bool { return r.Queued == 1 })
	for range 3 {
		q.RunFailed(time.Now(), quarantine.Run{Content: content, Started: time.Now(), AlreadySuspect: true})
		q.WorkerCrashed(time.Now())
	}
	close(release)
	<-results
	if r := <-results; r.Refusal.Reason != model.ReasonQuarantined || !r.Refusal.NotRun {
		t.Errorf("%+v, %+v; want put aside", r.Response, r.Refusal)
	}
}

// BenchmarkExecutor is an attempt from its offer to the end of its answer, beside no suspect
// request and beside one.
func BenchmarkExecutor(b *testing.B) {
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "done")
	}))
	defer worker.Close()
	for _, suspect := range []bool{false, true} {
		b.Run(map[bool]string{false: "none suspect", true: "one suspect"}[suspect], func(b *testing.B) {
			_, x := oneSlot(strings.TrimPrefix(worker.URL, "http://"))
			if suspect {
				x.suspects.RunFailed(time.Now(), quarantine.Run{Content: model.Fingerprint{1}, Started: time.Now()})
				x.suspects.WorkerCrashed(time.Now())
			}
			log := zerolog.Nop()
			x.requests = &log
			b.ReportAllocs()
			for i := uint64(1); b.Loop(); i++ {
				r := x.Do(b.Context(), workOf(i, "/payouts", "pay", heldBody))
				if r.Response == nil {
					b.Fatalf("refused: %+v", r.Refusal)
				}
				_, _ = io.Copy(io.Discard, r.Response.Body)
				r.Response.Body.Close()
			}
		})
	}
}

// Two sendings of a suspect payout whose bodies their entries withheld ran at one time, so that
// both were in hand when the worker ended again.
func TestTwoSendingsOfASuspectRequestDoNotRunAtOnce(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	worker := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-release
	}))
	t.Cleanup(worker.Close)
	_, x := withSlots(4, strings.TrimPrefix(worker.URL, "http://"))
	q := quarantine.New(quarantine.Config{
		Self: model.Instance{ID: "n0", Service: "ledger"}, Started: time.Now(),
		Fleet: func() *model.Fleet { return &model.Fleet{} },
	})
	x.suspects = q
	first, second := workOf(1, "/payouts", "pay", claimedBody), workOf(2, "/payouts", "pay", claimedBody)
	asked := x.contentOf(workOf(3, "/payouts", "pay", heldBody))
	q.RunFailed(time.Now(), asked.run(time.Now()))
	q.WorkerCrashed(time.Now())
	done := make(chan Result, 1)
	go func() { done <- x.Do(context.Background(), first) }()
	<-began
	r := x.Do(t.Context(), second)
	if r.Refusal.Reason != model.ReasonDeferred || !r.Refusal.NotRun || r.Refusal.RetryAfter <= 0 {
		t.Errorf("%+v; want it held back while the first runs", r.Refusal)
	}
	close(release)
	(<-done).Response.Body.Close()
}

// A request's only owner had not noticed yet that its worker was away: it said that the worker
// could not be reached, and nobody else was asked.
func TestTheOnlyOwnerLeavesARequestToAnotherWhenItsWorkerCannotBeReached(t *testing.T) {
	for _, ranWhole := range []bool{false, true} {
		t.Run(fmt.Sprintf("ran whole here %t", ranWhole), func(t *testing.T) { leftToAnother(t, ranWhole) })
	}
}

// leftToAnother offers a suspect request to an owner without a worker; others may not know that
// it ran whole there.
func leftToAnother(t *testing.T, ranWhole bool) {
	closed := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	_, x := withSlots(4, address)
	fleet := &model.Fleet{Revision: 1}
	for _, id := range []model.InstanceID{"n0", "n1", "n2", "n3"} {
		fleet.Instances = append(fleet.Instances, model.Instance{ID: id, Service: "ledger", PeerAddress: "a", State: model.StateLive})
	}
	q := quarantine.New(quarantine.Config{
		Self: fleet.Instances[0], Started: time.Now(),
		Fleet:   func() *model.Fleet { return fleet },
		SlotUse: func(time.Time) (float64, bool) { return 0, true },
	})
	x.suspects, x.portClosed = q, func() { q.WorkerCrashed(time.Now()) }
	asked := x.contentOf(workOf(3, "/popular", "", heldBody))
	now := time.Now()
	if ranWhole {
		q.RunCompleted(now, asked.fingerprint())
	}
	q.RunFailed(now.Add(-2*time.Second), asked.run(now.Add(-2*time.Second)))
	q.WorkerCrashed(now.Add(-2 * time.Second))
	for i := range 100 {
		q.Handle(now.Add(time.Duration(i-100)*control.TickInterval/10), control.Tick{})
	}
	r := x.Do(t.Context(), workOf(1, "/popular", "", heldBody))
	if r.Refusal.Reason != model.ReasonDeferred || !r.Refusal.NotRun || !r.Refusal.Granted || r.Refusal.OnlyOwner == "n0" {
		t.Errorf("%+v; want it lent to another owner", r.Refusal)
	}
}
