package proof

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/eventqueue"
	"gypsumstand/internal/model"
)

// epoch is the fake clock's start.
var epoch = time.Date(2025, time.March, 1, 8, 0, 0, 0, time.UTC)

// world is a fleet of simulated processes, their workers and callers, and the
// platform. One goroutine runs all of it.
type world struct {
	now      time.Time
	queue    eventqueue.Queue[func()]
	rng      *rand.Rand
	switches switches

	net      *network
	platform *platform
	nodes    []*node
	ledger   *ledger
	// quiet: callers of deadly requests do not come back any more.
	quiet bool
	// events counts those of the second.
	events int
	second int64
	// trace hashes what happened, so that two runs can be compared.
	trace trace
}

// newWorld returns a fleet whose processes have just started.
func newWorld(seed uint64, s switches) *world {
	w := &world{now: epoch, rng: rand.New(rand.NewPCG(seed, 0)), switches: s}
	w.trace = trace{hash: xxhash.New(), out: s.trace}
	w.ledger = newLedger(w)
	w.net = newNetwork(w)
	w.platform = newPlatform(w)
	w.platform.signOff()
	for i, p := range layout {
		w.nodes = append(w.nodes, newNode(w, i, p))
	}
	for _, n := range w.nodes {
		n.boot()
	}
	return w
}

// after runs f once d has passed.
func (w *world) after(d time.Duration, f func()) {
	w.queue.Add(w.now.Add(max(d, 0)), f)
}

// advance runs the world for d.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for at, run := range w.queue.Until(end) {
		w.now = at
		w.countEvent()
		run()
	}
	w.now = end
}

// stormEvents is the number of events within a second that no sound fleet of
// this size comes near.
const stormEvents = 100_000

// countEvent ends the world's run in a storm of events.
func (w *world) countEvent() {
	if second := w.now.Unix(); second != w.second {
		w.second, w.events = second, 0
	}
	w.events++
	if w.events == stormEvents {
		w.ledger.violate(recovery, "a storm of events")
		w.queue.Clear()
	}
}

// chance reports true with probability p.
func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// between draws a time from low up to high.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// node returns the place of that name, or nil.
func (w *world) node(id model.InstanceID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// at returns the place with that peer address, or nil.
func (w *world) at(address string) *node {
	for _, n := range w.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// trace is a running hash of what happened, which is also written to out.
type trace struct {
	hash *xxhash.Digest
	out  io.Writer
}

// add mixes the text of values in.
func (t *trace) add(w *world, what string, values ...any) {
	text := fmt.Sprintln(w.now.Sub(epoch), what, fmt.Sprint(values...))
	_, _ = t.hash.WriteString(text)
	if t.out != nil {
		_, _ = io.WriteString(t.out, text)
	}
}

// seeds are the peer addresses that every process's settings name.
func (w *world) seeds() []string { return []string{w.nodes[0].address, w.nodes[1].address} }
