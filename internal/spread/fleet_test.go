package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/eventqueue"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// framingBytes is the overhead of a message beyond its CBOR: IP, TCP with timestamps, and
// the WebSocket frame.
const framingBytes = 60

// delivery is an event in transit to a node.
type delivery struct {
	to *node
	// incarnation is the node's when the event was sent; a restarted node does not
	// receive it.
	incarnation int
	ev          control.Event
}

// node is one controller of a fleet, with its links.
type node struct {
	id          model.InstanceID
	at          int
	c           *Controller
	board       *blackboard.Board
	peers       map[model.InstanceID]bool
	nextAt      time.Time
	incarnation int
	// Paused nodes receive nothing until they are resumed.
	paused           bool
	pausedAt         time.Time
	pausedDeliveries []delivery

	sentBytes, gotBytes int
	// hops is the number of links that the newest body passed on its way here.
	hops    int
	records map[event.ID]int
}

// fleet connects controllers by an event queue on a fake clock.
type fleet struct {
	now         time.Time
	rng         *rand.Rand
	nodes       []*node
	byID        map[model.InstanceID]*node
	queue       eventqueue.Queue[delivery]
	loss        float64
	partitioned func(a, b *node) bool
	platform    *fakePlatform
	checked     map[uint64]checkedBundle
	view        *model.Fleet
	// shareChecks makes all nodes share the result of checking one body.
	shareChecks bool
	// packed shares the bytes of equal bodies among all nodes; kinds counts bytes by
	// message type.
	packed map[uint64][]byte
	kinds  map[string]int
	// minDelay and maxDelay bound the transit time of a message.
	minDelay, maxDelay time.Duration
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		now:         epoch,
		rng:         rand.New(rand.NewPCG(seed, 99)),
		byID:        map[model.InstanceID]*node{},
		partitioned: func(a, b *node) bool { return false },
		platform:    &fakePlatform{values: map[model.BundleName]platformValue{}, perSec: map[int64]int{}},
		checked:     map[uint64]checkedBundle{},
		view:        &model.Fleet{},
		shareChecks: true,
		packed:      map[uint64][]byte{},
		kinds:       map[string]int{},
		minDelay:    500 * time.Microsecond,
		maxDelay:    2500 * time.Microsecond,
	}
	for range n {
		f.addNode()
	}
	return f
}

func (f *fleet) addNode() *node {
	nd := &node{id: model.InstanceID(fmt.Sprintf("n%05d", len(f.nodes))), at: len(f.nodes)}
	f.nodes = append(f.nodes, nd)
	f.byID[nd.id] = nd
	f.view = &model.Fleet{Instances: append(append([]model.Instance(nil), f.view.Instances...), model.Instance{ID: nd.id})}
	f.restart(nd)
	return nd
}

// restart gives a node a fresh controller without links.
func (f *fleet) restart(nd *node) {
	for id := range nd.peers {
		delete(f.byID[id].peers, nd.id)
		f.post(f.byID[id], 0, control.LinkDown{Peer: nd.id, Failed: true})
	}
	nd.incarnation++
	nd.peers = map[model.InstanceID]bool{}
	nd.records = map[event.ID]int{}
	nd.board = &blackboard.Board{}
	nd.board.Fleet.Put(f.view)
	rng := rand.New(rand.NewPCG(uint64(nd.at), uint64(nd.incarnation)))
	nd.c = New(Config{Self: model.Instance{ID: nd.id}, Trusted: trusted}, nd.board, rng)
	if f.shareChecks {
		nd.c.checkBody = f.checkShared
	}
	nd.nextAt = f.now.Add(time.Duration(f.rng.Int64N(int64(control.TickInterval))))
}

func (f *fleet) checkShared(file string, raw []byte) (checkedBundle, error) {
	key := xxhash.Sum64(raw)
	if got, ok := f.checked[key]; ok {
		return got, nil
	}
	got, err := checkSigned(file, raw, trusted)
	if err == nil {
		f.checked[key] = got
	}
	return got, err
}

// showFleet publishes the fleet's members to all nodes.
func (f *fleet) showFleet() {
	for _, nd := range f.nodes {
		nd.board.Fleet.Put(f.view)
	}
}

// link opens a link between two nodes.
func (f *fleet) link(a, b *node) {
	if a == b || a.peers[b.id] {
		return
	}
	a.peers[b.id], b.peers[a.id] = true, true
	f.post(a, time.Millisecond, control.LinkUp{Peer: model.Instance{ID: b.id}, Outgoing: true})
	f.post(b, time.Millisecond, control.LinkUp{Peer: model.Instance{ID: a.id}})
}

// linkAll gives every node the given number of outgoing links to random others.
func (f *fleet) linkAll(outgoing int) {
	f.showFleet()
	for _, nd := range f.nodes {
		f.linkSome(nd, outgoing, f.nodes)
	}
}

func (f *fleet) linkSome(nd *node, outgoing int, among []*node) {
	for range min(outgoing, len(among)-1) {
		f.link(nd, among[f.rng.IntN(len(among))])
	}
}

func (f *fleet) unlink(a, b *node) {
	if !a.peers[b.id] {
		return
	}
	delete(a.peers, b.id)
	delete(b.peers, a.id)
	f.post(a, 0, control.LinkDown{Peer: b.id, Failed: true})
	f.post(b, 0, control.LinkDown{Peer: a.id, Failed: true})
}

func (f *fleet) post(to *node, after time.Duration, ev control.Event) {
	f.queue.Add(f.now.Add(after), delivery{to: to, incarnation: to.incarnation, ev: ev})
}

// run advances the clock by d.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	f.runUntil(end, func() bool { return false })
}

// runUntil advances the clock in steps of 10 ms to end, or until done returns true, and
// returns whether it did.
func (f *fleet) runUntil(end time.Time, done func() bool) bool {
	const step = 10 * time.Millisecond
	for f.now.Before(end) {
		next := f.now.Add(step)
		f.deliverUntil(next)
		f.now = next
		f.tickAll()
		if done() {
			return true
		}
	}
	return false
}

func (f *fleet) deliverUntil(until time.Time) {
	for at, d := range f.queue.Until(until) {
		f.now = at
		if d.incarnation != d.to.incarnation {
			continue
		}
		if d.to.paused {
			d.to.pausedDeliveries = append(d.to.pausedDeliveries, d)
			continue
		}
		f.handle(d.to, d.ev)
	}
}

func (f *fleet) tickAll() {
	for _, nd := range f.nodes {
		if nd.paused || f.now.Before(nd.nextAt) {
			continue
		}
		nd.nextAt = nd.nextAt.Add(control.TickInterval)
		f.handle(nd, control.Tick{})
	}
}

// pauseNode freezes a node; resumeNode lets it continue with the events that waited.
func (f *fleet) pauseNode(nd *node) { nd.paused, nd.pausedAt = true, f.now }

func (f *fleet) resumeNode(nd *node) {
	nd.paused = false
	nd.nextAt = f.now
	f.handle(nd, control.Paused{For: f.now.Sub(nd.pausedAt)})
	held := nd.pausedDeliveries
	nd.pausedDeliveries = nil
	for _, d := range held {
		if d.incarnation == nd.incarnation {
			f.handle(nd, d.ev)
		}
	}
}

func (f *fleet) handle(nd *node, ev control.Event) {
	for _, a := range nd.c.Handle(f.now, ev) {
		switch a := a.(type) {
		case control.Send:
			f.send(nd, a)
		case control.ReadIndex:
			f.readIndex(nd)
		case control.ReadValue:
			f.readValue(nd, a.Name)
		case control.Record:
			nd.records[a.Event]++
		}
	}
}

func (f *fleet) send(from *node, a control.Send) {
	data, err := wire.Encode(a.Message)
	if err != nil {
		panic(err)
	}
	size := len(data) + framingBytes
	from.sentBytes += size
	f.kinds[fmt.Sprintf("%T", a.Message)] += size
	to := f.byID[a.To]
	if !from.peers[a.To] || f.partitioned(from, to) || f.rng.Float64() < f.loss {
		return
	}
	m, err := wire.Decode(data)
	if err != nil {
		panic(err)
	}
	to.gotBytes += size
	if body, ok := m.(wire.BundleBody); ok {
		to.hops = from.hops + 1
		m = f.shared(body)
	}
	f.post(to, f.delay(), control.Received{From: from.id, Message: m})
}

// shared makes equal bodies share their bytes.
func (f *fleet) shared(m wire.BundleBody) wire.BundleBody {
	key := xxhash.Sum64(m.Packed)
	if old, ok := f.packed[key]; ok {
		m.Packed = old
	}
	f.packed[key] = m.Packed
	return m
}

func (f *fleet) delay() time.Duration {
	return f.minDelay + time.Duration(f.rng.Int64N(int64(f.maxDelay-f.minDelay)))
}

// inForce returns the version on a node's blackboard; zero for none.
func (nd *node) inForce(name string) uint64 {
	set := nd.board.Bundles.Get()
	if set == nil {
		return 0
	}
	b := set.Bundle(model.BundleName(name))
	if b == nil {
		return 0
	}
	return b.Version
}

// allHave reports whether all given nodes have the version in force.
func allHave(nodes []*node, name string, version uint64) bool {
	for _, nd := range nodes {
		if nd.inForce(name) != version {
			return false
		}
	}
	return true
}

func (f *fleet) allReady() bool {
	for _, nd := range f.nodes {
		if !nd.c.Ready() {
			return false
		}
	}
	return true
}

// runUntilReady runs until all nodes are ready, and another 10 s.
func (f *fleet) runUntilReady(t testing.TB) {
	t.Helper()
	if !f.runUntil(f.now.Add(2*time.Minute), f.allReady) {
		t.Fatalf("not all ready after 2 min: %v", f.nodes[0].c.NotReadyReasons())
	}
	f.run(10 * time.Second)
}

// rollOut publishes a version and returns, sorted, the times until it was in force on
// each node.
func (f *fleet) rollOut(t testing.TB, name string, version uint64, size int) []time.Duration {
	t.Helper()
	f.publish(name, version, size)
	begun := f.now
	var times []time.Duration
	done := make([]bool, len(f.nodes))
	f.runUntil(begun.Add(time.Minute), func() bool {
		for i, nd := range f.nodes {
			if !done[i] && nd.inForce(name) == version {
				done[i] = true
				times = append(times, f.now.Sub(begun))
			}
		}
		return len(times) == len(f.nodes)
	})
	if len(times) != len(f.nodes) {
		t.Fatalf("%s@%d is in force on %d of %d nodes after a minute", name, version, len(times), len(f.nodes))
	}
	return times
}
