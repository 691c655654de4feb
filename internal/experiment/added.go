package experiment

import (
	"context"
	"time"

	"gypsumstand/internal/deploy"
	"gypsumstand/internal/load"
	"gypsumstand/internal/local"
	"gypsumstand/internal/pause"
)

// AddedLatency is the time that two nodes add to a call, beside the worker called
// directly in the same run.
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

// P50Ms and P99Ms are the differences of the quantiles.
func (a *AddedLatency) P50Ms() float64 { return a.ProxiedP50Ms - a.DirectP50Ms }

// P99Ms is the difference at the 99th percentile.
func (a *AddedLatency) P99Ms() float64 { return a.ProxiedP99Ms - a.DirectP99Ms }

// addedBundle has one service that answers at once.
const addedBundle = `
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

// addedServiceMs is the constant service time of the worker: short, so that the
// added time is seen, and constant, so that quantiles may be subtracted.
const addedServiceMs = 2

// MeasureAddedLatency calls a worker directly and through another node's caller port,
// one after the other and repeated, each time at the same rate.
func MeasureAddedLatency(ctx context.Context, rate float64, repeats int, d time.Duration) ([]AddedLatency, error) {
	dep, err := deploy.New("added", []byte(addedBundle), []int{1, 1})
	if err != nil {
		return nil, err
	}
	dep.MeanServiceMs = addedServiceMs
	cfg := dep.FleetConfig()
	cfg.DataCentres = 1
	cfg.CrossDelay = 0
	cfg.Services[0].Profiles[0].Distribution = "constant"
	fleet, err := local.Start(cfg)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	// The entry is the node of another service, so that each call crosses two.
	entry := fleet.Members()[1]
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.Await(ready, fleet.Warm); err != nil {
		return nil, err
	}
	pause.For(ctx, time.Second)
	var out []AddedLatency
	for i := range repeats {
		a, err := addedOnce(ctx, fleet, entry, rate, d)
		if err != nil {
			return out, err
		}
		a.Repeat = i
		out = append(out, a)
	}
	return out, nil
}

func addedOnce(ctx context.Context, fleet *local.Fleet, entry *local.Member, rate float64, d time.Duration) (AddedLatency, error) {
	direct, err := addedRun(ctx, fleet.Members()[0].WorkerAddress(), true, rate, d)
	if err != nil {
		return AddedLatency{}, err
	}
	through, err := addedRun(ctx, entry.Node.CallerAddress(), false, rate, d)
	if err != nil {
		return AddedLatency{}, err
	}
	return AddedLatency{
		RatePerSecond:     rate,
		DirectP50Ms:       float64(direct.FromSend.P50Us) / usPerMs,
		DirectP99Ms:       float64(direct.FromSend.P99Us) / usPerMs,
		ProxiedP50Ms:      float64(through.FromSend.P50Us) / usPerMs,
		ProxiedP99Ms:      float64(through.FromSend.P99Us) / usPerMs,
		DirectUnanswered:  direct.Counts.Sent - direct.Counts.Answered,
		ProxiedUnanswered: through.Counts.Sent - through.Counts.Answered,
	}, nil
}

// addedRun measures from the sending, without the generator's own lateness,
// which is several times the time that is looked for.
func addedRun(ctx context.Context, target string, direct bool, rate float64, d time.Duration) (load.Summary, error) {
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
