package load

import (
	"errors"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
)

const goodPlan = `
targets = ["127.0.0.1:8001"]
duration_ms = 500

[[stream]]
class = "payouts"
tenant = "issuer"
worth = 10
rate_per_second = 20
method = "POST"
path = "/payouts"
copy_share = 0.1
burst = { every_ms = 100, factor = 4 }

[[step]]
at_ms = 100
url = "http://127.0.0.1:9101/faults"
body = '{"slow_factor":5}'
`

func TestParsePlanAppliesDefaultsAndOverrides(t *testing.T) {
	got, err := ParsePlan("p.toml", []byte(goodPlan), func(p *Plan) { p.Seed = 7 })
	if err != nil {
		t.Fatal(err)
	}
	want := NewPlan()
	want.Targets = []string{"127.0.0.1:8001"}
	want.DurationMs = 500
	want.Seed = 7
	want.Streams = []Stream{{Class: "payouts", Tenant: "issuer", Worth: 10, RatePerSecond: 20, Method: "POST", Path: "/payouts",
		CopyShare: 0.1, TimeoutMs: 1000, BodyBytes: 64, Burst: Burst{EveryMs: 100, MinMs: 5, MaxMs: 20, Factor: 4}}}
	want.Steps = []Step{{AtMs: 100, Method: "PATCH", URL: "http://127.0.0.1:9101/faults", Body: `{"slow_factor":5}`}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestPlanErrorsNameTheirKey(t *testing.T) {
	replace := func(old, new string) string { return strings.Replace(goodPlan, old, new, 1) }
	tests := []struct{ name, text, want string }{
		{"unknown key", replace("worth", "value"), "p.toml:8:1: stream[0].value: unknown key"},
		{"wrong type", replace("worth = 10", `worth = "x"`), "stream[0].worth: must be"},
		{"no targets", replace(`["127.0.0.1:8001"]`, "[]"), "p.toml:2:1: targets: missing"},
		{"host name", replace("127.0.0.1:8001", "node:8001"), `targets: element 0: "node:8001" is not an ip:port`},
		{"no streams", "targets = [\"127.0.0.1:8001\"]\n", "stream: 0 streams"},
		{"no class", replace(`class = "payouts"`, ""), "stream[0].class: missing"},
		{"no rate", replace("rate_per_second = 20", ""), "stream[0].rate_per_second: 0 must be from 0.001"},
		{"rate is not a number", replace("rate_per_second = 20", "rate_per_second = nan"), "stream[0].rate_per_second: NaN"},
		{"relative path", replace(`"/payouts"`, `"payouts"`), "stream[0].path"},
		{"query", replace(`"/payouts"`, `"/payouts?a=1"`), "stream[0].path"},
		{"method", replace(`"POST"`, `"PO ST"`), "stream[0].method"},
		{"copies of idempotent requests", replace(`"POST"`, `"GET"`), "stream[0].copy_share: is only allowed for requests that are not idempotent"},
		{"burst without factor", replace(", factor = 4", ""), "stream[0].burst.factor: 0 must be from 1"},
		{"step after the end", replace("at_ms = 100", "at_ms = 900"), "step[0].at_ms: 900 must be from 0 to 500"},
		{"step elsewhere", replace("http://127", "https://127"), "step[0].url"},
		{"too long", replace("duration_ms = 500", "duration_ms = 3600001"), "p.toml:3:1: duration_ms: 3600001 must be from 1 to 3600000"},
		{"pick", "pick = \"best\"\n" + goodPlan, `pick: "best" must be`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParsePlan("p.toml", []byte(test.text))
			var list finding.List
			if !errors.As(err, &list) || len(list) != 1 || !strings.Contains(list[0].String(), test.want) {
				t.Errorf("findings %q, want one with %q", err, test.want)
			}
		})
	}
	if _, err := CheckPlan(Plan{}); err == nil {
		t.Error("the zero plan passed the check")
	}
}

// arrivalRate returns the arrivals per second between from and to.
func arrivalRate(times []time.Duration, from, to time.Duration) float64 {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

func TestArrivalsArePoisson(t *testing.T) {
	a := newArrivals(&Stream{RatePerSecond: 1000}, rand.New(rand.NewPCG(1, 1)))
	const n = 100_000
	var sum, squares float64
	last := time.Duration(0)
	for range n {
		at := a.next()
		gap := (at - last).Seconds() * 1000
		sum += gap
		squares += gap * gap
		last = at
	}
	mean := sum / n
	deviation := math.Sqrt(squares/n - mean*mean)
	if math.Abs(mean-1) > 0.02 || math.Abs(deviation-1) > 0.02 {
		t.Errorf("gaps of mean %v and deviation %v ms, want 1 and 1", mean, deviation)
	}
}

func TestBurstRate(t *testing.T) {
	s := Stream{RatePerSecond: 10_000, Burst: Burst{EveryMs: 100, MinMs: 5, MaxMs: 20, Factor: 5}}
	a := newArrivals(&s, rand.New(rand.NewPCG(1, 1)))
	var inside, between []time.Duration
	for at := a.next(); at < 20*time.Second; at = a.next() {
		switch phase := at % (100 * time.Millisecond); {
		case phase < 5*time.Millisecond:
			inside = append(inside, at)
		case phase >= 20*time.Millisecond:
			between = append(between, at)
		}
	}
	if got := arrivalRate(inside, 0, 20*time.Second) / 0.05; math.Abs(got-50_000) > 1500 {
		t.Errorf("rate within bursts %v, want 50000", got)
	}
	if got := arrivalRate(between, 0, 20*time.Second) / 0.80; math.Abs(got-10_000) > 300 {
		t.Errorf("rate between bursts %v, want 10000", got)
	}
}

func TestSeedMakesArrivalsRepeatable(t *testing.T) {
	draw := func(seed uint64) []time.Duration {
		a := newArrivals(&Stream{RatePerSecond: 10}, rand.New(rand.NewPCG(seed, 1)))
		return []time.Duration{a.next(), a.next(), a.next()}
	}
	if diff := cmp.Diff(draw(1), draw(1)); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(draw(1), draw(2)) {
		t.Error("two seeds give the same arrival times")
	}
}

func TestLatenciesAreClampedToTheHistogram(t *testing.T) {
	l := newLatencyHistogram()
	for _, d := range []time.Duration{-time.Second, 0, time.Millisecond, 24 * time.Hour} {
		l.add(d)
	}
	got := l.quantiles()
	if got.Count != 4 || got.P50Us != 1 || got.MaxUs < maxLatencyUs {
		t.Errorf("quantiles %+v", got)
	}
}

func TestHTTPOracleSumsRunsOfAllWorkers(t *testing.T) {
	var addresses HTTPOracle
	for range 2 {
		w, err := worker.New(worker.Config{})
		if err != nil {
			t.Fatal(err)
		}
		req := httptest.NewRequest("POST", "/a", strings.NewReader("x"))
		req.Header.Set("Idempotency-Key", "x")
		w.Handler().ServeHTTP(httptest.NewRecorder(), req)
		server := httptest.NewServer(w.Control())
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	got, err := addresses.Runs(t.Context(), []model.RequestID{"y", "x"})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int{0, 2}, got); diff != "" {
		t.Error(diff)
	}
	if _, err := append(addresses, "127.0.0.1:1").Runs(t.Context(), nil); err == nil {
		t.Error("an unreachable worker was ignored")
	}
}

func TestWriteTable(t *testing.T) {
	r := Result{Seconds: 2, Truncated: true, EndedEarly: true,
		Streams: []Summary{{Class: "payouts", Tenant: "issuer", Counts: Counts{Sent: 200, Answered: 150, InDeadline: 100, NotRun: 30, Unknown: 20},
			Latency: Quantiles{P50Us: 1500, P99Us: 20_250, P999Us: 100_000}}},
		Steps:  []StepResult{{AtMs: 5, Method: "PATCH", URL: "http://h/faults", Error: "status 400"}},
		Oracle: &OracleResult{Checked: 200, Duplicates: 1, Examples: []string{"x ran 2 times"}},
	}
	var out strings.Builder
	if err := r.WriteTable(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"payouts", "issuer", "100.0", "50.00%", "30", "20", "1.50", "20.25", "100.00",
		"limit on requests", "stopped before", "FAILED: status 400", "1 ran more than once", "x ran 2 times"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
}
