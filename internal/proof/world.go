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

// epoch is the start of the fake clock.
var epoch = time.Date(2025, time.March, 1, 8, 0, 0, 0, time.UTC)

// world simulates a fleet: its processes, workers, callers and the platform. A single
// goroutine runs everything.
type world struct {
	now     time.Time
	queue   eventqueue.Queue[func()]
	rng     *rand.Rand
	options options

	net      *network
	platform *platform
	nodes    []*node
	ledger   *ledger
	// stopDeadly makes callers of deadly requests stop.
	stopDeadly bool
	// eventsInSecond counts the events within second, in Unix time.
	eventsInSecond int
	second         int64
	// trace hashes what happened, so that two runs can be compared.
	trace trace
}

// newWorld returns a fleet whose processes have just started.
func newWorld(seed uint64, opts options) *world {
	w := &world{now: epoch, rng: rand.New(rand.NewPCG(seed, 0)), options: opts}
	w.trace = trace{hash: xxhash.New(), out: opts.trace}
	w.ledger = newLedger(w)
	w.net = newNetwork(w)
	w.platform = newPlatform(w)
	w.platform.publish()
	for i, spec := range layout {
		w.nodes = append(w.nodes, newNode(w, i, spec))
	}
	for _, n := range w.nodes {
		n.boot()
	}
	return w
}

// after runs f when d has passed.
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

// maxEventsPerSecond detects an endless loop: a healthy fleet of this size stays far
// below it.
const maxEventsPerSecond = 100_000

// countEvent ends the run when there are too many events within a second.
func (w *world) countEvent() {
	if second := w.now.Unix(); second != w.second {
		w.second, w.eventsInSecond = second, 0
	}
	w.eventsInSecond++
	if w.eventsInSecond == maxEventsPerSecond {
		w.ledger.violate(promiseRecovery, "too many events within a second")
		w.queue.Clear()
	}
}

// chance returns true with probability p.
func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// between draws a duration from low to high, both included.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

// nodeByID returns the node with that id, or nil.
func (w *world) nodeByID(id model.InstanceID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// nodeByAddress returns the node with that peer address, or nil.
func (w *world) nodeByAddress(address string) *node {
	for _, n := range w.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// trace is a running hash of what happened; out also receives the text.
type trace struct {
	hash *xxhash.Digest
	out  io.Writer
}

// add adds one line, with the time since epoch, to the trace.
func (t *trace) add(w *world, what string, values ...any) {
	text := fmt.Sprintln(w.now.Sub(epoch), what, fmt.Sprint(values...))
	_, _ = t.hash.WriteString(text)
	if t.out != nil {
		_, _ = io.WriteString(t.out, text)
	}
}

// seedAddresses returns the seed peer addresses in every process's settings.
func (w *world) seedAddresses() []string { return []string{w.nodes[0].address, w.nodes[1].address} }
