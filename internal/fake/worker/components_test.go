package worker

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/fake/listen"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

func (s harness) readReport(t *testing.T, path string) (int, Report) {
	t.Helper()
	resp, err := s.client.Get("http://worker" + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var out Report
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, out
}

func TestReportsLagAndOverrides(t *testing.T) {
	runSynctest(t, Config{Slots: 1, Profiles: slow}, func(t *testing.T, s harness) {
		check := func(when string, wantStatus int, want Report) {
			t.Helper()
			status, got := s.readReport(t, HealthPath)
			_, load := s.readReport(t, LoadPath)
			if status != wantStatus || got != want || load != want {
				t.Errorf("%s: %d %+v, load %+v; want %d %+v", when, status, got, load, wantStatus, want)
			}
		}
		idle := Report{State: "live", Slots: 1}
		busy := Report{State: "live", Slots: 1, Running: 1, Waiting: 1}
		s.changeFaults(t, func(f *Faults) { f.ReportLagMs = 500 })
		time.Sleep(time.Second)
		done := make(chan []result)
		go func() { done <- s.doConcurrently(t, calls(2, "/a")...) }()
		time.Sleep(400 * time.Millisecond)
		check("before the lag", http.StatusOK, idle)
		time.Sleep(200 * time.Millisecond)
		check("after the lag", http.StatusOK, busy)
		s.changeFaults(t, func(f *Faults) { f.LieHealthy, f.LieRunning = new(false), new(7) })
		check("lying", http.StatusServiceUnavailable, Report{State: "cold", Slots: 1, Running: 7, Waiting: 1})
		s.changeFaults(t, func(f *Faults) { *f = Faults{Draining: true} })
		check("draining", http.StatusServiceUnavailable, Report{State: "leaving", Slots: 1, Running: 1, Waiting: 1})
		<-done
		if got := s.Counters(); got.Measuring != 8 || got.MeasuringPeak == 0 || got.Received != 2 {
			t.Errorf("%+v", got)
		}
	})
}

func TestServiceTimeMean(t *testing.T) {
	const n, mean = 200_000, 8.0
	for _, p := range []Profile{
		{Distribution: Exponential, MeanMs: mean},
		{Distribution: Lognormal, MeanMs: mean, Sigma: 0.8},
		{Distribution: Constant, MeanMs: mean},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		sum, most := 0.0, 0.0
		for range n {
			ms := p.draw(rng).Seconds() * 1000
			sum += ms
			most = max(most, ms)
		}
		if got := sum / n; math.Abs(got-mean) > 0.02*mean {
			t.Errorf("%s: mean %v, want %v", p.Distribution, got, mean)
		}
		if most > maxMeanMultiple*mean || p.Distribution != Constant && most < 3*mean {
			t.Errorf("%s: largest service time %v ms", p.Distribution, most)
		}
	}
}

func TestLongestProfilePrefixWins(t *testing.T) {
	w, err := New(Config{Profiles: []Profile{{Path: "/a", SizeBytes: 1}, {Path: "/a/b", SizeBytes: 2}, {Path: "/", SizeBytes: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]int{"/a": 1, "/a/bc": 2, "/c": 3} {
		if got := w.profile(path).SizeBytes; got != want {
			t.Errorf("%s: profile %d, want %d", path, got, want)
		}
	}
}

func TestNewReportsEveryInvalidField(t *testing.T) {
	_, err := New(Config{Slots: -1, QueueMs: -1, Profiles: []Profile{{}, {
		Path: "/", Next: "x", Distribution: "flat", MeanMs: math.NaN(), Sigma: -1, SizeBytes: -1}}})
	var list finding.List
	if !errors.As(err, &list) {
		t.Fatalf("%v", err)
	}
	var keys []string
	for _, f := range list {
		keys = append(keys, f.Key)
	}
	want := []string{"slots", "queue_ms", "profile[0].path", "profile[1].next",
		"profile[1].distribution", "profile[1].mean_ms", "profile[1].sigma", "profile[1].size_bytes"}
	if diff := cmp.Diff(want, keys); diff != "" {
		t.Error(diff)
	}
}

func TestLedgerForgetsOldIDsOnly(t *testing.T) {
	l := NewLedger(10)
	for i := range 100 {
		id := model.RequestID(strconv.Itoa(i))
		l.add(id)
		l.add(id)
		for j := max(0, i-4); j <= i; j++ {
			if got := l.Runs(model.RequestID(strconv.Itoa(j))); got != 2 {
				t.Fatalf("after %d ids: id %d ran %d times, want 2", i+1, j, got)
			}
		}
	}
	if kept := len(l.newer) + len(l.older); kept > 10 || l.Forgotten() != uint64(100-kept) {
		t.Errorf("%d kept, %d forgotten", kept, l.Forgotten())
	}
}

// A worker whose node is the worker itself makes nested calls down to depth 0.
func TestNestedCallsPropagateBudgetAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipe := listen.NewPipe()
		transport := &http.Transport{DialContext: pipe.Dial, MaxIdleConnsPerHost: 100}
		w, err := New(Config{Node: "node", Transport: transport, Profiles: []Profile{{Path: "/", MeanMs: 10}}})
		if err != nil {
			t.Fatal(err)
		}
		var budgets, timeouts []string
		dropNested, lost := false, 0
		inner := w.Handler()
		server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if dropNested && strings.Contains(r.Header.Get(wire.HeaderIdempotencyKey), ".") {
				lost++
				panic(http.ErrAbortHandler)
			}
			budgets = append(budgets, r.Header.Get(wire.HeaderRetryBudget))
			timeouts = append(timeouts, r.Header.Get(wire.HeaderTimeout))
			inner.ServeHTTP(rw, r)
		})}
		go func() { _ = server.Serve(pipe) }()
		s := harness{Worker: w, client: &http.Client{Transport: transport}}
		req, err := http.NewRequest(http.MethodPost, "http://worker/a?depth=3&n=7", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(wire.HeaderIdempotencyKey, "x")
		req.Header.Set(wire.HeaderTimeout, "100")
		req.Header.Set(wire.HeaderRetryBudget, "2")
		resp, err := s.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
		if diff := cmp.Diff([]string{"2", "2", "2", "2"}, budgets); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff([]string{"100", "90", "80", "70"}, timeouts); diff != "" {
			t.Error(diff)
		}
		for _, id := range []model.RequestID{"x", "x.3", "x.3.2", "x.3.2.1"} {
			if w.Ledger().Runs(id) != 1 {
				t.Errorf("%s ran %d times", id, w.Ledger().Runs(id))
			}
		}
		s.changeFaults(t, func(f *Faults) { f.CrossedBodyShare = 1 })
		if r := s.do(t, call{path: "/a?depth=1", id: "y"}); r.status != http.StatusBadGateway {
			t.Errorf("crossed answer to the nested call: status %d, want 502", r.status)
		}
		dropNested = true
		if r := s.do(t, call{path: "/a?depth=1", id: "z"}); r.status != http.StatusBadGateway || lost != 1 {
			t.Errorf("lost answer to the nested call: status %d, sent %d times; want 502, once", r.status, lost)
		}
		if got := w.Counters(); got.Calls != 5 || got.CallsFailed != 2 {
			t.Errorf("%+v", got)
		}
		transport.CloseIdleConnections()
		_ = server.Close()
	})
}

func TestColdRefuseClosesThePort(t *testing.T) {
	l, err := listen.TCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	server := w.NewServer(l)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	get := func() error {
		resp, err := http.Get("http://" + l.Addr().String() + "/a")
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // keeps the connection reusable
			_ = resp.Body.Close()
		}
		return err
	}
	if err := get(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if open := w.Counters().Connections.Open; open != 1 {
			t.Errorf("%d connections open while warm", open)
		}
		if err := w.ChangeFaults(func(f *Faults) { f.Cold = ColdRefuse }); err != nil {
			t.Fatal(err)
		}
		if open := w.Counters().Connections.Open; open != 0 {
			t.Errorf("%d connections open while cold", open)
		}
		if err := get(); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("cold: %v, want connection refused", err)
		}
		if err := w.ChangeFaults(func(f *Faults) { f.Cold = ColdNone }); err != nil {
			t.Fatal(err)
		}
		if err := get(); err != nil {
			t.Errorf("warm: %v", err)
		}
	}
}

func TestInvalidFaultsChangeNothing(t *testing.T) {
	w, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	if err := w.ChangeFaults(func(f *Faults) { f.LieRunning, f.LieHealthy = new(1), new(true) }); err != nil {
		t.Fatal(err)
	}
	want := w.Faults()
	refused := w.ChangeFaults(func(f *Faults) { *f.LieRunning, *f.LieHealthy, f.CutShare = 2, false, 2 })
	if refused == nil {
		t.Error("a share of 2 was accepted")
	}
	if diff := cmp.Diff(want, w.Faults()); diff != "" {
		t.Error(diff)
	}
}

func TestControlHandler(t *testing.T) {
	w, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	w.ledger.add("x")
	w.ledger.add("x")
	handler := w.Control()
	steps := []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"PATCH", "/faults", `{"cold":"shed","lie_running":3}`, 204, ""},
		{"PATCH", "/faults", `{"lie_running":4,"cut_share":2}`, 400, "cut_share: must be from 0 to 1"},
		{"PATCH", "/faults", `{"lie_running":5,"colour":1}`, 400, "unknown field"},
		{"PATCH", "/faults", `{"slow_factor":5}`, 204, ""},
		{"PATCH", "/faults", `{"colour":1}`, 400, "unknown field"},
		{"PATCH", "/faults", `{"cold":"icy"}`, 400, "icy"},
		{"GET", "/faults", ``, 200, `"cold":"shed"`},
		{"GET", "/faults", ``, 200, `"lie_running":3`},
		{"GET", "/faults", ``, 200, `"slow_factor":5`},
		{"GET", "/counters", ``, 200, `"received":0`},
		{"POST", "/runs", `{"ids":["x","y"]}`, 200, `[{"id":"x","runs":2},{"id":"y","runs":0}]`},
		{"POST", "/runs", `[]`, 400, ""},
		{"GET", "/duplicates", ``, 200, `[{"id":"x","runs":2}]`},
		{"POST", "/pause?ms=0", ``, 400, "ms"},
		{"POST", "/pause", ``, 400, ""},
		{"POST", "/pause?ms=1", ``, 204, ""},
	}
	for _, s := range steps {
		rw := httptest.NewRecorder()
		handler.ServeHTTP(rw, httptest.NewRequest(s.method, s.path, strings.NewReader(s.body)))
		if rw.Code != s.status || !strings.Contains(rw.Body.String(), s.want) {
			t.Errorf("%s %s %s: status %d %s; want %d with %q", s.method, s.path, s.body, rw.Code, rw.Body, s.status, s.want)
		}
	}
}
