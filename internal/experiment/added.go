package experiment

import (
	"context"
	"time"

	"gypsumstand/internal/deploy"
	"gypsumstand/internal/load"
	"gypsumstand/internal/local"
	"gypsumstand/internal/pause"
)

// AddedLatency compares the latency of calls through two nodes with that of direct calls
// to the worker in the same run.
type AddedLatency struct {
	RatePerSecond float64 `json:"rate_per_second"`
	Repeat        int     `json:"repeat"`
	DirectP50Ms   float64 `json:"direct_p50_ms"`
	DirectP99Ms   float64 `json:"direct_p99_ms"`
	ProxiedP50Ms  float64 `json:"through_p50_ms"`
	ProxiedP99Ms  float64 `json:"through_p99_ms"`
	// DirectUnanswered and ProxiedUnanswered count the calls that were not answered.
	DirectUnanswered  int64 `json:"direct_lost"`
	ProxiedUnanswered int64 `json:"through_lost"`
}

// P50Ms returns the latency that the nodes add at the median, in milliseconds.
func (a *AddedLatency) P50Ms() float64 { return a.ProxiedP50Ms - a.DirectP50Ms }

// P99Ms returns the latency that the nodes add at the 99th percentile, in milliseconds.
func (a *AddedLatency) P99Ms() float64 { return a.ProxiedP99Ms - a.DirectP99Ms }

// addedLatencyBundle has a service whose worker is called, and one whose node serves as
// entry.
const addedLatencyBundle = `
name = "added"
version = 1
[[class]]
name = "view"
worth = 1.0
deadline_ms = 2000
[[service]]
name = "echo"
slots = 64
connections = 256
health_path = "/health"
[[service.route]]
path = "/"
class = "view"
[[service]]
name = "entry"
slots = 64
connections = 256
health_path = "/health"
[[service.route]]
path = "/entry"
class = "view"
`

// addedLatencyServiceMs is the constant service time of the worker: short, so that the
// added latency is visible, and constant, so that quantiles may be subtracted.
const addedLatencyServiceMs = 2

// MeasureAddedLatency calls a worker directly and then through another node's caller
// port, both at the same rate, and repeats this. d is the length of each run.
func MeasureAddedLatency(ctx context.Context, rate float64, repeats int, d time.Duration) ([]AddedLatency, error) {
	dep, err := deploy.New("added", []byte(addedLatencyBundle), []int{1, 1})
	if err != nil {
		return nil, err
	}
	dep.MeanServiceMs = addedLatencyServiceMs
	cfg := dep.FleetConfig()
	cfg.DataCentres = 1
	cfg.CrossDelay = 0
	cfg.Services[0].Profiles[0].Distribution = "constant"
	fleet, err := local.Start(cfg)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	// The entry node belongs to another service, so that each call passes through two
	// nodes.
	entry := fleet.Members()[1]
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.Await(readyCtx, fleet.Warm); err != nil {
		return nil, err
	}
	pause.For(ctx, time.Second)
	var out []AddedLatency
	for i := range repeats {
		a, err := measureAddedOnce(ctx, fleet, entry, rate, d)
		if err != nil {
			return out, err
		}
		a.Repeat = i
		out = append(out, a)
	}
	return out, nil
}

func measureAddedOnce(ctx context.Context, fleet *local.Fleet, entry *local.Member, rate float64, d time.Duration) (AddedLatency, error) {
	direct, err := runAtRate(ctx, fleet.Members()[0].WorkerAddress(), true, rate, d)
	if err != nil {
		return AddedLatency{}, err
	}
	proxied, err := runAtRate(ctx, entry.Node.CallerAddress(), false, rate, d)
	if err != nil {
		return AddedLatency{}, err
	}
	return AddedLatency{
		RatePerSecond:     rate,
		DirectP50Ms:       float64(direct.FromSend.P50Us) / usPerMs,
		DirectP99Ms:       float64(direct.FromSend.P99Us) / usPerMs,
		ProxiedP50Ms:      float64(proxied.FromSend.P50Us) / usPerMs,
		ProxiedP99Ms:      float64(proxied.FromSend.P99Us) / usPerMs,
		DirectUnanswered:  direct.Counts.Sent - direct.Counts.Answered,
		ProxiedUnanswered: proxied.Counts.Sent - proxied.Counts.Answered,
	}, nil
}

// runAtRate runs one stream against target. Its callers use FromSend, because the
// generator's own lateness is several times the latency to be measured.
func runAtRate(ctx context.Context, target string, direct bool, rate float64, d time.Duration) (load.Summary, error) {
	p := load.NewPlan()
	p.Targets = []string{target}
	p.Direct = direct
	p.DurationMs = d.Milliseconds()
	p.MaxInFlight = maxInFlight
	p.Streams = []load.Stream{{Class: "view", Worth: 1, Method: "GET", Path: "/", TimeoutMs: 2000, RatePerSecond: rate}}
	p, err := load.CheckPlan(p)
	if err != nil {
		return load.Summary{}, err
	}
	result, err := load.Run(ctx, p, load.Options{})
	if err != nil {
		return load.Summary{}, err
	}
	return result.Total, nil
}
