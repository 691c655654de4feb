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

// world is the state of the fuzzed fleet, with the oracle's own record.
type world struct {
	f *fleet
	// newest is the greatest version published with a sound signature.
	newest map[string]uint64
	// seen is what each node's life had in force at the last check.
	seen map[string]uint64
}

var fuzzedNames = []string{"a", "b", "c"}

const fuzzedNodes = 8

func newWorld(seed uint64) *world {
	w := &world{f: newFleet(fuzzedNodes, seed), newest: map[string]uint64{}, seen: map[string]uint64{}}
	for _, name := range fuzzedNames {
		w.publish(name)
	}
	w.f.linkAll(2)
	w.f.run(5 * time.Second)
	return w
}

func (w *world) publish(name string) {
	w.newest[name]++
	w.f.publish(name, w.newest[name], 0)
}

// check holds the oracle against every node: nothing goes backwards, nothing is
// in force that was not signed off.
func (w *world) check(t *rapid.T) {
	for _, nd := range w.f.nodes {
		for _, name := range fuzzedNames {
			key := fmt.Sprintf("%s/%d/%s", nd.id, nd.life, name)
			got := nd.inForce(name)
			if got < w.seen[key] {
				t.Fatalf("%s went from version %d to %d", key, w.seen[key], got)
			}
			if got > w.newest[name] {
				t.Fatalf("%s has version %d, %d is the newest", key, got, w.newest[name])
			}
			w.seen[key] = got
		}
	}
}

func (w *world) pick(t *rapid.T) *node { return rapid.SampledFrom(w.f.nodes).Draw(t, "node") }

func (w *world) relink(nd *node) { w.f.linkSome(nd, 3, w.f.nodes) }

// actions are the faults and the operators' deeds, any of them at any moment.
func (w *world) actions() map[string]func(*rapid.T) {
	f := w.f
	return map[string]func(*rapid.T){
		"":     w.check,
		"time": func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond) },
		"publish": func(t *rapid.T) {
			w.publish(rapid.SampledFrom(fuzzedNames).Draw(t, "name"))
		},
		"publish unsigned": func(t *rapid.T) {
			name := rapid.SampledFrom(fuzzedNames).Draw(t, "name")
			f.platform.values[model.BundleName(name)] = platformValue{version: w.newest[name] + 1, raw: []byte("?")}
		},
		"publish an old version": func(t *rapid.T) {
			name := rapid.SampledFrom(fuzzedNames).Draw(t, "name")
			old := rapid.Uint64Range(1, w.newest[name]).Draw(t, "version")
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
			f.cut = func(a, b *node) bool { return (a.at < at) != (b.at < at) }
		},
		"loss": func(t *rapid.T) { f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss") },
		"stop": func(t *rapid.T) {
			if nd := w.pick(t); !nd.stopped {
				f.stop(nd)
			}
		},
		"wake": func(t *rapid.T) {
			if nd := w.pick(t); nd.stopped {
				f.wake(nd)
			}
		},
		"restart": func(t *rapid.T) {
			nd := w.pick(t)
			nd.stopped, nd.held = false, nil
			f.restart(nd)
			f.run(5 * time.Millisecond)
			w.relink(nd)
		},
		"unlink": func(t *rapid.T) { f.unlink(w.pick(t), w.pick(t)) },
		"link":   func(t *rapid.T) { f.link(w.pick(t), w.pick(t)) },
		"old body": func(t *rapid.T) {
			name := rapid.SampledFrom(fuzzedNames).Draw(t, "name")
			old := rapid.Uint64Range(1, w.newest[name]).Draw(t, "version")
			f.post(w.pick(t), 0, control.ValueRead{Name: model.BundleName(name), Data: signed(name, old, 0)})
		},
	}
}

// stopFaults ends every fault; operators publish a sound version of each bundle.
func (w *world) stopFaults() {
	f := w.f
	f.platform.down, f.platform.stale, f.loss = false, nil, 0
	f.cut = func(a, b *node) bool { return false }
	for _, nd := range f.nodes {
		if nd.stopped {
			f.wake(nd)
		}
	}
	f.run(10 * time.Millisecond)
	for _, nd := range f.nodes {
		w.relink(nd)
	}
	for _, name := range fuzzedNames {
		w.publish(name)
	}
}

// fixSeed makes the run the same each time; -rapid.seed=0 asks for a fresh one.
func fixSeed(t *testing.T) {
	if err := rapidflags.Set(rapidflags.Flags{"rapid.seed": "20261202"}); err != nil {
		t.Fatal(err)
	}
}

func TestVersionsNeverDecreaseAndConvergeOnceFaultsStop(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64Range(0, 1000).Draw(t, "seed"))
		t.Repeat(w.actions())
		w.stopFaults()
		const most = 20 * time.Second
		converged := w.f.runUntil(w.f.now.Add(most), func() bool {
			for _, name := range fuzzedNames {
				if !allHave(w.f.nodes, name, w.newest[name]) {
					return false
				}
			}
			return true
		})
		if !converged {
			t.Fatalf("not converged %s after the faults", most)
		}
		w.check(t)
		w.f.run(10 * time.Second)
		for _, nd := range w.f.nodes {
			if age := w.f.now.Sub(nd.c.Confirmed()); age > 10*time.Second {
				t.Fatalf("%s was confirmed %s ago", nd.id, age)
			}
		}
	})
}
