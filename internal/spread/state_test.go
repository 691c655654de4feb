package spread

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/rapidflags"
)

// fuzzState is the state of the fuzzed fleet, with the oracle's expectations.
type fuzzState struct {
	f *fleet
	// newest is the greatest version published with a valid signature.
	newest map[string]uint64
	// lastInForce is what each incarnation of a node had in force at the last check.
	lastInForce map[string]uint64
}

var fuzzedNames = []string{"a", "b", "c"}

const fuzzedNodes = 8

func newFuzzState(seed uint64) *fuzzState {
	s := &fuzzState{f: newFleet(fuzzedNodes, seed), newest: map[string]uint64{}, lastInForce: map[string]uint64{}}
	for _, name := range fuzzedNames {
		s.publish(name)
	}
	s.f.linkAll(2)
	s.f.run(5 * time.Second)
	return s
}

func (s *fuzzState) publish(name string) {
	s.newest[name]++
	s.f.publish(name, s.newest[name], 0)
}

// check verifies on every node that no version decreased and nothing unsigned is in
// force.
func (s *fuzzState) check(t *rapid.T) {
	for _, nd := range s.f.nodes {
		for _, name := range fuzzedNames {
			key := fmt.Sprintf("%s/%d/%s", nd.id, nd.incarnation, name)
			got := nd.inForce(name)
			if got < s.lastInForce[key] {
				t.Fatalf("%s went from version %d to %d", key, s.lastInForce[key], got)
			}
			if got > s.newest[name] {
				t.Fatalf("%s has version %d, %d is the newest", key, got, s.newest[name])
			}
			s.lastInForce[key] = got
		}
	}
}

func (s *fuzzState) pick(t *rapid.T) *node { return rapid.SampledFrom(s.f.nodes).Draw(t, "node") }

func (s *fuzzState) relink(nd *node) { s.f.linkSome(nd, 3, s.f.nodes) }

// actions are the faults and operator actions; any may occur at any time.
func (s *fuzzState) actions() map[string]func(*rapid.T) {
	f := s.f
	return map[string]func(*rapid.T){
		"":     s.check,
		"time": func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond) },
		"publish": func(t *rapid.T) {
			s.publish(rapid.SampledFrom(fuzzedNames).Draw(t, "name"))
		},
		"publish unsigned": func(t *rapid.T) {
			name := rapid.SampledFrom(fuzzedNames).Draw(t, "name")
			f.platform.values[model.BundleName(name)] = platformValue{version: s.newest[name] + 1, raw: []byte("?")}
		},
		"publish an old version": func(t *rapid.T) {
			name := rapid.SampledFrom(fuzzedNames).Draw(t, "name")
			old := rapid.Uint64Range(1, s.newest[name]).Draw(t, "version")
			f.publish(name, old, 0)
		},
		"platform down": func(t *rapid.T) { f.platform.down = !f.platform.down },
		"platform stale": func(t *rapid.T) {
			f.platform.stale = map[model.BundleName]platformValue{}
			for name, v := range f.platform.values {
				f.platform.stale[name] = v
			}
		},
		"platform fresh": func(t *rapid.T) { f.platform.stale = nil },
		"cut": func(t *rapid.T) {
			at := rapid.IntRange(0, fuzzedNodes).Draw(t, "at")
			f.partitioned = func(a, b *node) bool { return (a.at < at) != (b.at < at) }
		},
		"loss": func(t *rapid.T) { f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss") },
		"stop": func(t *rapid.T) {
			if nd := s.pick(t); !nd.paused {
				f.pauseNode(nd)
			}
		},
		"wake": func(t *rapid.T) {
			if nd := s.pick(t); nd.paused {
				f.resumeNode(nd)
			}
		},
		"restart": func(t *rapid.T) {
			nd := s.pick(t)
			nd.paused, nd.pausedDeliveries = false, nil
			f.restart(nd)
			f.run(5 * time.Millisecond)
			s.relink(nd)
		},
		"unlink": func(t *rapid.T) { f.unlink(s.pick(t), s.pick(t)) },
		"link":   func(t *rapid.T) { f.link(s.pick(t), s.pick(t)) },
		"old body": func(t *rapid.T) {
			name := rapid.SampledFrom(fuzzedNames).Draw(t, "name")
			old := rapid.Uint64Range(1, s.newest[name]).Draw(t, "version")
			f.post(s.pick(t), 0, control.ValueRead{Name: model.BundleName(name), Data: signed(name, old, 0)})
		},
	}
}

// stopFaults ends all faults and publishes a valid new version of each bundle.
func (s *fuzzState) stopFaults() {
	f := s.f
	f.platform.down, f.platform.stale, f.loss = false, nil, 0
	f.partitioned = func(a, b *node) bool { return false }
	for _, nd := range f.nodes {
		if nd.paused {
			f.resumeNode(nd)
		}
	}
	f.run(10 * time.Millisecond)
	for _, nd := range f.nodes {
		s.relink(nd)
	}
	for _, name := range fuzzedNames {
		s.publish(name)
	}
}

// setRapidSeed makes runs repeatable; -rapid.seed=0 requests a random seed.
func setRapidSeed(t *testing.T) {
	if err := rapidflags.Set(rapidflags.Flags{"rapid.seed": "20261202"}); err != nil {
		t.Fatal(err)
	}
}

func TestVersionsNeverDecreaseAndConvergeAfterFaults(t *testing.T) {
	setRapidSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newFuzzState(rapid.Uint64Range(0, 1000).Draw(t, "seed"))
		t.Repeat(s.actions())
		s.stopFaults()
		const most = 20 * time.Second
		converged := s.f.runUntil(s.f.now.Add(most), func() bool {
			for _, name := range fuzzedNames {
				if !allHave(s.f.nodes, name, s.newest[name]) {
					return false
				}
			}
			return true
		})
		if !converged {
			t.Fatalf("not converged %s after the faults", most)
		}
		s.check(t)
		s.f.run(10 * time.Second)
		for _, nd := range s.f.nodes {
			if age := s.f.now.Sub(nd.c.ConfirmedAt()); age > 10*time.Second {
				t.Fatalf("%s was confirmed %s ago", nd.id, age)
			}
		}
	})
}
