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

// newSuspectExecutor returns an executor with a quarantine. Its worker counts the runs and
// interrupts those whose path contains "breaks".
func newSuspectExecutor(t *testing.T) (x *Executor, q *quarantine.Quarantine, runs *atomic.Int64) {
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
	x.quarantine = q
	x.runInterrupted = func(r quarantine.Run) func() bool {
		q.RunFailed(time.Now(), r)
		q.WorkerCrashed(time.Now())
		return func() bool { return true }
	}
	return x, q, runs
}

// messageOf returns an attempt with a path and a body that arrives in the given way.
func messageOf(sequence uint64, path, body string, arrive func(*AttemptMessage, string)) *AttemptMessage {
	m := testMessage(sequence)
	m.URL = &url.URL{Path: path}
	arrive(m, body)
	return m
}

// The ways in which a body arrives.
func bufferedBody(m *AttemptMessage, body string) {
	m.BufferedBody, m.Body, m.ContentLength = []byte(body), io.NopCloser(strings.NewReader(body)), int64(len(body))
}

func fetchedBody(m *AttemptMessage, body string) {
	m.ContentLength = -1
	m.FetchBody = func() error {
		bufferedBody(m, body)
		return nil
	}
}

func streamedBody(m *AttemptMessage, body string) {
	m.Body, m.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
}

// do executes an attempt and reads its response.
func do(t *testing.T, x *Executor, m *AttemptMessage) Result {
	t.Helper()
	r := x.Do(t.Context(), m)
	if r.Response != nil {
		if _, err := io.ReadAll(r.Response.Body); err != nil {
			t.Error(err)
		}
		r.Response.Body.Close()
	}
	return r
}

func TestQuarantineIsIndependentOfBodyTransfer(t *testing.T) {
	long := strings.Repeat("x", 3*maxBufferedBody)
	for _, tt := range []struct {
		name   string
		body   string
		arrive func(*AttemptMessage, string)
	}{
		{"none", "", bufferedBody},
		{"held", "pay", bufferedBody},
		{"claimed", "pay", fetchedBody},
		{"streamed", long, streamedBody},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x, _, runs := newSuspectExecutor(t)
			for i := range uint64(2) {
				if r := do(t, x, messageOf(i+1, "/breaks", tt.body, tt.arrive)); r.Refusal.Reason != model.ReasonWorkerCrashed || r.Refusal.NotRun {
					t.Fatalf("run %d: %+v", i, r.Refusal)
				}
			}
			r := do(t, x, messageOf(4, "/breaks", tt.body, tt.arrive))
			if r.Refusal.Reason != model.ReasonQuarantined || !r.Refusal.NotRun || r.Refusal.RetryAfter <= 0 {
				t.Errorf("after two crashes with nothing else in flight: %+v; want it quarantined", r.Refusal)
			}
			if got := runs.Load(); got != 2 {
				t.Errorf("%d runs; want 2", got)
			}
			// Another body of the same length is another request.
			if tt.body == "" {
				return
			}
			if r := do(t, x, messageOf(5, "/breaks", "X"+tt.body[1:], tt.arrive)); r.Refusal.Reason != model.ReasonWorkerCrashed {
				t.Errorf("another body: %+v; want it to run", r.Refusal)
			}
		})
	}
}

// The fingerprint of a payout does not depend on how its body arrives.
func TestFingerprintIsIndependentOfBodyTransfer(t *testing.T) {
	x, _, _ := newSuspectExecutor(t)
	for i, arrive := range []func(*AttemptMessage, string){bufferedBody, fetchedBody, bufferedBody} {
		do(t, x, messageOf(uint64(i+1), "/breaks", "pay", arrive))
	}
	if r := do(t, x, messageOf(4, "/breaks", "pay", fetchedBody)); r.Refusal.Reason != model.ReasonQuarantined {
		t.Errorf("%+v; want it quarantined", r.Refusal)
	}
}

func TestCompleteResponseClearsRequest(t *testing.T) {
	x, q, _ := newSuspectExecutor(t)
	m := messageOf(1, "/sound", "pay", bufferedBody)
	fingerprint := x.newFingerprinter(m).fingerprint()
	q.RunFailed(time.Now(), quarantine.Run{Content: fingerprint, Started: time.Now()})
	q.WorkerCrashed(time.Now())
	if v := q.Evaluate(time.Now(), fingerprint, quarantine.Submission{}, ""); v.Crashes != 1 {
		t.Fatalf("%+v before", v)
	}
	do(t, x, m)
	if v := q.Evaluate(time.Now(), fingerprint, quarantine.Submission{}, ""); v.Crashes != 0 {
		t.Errorf("%+v after a complete response", v)
	}
}

// A run that was in flight when the node learned of a crash clears its request too.
func TestRunStartedBeforeCrashClearsRequest(t *testing.T) {
	x, q, _ := newSuspectExecutor(t)
	m := messageOf(1, "/sound", "pay", bufferedBody)
	fingerprint := x.newFingerprinter(m).fingerprint()
	r := x.Do(t.Context(), m)
	q.RunFailed(time.Now(), quarantine.Run{Content: fingerprint, Started: time.Now()})
	q.WorkerCrashed(time.Now())
	if _, err := io.ReadAll(r.Response.Body); err != nil {
		t.Fatal(err)
	}
	r.Response.Body.Close()
	if v := q.Evaluate(time.Now(), fingerprint, quarantine.Submission{}, ""); v.Crashes != 0 {
		t.Errorf("%+v after a complete response", v)
	}
}

// A submission that waits for a slot while its request is quarantined does not run.
func TestRequestQuarantinedWhileQueuedDoesNotRun(t *testing.T) {
	release := make(chan struct{})
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, "done")
	}))
	defer worker.Close()
	x, q, _ := newSuspectExecutor(t)
	x.address = strings.TrimPrefix(worker.URL, "http://")
	// Another request is already suspect, so the submission is evaluated on arrival.
	q.RunFailed(time.Now(), quarantine.Run{Content: model.Fingerprint{1}, Started: time.Now()})
	q.WorkerCrashed(time.Now())
	sound, quarantined := make(chan Result, 1), make(chan Result, 1)
	go func() { sound <- do(t, x, messageOf(1, "/sound", "", bufferedBody)) }()
	await(t, x.owner, func(r model.LoadReport) bool { return r.InFlight == 1 })
	waiting := messageOf(2, "/deadly", "pay", bufferedBody)
	fingerprint := x.newFingerprinter(waiting).fingerprint()
	go func() { quarantined <- do(t, x, waiting) }()
	await(t, x.owner, func(r model.LoadReport) bool { return r.Queued == 1 })
	for range 3 {
		q.RunFailed(time.Now(), quarantine.Run{Content: fingerprint, Started: time.Now(), AlreadySuspect: true})
		q.WorkerCrashed(time.Now())
	}
	close(release)
	if r := <-sound; r.Response == nil || r.Response.Status != http.StatusOK {
		t.Errorf("the other request: %+v, %+v; want it answered", r.Response, r.Refusal)
	}
	if r := <-quarantined; r.Refusal.Reason != model.ReasonQuarantined || !r.Refusal.NotRun {
		t.Errorf("%+v, %+v; want it quarantined", r.Response, r.Refusal)
	}
}

// BenchmarkExecutor measures an attempt from its offer to the end of its response, with
// and without a suspect request in the quarantine.
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
				x.quarantine.RunFailed(time.Now(), quarantine.Run{Content: model.Fingerprint{1}, Started: time.Now()})
				x.quarantine.WorkerCrashed(time.Now())
			}
			log := zerolog.Nop()
			x.requestLog = &log
			b.ReportAllocs()
			for i := uint64(1); b.Loop(); i++ {
				r := x.Do(b.Context(), messageOf(i, "/payouts", "pay", bufferedBody))
				if r.Response == nil {
					b.Fatalf("refused: %+v", r.Refusal)
				}
				_, _ = io.Copy(io.Discard, r.Response.Body)
				r.Response.Body.Close()
			}
		})
	}
}

// Two submissions of a suspect payout whose entry nodes had not sent the bodies yet ran
// at the same time, so both were in flight when the worker crashed again.
func TestSubmissionsOfSuspectRequestDoNotRunConcurrently(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	worker := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	}))
	t.Cleanup(worker.Close)
	_, x := withSlots(4, strings.TrimPrefix(worker.URL, "http://"))
	q := quarantine.New(quarantine.Config{
		Self: model.Instance{ID: "n0", Service: "ledger"}, Started: time.Now(),
		Fleet: func() *model.Fleet { return &model.Fleet{} },
	})
	x.quarantine = q
	first, second := messageOf(1, "/payouts", "pay", fetchedBody), messageOf(2, "/payouts", "pay", fetchedBody)
	fp := x.newFingerprinter(messageOf(3, "/payouts", "pay", bufferedBody))
	q.RunFailed(time.Now(), fp.run(time.Now()))
	q.WorkerCrashed(time.Now())
	done := make(chan Result, 1)
	go func() { done <- x.Do(context.Background(), first) }()
	<-started
	r := x.Do(t.Context(), second)
	if r.Refusal.Reason != model.ReasonDeferred || !r.Refusal.NotRun || r.Refusal.RetryAfter <= 0 {
		t.Errorf("%+v; want it deferred while the first runs", r.Refusal)
	}
	close(release)
	(<-done).Response.Body.Close()
}

// The only owner of a request had not noticed yet that its worker was down: it reported
// the worker as unreachable, and no other owner was asked.
func TestOnlyOwnerReroutesWhenWorkerIsDown(t *testing.T) {
	for _, ranCompletely := range []bool{false, true} {
		t.Run(fmt.Sprintf("ran completely here %t", ranCompletely), func(t *testing.T) { rerouteSuspect(t, ranCompletely) })
	}
}

// rerouteSuspect offers a suspect request to an owner without a worker. Other owners may
// not know that it has run completely there.
func rerouteSuspect(t *testing.T, ranCompletely bool) {
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
	x.quarantine, x.portClosed = q, func() { q.WorkerCrashed(time.Now()) }
	fp := x.newFingerprinter(messageOf(3, "/popular", "", bufferedBody))
	now := time.Now()
	if ranCompletely {
		q.RunCompleted(now, fp.fingerprint())
	}
	q.RunFailed(now.Add(-2*time.Second), fp.run(now.Add(-2*time.Second)))
	q.WorkerCrashed(now.Add(-2 * time.Second))
	for i := range 100 {
		q.Handle(now.Add(time.Duration(i-100)*control.TickInterval), control.Tick{})
	}
	r := x.Do(t.Context(), messageOf(1, "/popular", "", bufferedBody))
	if r.Refusal.Reason != model.ReasonDeferred || !r.Refusal.NotRun || !r.Refusal.Granted || r.Refusal.OnlyOwner == "n0" {
		t.Errorf("%+v; want it granted to another owner", r.Refusal)
	}
}

// A deadly request waited in the queue of its first owner and was sent on to another one,
// because the crash became known between its admission and its connection to the worker.
func TestQueuedSuspectIsNotSentOnWhenWorkerIsFoundDown(t *testing.T) {
	listener := httptest.NewServer(http.NotFoundHandler())
	listener.Close()
	x, q, _ := newSuspectExecutor(t)
	x.address = strings.TrimPrefix(listener.URL, "http://")
	m := messageOf(1, "/breaks", "", bufferedBody)
	content := x.newFingerprinter(m).fingerprint()
	x.worker = func() model.WorkerID {
		q.RunFailed(time.Now(), quarantine.Run{Content: content, Started: time.Now()})
		q.WorkerCrashed(time.Now())
		return ""
	}
	if r := x.Do(t.Context(), m).Refusal; r.Reason != model.ReasonDeferred || !r.NotRun {
		t.Errorf("got %+v; want it deferred", r)
	}
}

// A deadly lookup was refused as not ready, and sent on to another owner, because its body
// had been withheld, although it had none.
func TestSuspectWithoutBodyIsEvaluatedWhenOffered(t *testing.T) {
	x, q, _ := newSuspectExecutor(t)
	m := messageOf(1, "/breaks", "", bufferedBody)
	q.RunFailed(time.Now(), quarantine.Run{Content: x.newFingerprinter(m).fingerprint(), Started: time.Now()})
	q.WorkerCrashed(time.Now())
	x.owner.SetState(time.Now(), model.StateCold)
	m.FetchBody = func() error { return nil }
	if r := x.Do(t.Context(), m).Refusal; r.Reason != model.ReasonDeferred || !r.NotRun {
		t.Errorf("got %+v; want it deferred", r)
	}
}
