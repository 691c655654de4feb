package failure

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/local"
	"gypsumstand/internal/model"
)

// waitLimit bounds the wait for a state; a test that reaches it fails.
const waitLimit = 30 * time.Second

// pollInterval is the interval at which a state is checked.
const pollInterval = 10 * time.Millisecond

// bundleName is the name of the tests' bundle.
const bundleName = "failure"

// bundleText is the bundle, with a placeholder for its version. The services differ in
// whether workers must echo the attempt id; "raw" has workers that the tests implement.
const bundleText = `
name = "failure"
version = %d
[measuring]
per_upstream_per_second = 20
[[class]]
name = "view"
worth = 1.0
deadline_ms = 5000
max_deadline_ms = 20000
[[class]]
name = "payout"
worth = 10.0
deadline_ms = 5000
max_deadline_ms = 20000
[[class]]
name = "hasty"
worth = 1.0
deadline_ms = 500
[[service]]
name = "ledger"
slots = 4
connections = 40
warmup_ms = 1
health_path = "/health"
[[service.route]]
path = "/payouts"
class = "payout"
[[service.route]]
path = "/hasty"
class = "hasty"
[[service.route]]
path = "/"
class = "view"
[[service]]
name = "strict"
slots = 4
connections = 40
warmup_ms = 1
health_path = "/health"
require_echo = true
[[service.route]]
path = "/strict/payouts"
class = "payout"
[[service.route]]
path = "/strict"
class = "view"
[[service]]
name = "raw"
slots = 8
connections = 40
warmup_ms = 1
require_echo = true
[[service.route]]
path = "/raw/payouts"
class = "payout"
[[service.route]]
path = "/raw"
class = "view"
`

func bundleOf(version int) []byte { return fmt.Appendf(nil, bundleText, version) }

// Sizes of responses.
const (
	smallAnswer = 4 << 10
	// bigAnswer exceeds what the sockets on the path can buffer.
	bigAnswer = 32 << 20
)

// profiles are the paths of the stand-in workers.
var profiles = []worker.Profile{
	{Path: "/", MeanMs: 2, SizeBytes: smallAnswer},
	{Path: "/slow", MeanMs: 300, SizeBytes: smallAnswer},
	{Path: "/payouts/slow", MeanMs: 300, SizeBytes: smallAnswer},
	{Path: "/big", SizeBytes: bigAnswer},
}

// slots is the number of slots of each stand-in worker, as in the bundle.
const slots = 4

// config returns a fleet with n workers of the service "ledger", each in its own data
// centre.
func config(n int) local.Config {
	return local.Config{
		Bundle:      bundleOf(1),
		Services:    []local.Service{{Name: "ledger", Workers: n, Profiles: profiles}},
		DataCentres: n,
		Slots:       slots,
		StopTimeout: 20 * time.Second,
		Log:         zerolog.Nop(),
	}
}

// startFleet runs a fleet until the test ends. If the test fails it prints the nodes' logs.
func startFleet(t *testing.T, cfg local.Config) *local.Fleet {
	t.Helper()
	log := zerolog.New(newFailureLog(t))
	cfg.Log, cfg.RequestLog = log, log
	f, err := local.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	awaitMembers(t, f, "ready with all workers live", func(m *local.Member) bool {
		return local.Ready(m) && liveAt(m) == len(f.Members())
	})
	return f
}

// liveAt returns the number of live instances that the member's node knows.
func liveAt(m *local.Member) int {
	n := 0
	for _, in := range m.Node.Core().Board.Fleet.Get().Instances {
		if in.State == model.StateLive {
			n++
		}
	}
	return n
}

// stateAt returns the state of an instance as the member's node knows it.
func stateAt(m *local.Member, id model.InstanceID) model.UpstreamState {
	for _, in := range m.Node.Core().Board.Fleet.Get().Instances {
		if in.ID == id {
			return in.State
		}
	}
	return model.StateGone
}

func awaitMembers(t *testing.T, f *local.Fleet, what string, ok func(*local.Member) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	if err := f.Await(ctx, ok); err != nil {
		t.Fatalf("not %s: %v", what, err)
	}
}

// await polls until ok returns true; the test fails after waitLimit.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	limit := time.NewTimer(waitLimit)
	defer limit.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-ticker.C:
		case <-limit.C:
			t.Fatalf("still not: %s", what)
		}
	}
}

// awaitAnswer sends views to address until one is answered.
func awaitAnswer(t *testing.T, c *callers, address, path string) result {
	t.Helper()
	var got result
	await(t, "answered at "+address, func() bool {
		got = c.send(t.Context(), address, view(path))
		return got.answered()
	})
	return got
}

// awaitIdle waits until the owner of m has no attempt in flight or queued.
func awaitIdle(t *testing.T, m *local.Member) {
	t.Helper()
	await(t, string(m.ID)+" idle", func() bool {
		r := m.Node.Core().Owner.Report(time.Now())
		return r.InFlight == 0 && r.Queued == 0
	})
}
