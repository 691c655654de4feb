package failure

import (
	"testing"

	"gypsumstand/internal/fake/platform"
	"gypsumstand/internal/local"
	"gypsumstand/internal/model"
)

func TestAPlatformThatFailsStopsNoNodeFromServingOrStarting(t *testing.T) {
	t.Parallel()
	cfg := config(3)
	cfg.SeedPeers = true
	f := startFleet(t, cfg)
	c := newCallers(t)
	outages := []platform.Outage{platform.OutageRefuse, platform.OutageHang}
	restarted := f.Members()[0]
	for _, outage := range outages {
		if err := f.Platform.ChangeFaults(func(f *platform.Faults) { f.ListOutage, f.ConfigOutage = outage, outage }); err != nil {
			t.Fatal(err)
		}
		c.together(t.Context(), f.CallerAddresses(), 30, 3, func(i int) request { return mixedLedger(i) })
		restarted = restart(t, f, cfg, restarted, 0)
		c.together(t.Context(), f.CallerAddresses(), 30, 3, func(i int) request { return mixedLedger(i) })
	}
	c.check(t, f.Ledger)
	for _, s := range c.sendings() {
		if !s.answered() {
			t.Errorf("%s %s: told %d %s %s, %v", s.method, s.id, s.status, s.outcome, s.reason, s.err)
		}
	}
}

// mixedLedger gives views and payouts of the service "ledger".
func mixedLedger(i int) request {
	if i%3 == 0 {
		return payout("/payouts")
	}
	return view("/a")
}

// restart kills a running member, the i-th of the service "ledger", starts it
// again as a new incarnation, and waits until all know it.
func restart(t *testing.T, f *local.Fleet, cfg local.Config, old *local.Member, i int) *local.Member {
	t.Helper()
	f.Kill(old)
	m, err := f.Add(cfg.Services[0], i)
	if err != nil {
		t.Fatal(err)
	}
	awaitMembers(t, f, "ready after a restart", local.Ready)
	incarnation := m.Node.Core().Board.Self.Get().Instance.Incarnation
	awaitMembers(t, f, "told of the restart", func(other *local.Member) bool {
		return liveAt(other) == cfg.Services[0].Workers && incarnationAt(other, m.ID) >= incarnation
	})
	return m
}

func incarnationAt(m *local.Member, id model.InstanceID) model.Incarnation {
	for _, in := range m.Node.Core().Board.Fleet.Get().Instances {
		if in.ID == id {
			return in.Incarnation
		}
	}
	return 0
}

func TestAStalePlatformNeverTakesABundleBack(t *testing.T) {
	t.Parallel()
	cfg := config(3)
	cfg.SeedPeers = true
	f := startFleet(t, cfg)
	c := newCallers(t)
	publish := func(version int) {
		if err := f.Publish(bundleOf(version)); err != nil {
			t.Fatal(err)
		}
	}
	inForce := func(version uint64) func(*local.Member) bool {
		return local.HasVersion(model.BundleVersion{Name: bundleName, Version: version})
	}
	publish(2)
	awaitMembers(t, f, "at version 2", inForce(2))
	publish(1)
	reads := f.Platform.Counters()
	restart(t, f, cfg, f.Members()[1], 1)
	await(t, "the old version read again", func() bool { return f.Platform.Counters() != reads })
	for _, address := range f.CallerAddresses() {
		got := awaitAnswer(t, c, address, "/a")
		if want := bundleName + "@2"; got.bundle != want {
			t.Errorf("%s decided under %s, want %s", address, got.bundle, want)
		}
	}
	publish(3)
	awaitMembers(t, f, "at version 3", inForce(3))
	c.check(t, f.Ledger)
}
