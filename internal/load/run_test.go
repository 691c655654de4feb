package load

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gypsumstand/internal/fake/listen"
	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// runWithWorker runs f with a stand-in worker on a fake clock. wrap, when not nil, wraps
// the worker's handler in the place of a node.
func runWithWorker(t *testing.T, cfg worker.Config, wrap func(http.Handler) http.Handler, f func(t *testing.T, w *worker.Worker, opts Options)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w, err := worker.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		pipe := listen.NewPipe()
		server := w.NewServer(nil)
		if wrap != nil {
			server.Handler = wrap(server.Handler)
		}
		go func() { _ = server.Serve(pipe) }()
		f(t, w, Options{Dial: pipe.Dial, Oracle: LocalOracle{w.Ledger()}})
		_ = server.Close()
	})
}

// directPlan returns a plan with one stream that is sent directly to a worker.
func directPlan(stream Stream) Plan {
	p := NewPlan()
	p.Targets = []string{"127.0.0.1:1", "127.0.0.1:2"}
	p.Direct = true
	p.Seed = 1
	if stream.Class == "" {
		stream.Class = "c"
	}
	if stream.Path == "" {
		stream.Path = "/a"
	}
	p.Streams = []Stream{stream}
	return p
}

func run(t *testing.T, p Plan, opts Options) *Result {
	t.Helper()
	r, err := Run(context.Background(), p, opts)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRunCountsAndChecksEveryRequest(t *testing.T) {
	runWithWorker(t, worker.Config{Slots: 1000, Profiles: []worker.Profile{{Path: "/", MeanMs: 10}}}, nil, func(t *testing.T, w *worker.Worker, opts Options) {
		p := directPlan(Stream{RatePerSecond: 200, Worth: 2, Method: http.MethodPost, CopyShare: 0})
		p.Streams = append(p.Streams, Stream{Class: "c", Tenant: "x", Path: "/b", RatePerSecond: 100, TimeoutMs: 5}, Stream{Class: "d", Path: "/c", RatePerSecond: 50})
		r := run(t, p, opts)
		posts, late, total := r.Streams[0].Counts, r.Streams[1].Counts, r.Total.Counts
		if posts.Sent < 1700 || posts.Sent > 2300 || posts.Answered != posts.Sent || posts.InDeadline != posts.Sent {
			t.Errorf("posts %+v", posts)
		}
		if posts.Worth != 2*float64(posts.Sent) || posts.Worth != posts.WorthSent {
			t.Errorf("worth %v of %v", posts.Worth, posts.WorthSent)
		}
		if late.InDeadline != 0 || late.WorkerErrors != late.Sent {
			t.Errorf("requests whose run takes longer than their timeout: %+v", late)
		}
		if got := r.Classes[0].Counts.Sent; len(r.Classes) != 2 || got != posts.Sent+late.Sent {
			t.Errorf("%d classes, the first with %d", len(r.Classes), got)
		}
		if total.Sent != posts.Sent+late.Sent+r.Streams[2].Counts.Sent || int64(w.Counters().Received) != total.Sent {
			t.Errorf("%d sent, %d received", total.Sent, w.Counters().Received)
		}
		if l := r.Streams[0].Latency; l.P50Us < 9_990 || l.P999Us > 10_100 || l.Count != posts.Sent {
			t.Errorf("latency %+v, want 10 ms", l)
		}
		if !r.GuaranteesHeld() || r.Oracle.Checked != posts.Sent {
			t.Errorf("oracle %+v", r.Oracle)
		}
	})
}

// TestStallIsMeasuredFromIntendedTimes guards against coordinated omission: a generator
// that waits for responses sends few requests during a stall, so that the 99th percentile
// hides it.
func TestStallIsMeasuredFromIntendedTimes(t *testing.T) {
	runWithWorker(t, worker.Config{Profiles: []worker.Profile{{Path: "/", MeanMs: 1}}}, nil, func(t *testing.T, w *worker.Worker, opts Options) {
		p := directPlan(Stream{RatePerSecond: 500, TimeoutMs: 10_000})
		p.MaxInFlight = 10
		time.AfterFunc(4*time.Second, func() { w.Pause(2 * time.Second) })
		r := run(t, p, opts)
		c, l := r.Total.Counts, r.Total.Latency
		if c.Answered != c.Sent || c.Sent < 4500 {
			t.Fatalf("counts %+v", c)
		}
		// A fifth of the requests fall into the stall. Their latencies are spread evenly
		// over it, except during the time in which the backlog is sent.
		if l.P50Us > 2_000 || l.P90Us < 900_000 || l.P90Us > 1_500_000 || l.P99Us < 1_800_000 || l.MaxUs < 1_990_000 {
			t.Errorf("latency %+v", l)
		}
		if naive := r.Total.FromSend; naive.P99Us > 10_000 || naive.Count != c.Sent {
			t.Errorf("latency from sending %+v: the stall is visible there, so the test proves nothing", naive)
		}
		if r.Lateness.MaxUs < 1_900_000 {
			t.Errorf("lateness %+v", r.Lateness)
		}
	})
}

func TestExpiredRequestsAreNotSent(t *testing.T) {
	runWithWorker(t, worker.Config{}, nil, func(t *testing.T, w *worker.Worker, opts Options) {
		p := directPlan(Stream{RatePerSecond: 100, TimeoutMs: 500})
		p.MaxInFlight = 1
		w.Pause(5 * time.Second)
		r := run(t, p, opts)
		c := r.Total.Counts
		if c.Unsent < 300 || c.Broken == 0 || c.Answered == 0 || c.Sent != c.Unsent+c.Broken+c.Answered {
			t.Errorf("counts %+v", c)
		}
		if r.Total.All.Count != c.Sent || r.Total.All.MaxUs < 1_500_000 {
			t.Errorf("latency of all requests %+v", r.Total.All)
		}
	})
}

func TestCorruptedResponsesAreCounted(t *testing.T) {
	tests := []struct {
		name     string
		fault    func(*worker.Faults)
		wrap     func(http.Handler) http.Handler
		count    func(Counts) int64
		violated bool
	}{
		{"crossed", func(f *worker.Faults) { f.CrossedBodyShare = 1 }, nil, func(c Counts) int64 { return c.Wrong }, true},
		{"visibly truncated", func(f *worker.Faults) { f.CutShare = 1 }, nil, func(c Counts) int64 { return c.Broken }, false},
		{"truncated silently", nil, truncateResponses, func(c Counts) int64 { return c.Truncated }, true},
		{"connection closed", func(f *worker.Faults) { f.CloseShare = 1 }, nil, func(c Counts) int64 { return c.Broken }, false},
		{"failing", func(f *worker.Faults) { f.FailShare = 1 }, nil, func(c Counts) int64 { return c.WorkerErrors }, false},
		{"shed", func(f *worker.Faults) { f.ShedShare = 1 }, nil, func(c Counts) int64 { return c.NotRun }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithWorker(t, worker.Config{}, test.wrap, func(t *testing.T, w *worker.Worker, opts Options) {
				if test.fault != nil {
					if err := w.ChangeFaults(test.fault); err != nil {
						t.Fatal(err)
					}
				}
				p := directPlan(Stream{RatePerSecond: 50, Method: http.MethodPost})
				p.DurationMs = 1000
				r := run(t, p, opts)
				c := r.Total.Counts
				if c.Sent == 0 || test.count(c) != c.Sent || c.InDeadline != 0 {
					t.Errorf("counts %+v", c)
				}
				if r.GuaranteesHeld() == test.violated {
					t.Errorf("guarantees held: %v", r.GuaranteesHeld())
				}
			})
		})
	}
}

// truncateResponses ends responses early with a complete framing, as a faulty balancer
// would.
func truncateResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&truncatingWriter{ResponseWriter: rw}, r)
	})
}

type truncatingWriter struct{ http.ResponseWriter }

func (w *truncatingWriter) Write(p []byte) (int, error) {
	w.Header().Del("Content-Length")
	_, err := w.ResponseWriter.Write(p[:len(p)/2])
	return len(p), err
}

func TestNetHTTPNeverReplaysARequest(t *testing.T) {
	runWithWorker(t, worker.Config{}, nil, func(t *testing.T, w *worker.Worker, opts Options) {
		if err := w.ChangeFaults(func(f *worker.Faults) { f.CloseReusedShare = 0.5 }); err != nil {
			t.Fatal(err)
		}
		p := directPlan(Stream{RatePerSecond: 100, Method: http.MethodPost})
		p.DurationMs = 2000
		r := run(t, p, opts)
		if r.Total.Counts.Broken == 0 || r.Oracle.Duplicates != 0 {
			t.Errorf("counts %+v, oracle %+v", r.Total.Counts, r.Oracle)
		}
	})
}

func TestNotRunIsResentWithTheSameID(t *testing.T) {
	runWithWorker(t, worker.Config{}, nil, func(t *testing.T, w *worker.Worker, opts Options) {
		if err := w.ChangeFaults(func(f *worker.Faults) { f.Draining = true }); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(3*time.Second, func() { _ = w.ChangeFaults(func(f *worker.Faults) { f.Draining = false }) })
		p := directPlan(Stream{RatePerSecond: 20, Method: http.MethodPost, Resend: 1})
		p.DurationMs = 2500
		r := run(t, p, opts)
		c := r.Total.Counts
		if c.NotRun == 0 || c.Answered == 0 || c.NotRun+c.Answered != c.Sent || c.Resends != c.Sent || c.InDeadline != 0 {
			t.Errorf("counts %+v", c)
		}
		if !r.Oracle.Consistent() || r.Oracle.Checked != c.Sent {
			t.Errorf("oracle %+v", r.Oracle)
		}
	})
}

func TestCopiesGoToAnotherTarget(t *testing.T) {
	runWithWorker(t, worker.Config{}, nil, func(t *testing.T, w *worker.Worker, opts Options) {
		dialled := make(chan string, 1000)
		inner := opts.Dial
		opts.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			dialled <- address
			return inner(ctx, network, address)
		}
		p := directPlan(Stream{RatePerSecond: 20, Method: http.MethodPost, CopyShare: 1})
		p.MaxRequests = 1
		r := run(t, p, opts)
		if c := r.Total.Counts; c.Sent != 1 || c.Copies != c.Sent || r.Oracle.Duplicates != c.Sent || r.GuaranteesHeld() {
			t.Errorf("counts %+v, oracle %+v", c, r.Oracle)
		}
		close(dialled)
		seen := map[string]bool{}
		for a := range dialled {
			seen[a] = true
		}
		if len(seen) != 2 {
			t.Errorf("dialled %v, want two targets", seen)
		}
	})
}

func TestMaxRequestsAndContextEndTheRun(t *testing.T) {
	runWithWorker(t, worker.Config{}, nil, func(t *testing.T, w *worker.Worker, opts Options) {
		p := directPlan(Stream{RatePerSecond: 100})
		p.MaxRequests = 50
		if r := run(t, p, opts); r.Total.Counts.Sent != 50 || !r.Truncated {
			t.Errorf("%d sent, truncated %v", r.Total.Counts.Sent, r.Truncated)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		p.MaxRequests = 1000
		r, err := Run(ctx, p, Options{Dial: opts.Dial})
		if err != nil || !r.EndedEarly || r.Seconds > 0.2 {
			t.Errorf("stopped run: %+v, %v", r, err)
		}
	})
}

func TestOutcomeHeaderIsParsed(t *testing.T) {
	var outcome, status atomic.Value
	wrap := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(wire.HeaderOutcome, outcome.Load().(string))
			if s := status.Load().(int); s != http.StatusOK {
				rw.WriteHeader(s)
				return
			}
			next.ServeHTTP(rw, r)
		})
	}
	runWithWorker(t, worker.Config{}, wrap, func(t *testing.T, _ *worker.Worker, opts Options) {
		tests := []struct {
			outcome string
			status  int
			count   func(Counts) int64
		}{
			{"answered", 200, func(c Counts) int64 { return c.Answered }},
			{"answered", 500, func(c Counts) int64 { return c.WorkerErrors }},
			{"not-run", 503, func(c Counts) int64 { return c.NotRun }},
			{"not-run", 429, func(c Counts) int64 { return c.NotRun }},
			{"unknown", 504, func(c Counts) int64 { return c.Unknown }},
			{"not-run", 200, func(c Counts) int64 { return c.Malformed }},
			{"unknown", 200, func(c Counts) int64 { return c.Malformed }},
			{"", 200, func(c Counts) int64 { return c.Malformed }},
			{"perhaps", 502, func(c Counts) int64 { return c.Malformed }},
		}
		for _, test := range tests {
			outcome.Store(test.outcome)
			status.Store(test.status)
			p := directPlan(Stream{RatePerSecond: 20})
			p.Direct = false
			p.DurationMs = 1000
			c := run(t, p, opts).Total.Counts
			if c.Sent == 0 || test.count(c) != c.Sent {
				t.Errorf("outcome %q, status %d: counts %+v", test.outcome, test.status, c)
			}
		}
	})
}

func TestStepsRunAtTheirTimes(t *testing.T) {
	runWithWorker(t, worker.Config{}, nil, func(t *testing.T, w *worker.Worker, opts Options) {
		control := listen.NewPipe()
		server := &http.Server{Handler: w.Control()}
		go func() { _ = server.Serve(control) }()
		inner := opts.Dial
		opts.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if strings.HasSuffix(address, ":9") {
				return control.Dial(ctx, network, address)
			}
			return inner(ctx, network, address)
		}
		p := directPlan(Stream{RatePerSecond: 100})
		p.DurationMs = 2000
		p.Steps = []Step{
			{AtMs: 1500, URL: "http://127.0.0.1:9/faults", Body: `{"shed_share":2}`},
			{AtMs: 1000, URL: "http://127.0.0.1:9/faults", Body: `{"shed_share":1}`},
		}
		r := run(t, p, opts)
		if c := r.Total.Counts; c.NotRun < c.Sent*4/10 || c.NotRun > c.Sent*6/10 {
			t.Errorf("counts %+v", c)
		}
		if len(r.Steps) != 2 || r.Steps[0].Error != "" || !strings.Contains(r.Steps[1].Error, "shed_share") || r.StepsSucceeded() {
			t.Errorf("steps %+v", r.Steps)
		}
		_ = server.Close()
	})
}

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
		}
		p := directPlan(Stream{RatePerSecond: 20})
		p.DurationMs = 1000
		if c := run(t, p, Options{Dial: refuse}).Total.Counts; c.Sent == 0 || c.Unreachable != c.Sent {
			t.Errorf("counts %+v", c)
		}
	})
}

func TestOracleComparesOutcomesWithRuns(t *testing.T) {
	tests := []struct {
		name    string
		outcome reportedOutcome
		runs    int
		want    OracleResult
	}{
		{"once", reportedOutcome{kind: resultAnswered}, 1, OracleResult{}},
		{"twice", reportedOutcome{kind: resultAnswered}, 2, OracleResult{Duplicates: 1}},
		{"twice, unknown", reportedOutcome{kind: resultUnknown}, 2, OracleResult{Duplicates: 1}},
		{"twice, idempotent", reportedOutcome{kind: resultAnswered, idempotent: true}, 2, OracleResult{}},
		{"unknown", reportedOutcome{kind: resultUnknown}, 0, OracleResult{}},
		{"not run that ran", reportedOutcome{kind: resultNotRun}, 1, OracleResult{FalseNotRun: 1}},
		{"not run that ran, idempotent", reportedOutcome{kind: resultNotRun, idempotent: true}, 1, OracleResult{FalseNotRun: 1}},
		{"not run, the copy ran", reportedOutcome{kind: resultNotRun, copied: true}, 1, OracleResult{}},
		{"copies ran", reportedOutcome{kind: resultAnswered, copied: true}, 2, OracleResult{Duplicates: 1}},
		{"answered without a run", reportedOutcome{kind: resultAnswered}, 0, OracleResult{AnsweredWithoutRun: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got OracleResult
			test.outcome.id = "x"
			got.checkOne(test.outcome, test.runs)
			test.want.Checked = 1
			if got.Duplicates != test.want.Duplicates || got.FalseNotRun != test.want.FalseNotRun || got.AnsweredWithoutRun != test.want.AnsweredWithoutRun {
				t.Errorf("result %+v, want %+v", got, test.want)
			}
			if got.Consistent() != (len(got.Examples) == 0) {
				t.Errorf("consistent %v with examples %v", got.Consistent(), got.Examples)
			}
		})
	}
}

type forgetful struct{}

func (forgetful) Runs(model.RequestID) int { return 0 }
func (forgetful) Forgotten() uint64        { return 1 }

func TestOracleFailsWhenIDsAreForgotten(t *testing.T) {
	if _, err := (LocalOracle{forgetful{}}).Runs(context.Background(), nil); !errors.Is(err, ErrIncomplete) {
		t.Errorf("error %v, want ErrIncomplete", err)
	}
}
