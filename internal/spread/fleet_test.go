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

// framingBytes is what a message costs beside its CBOR: IP, TCP with timestamps,
// and the WebSocket frame.
const framingBytes = 60

// delivery is an event on its way to a node.
type delivery struct {
	to *node
	// life is the node's when the event was sent; another life does not get it.
	life int
	ev   control.Event
}

// node is one controller of a fleet with its links.
type node struct {
	id     model.InstanceID
	at     int
	c      *Controller
	board  *blackboard.Board
	peers  map[model.InstanceID]bool
	nextAt time.Time
	life   int
	// stopped nodes get nothing until they are woken.
	stopped   bool
	stoppedAt time.Time
	held      []delivery

	sentBytes, gotBytes int
	// hops is the number of links that the newest body passed to come here.
	hops    int
	records map[event.ID]int
}

// fleet joins controllers by a queue on a fake clock.
type fleet struct {
	now      time.Time
	rng      *rand.Rand
	nodes    []*node
	byID     map[model.InstanceID]*node
	queue    eventqueue.Queue[delivery]
	loss     float64
	cut      func(a, b *node) bool
	platform *fakePlatform
	opened   map[uint64]opened
	view     *model.Fleet
	// shareChecks lets all nodes share the result of checking one body.
	shareChecks bool
	// bytes of one body are shared by all nodes, and counted by kind of message.
	packed map[uint64][]byte
	kinds  map[string]int
	// minDelay and maxDelay bound the time of a message on its way.
	minDelay, maxDelay time.Duration
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		now:         epoch,
		rng:         rand.New(rand.NewPCG(seed, 99)),
		byID:        map[model.InstanceID]*node{},
		cut:         func(a, b *node) bool { return false },
		platform:    &fakePlatform{values: map[model.BundleName]platformValue{}, perSec: map[int64]int{}},
		opened:      map[uint64]opened{},
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

// restart gives a node a fresh controller and no links.
func (f *fleet) restart(nd *node) {
	for id := range nd.peers {
		delete(f.byID[id].peers, nd.id)
		f.post(f.byID[id], 0, control.LinkDown{Peer: nd.id, Failed: true})
	}
	nd.life++
	nd.peers = map[model.InstanceID]bool{}
	nd.records = map[event.ID]int{}
	nd.board = &blackboard.Board{}
	nd.board.Fleet.Put(f.view)
	rng := rand.New(rand.NewPCG(uint64(nd.at), uint64(nd.life)))
	nd.c = New(Config{Self: model.Instance{ID: nd.id}, Trusted: trusted}, nd.board, rng)
	if f.shareChecks {
		nd.c.open = f.openShared
	}
	nd.nextAt = f.now.Add(time.Duration(f.rng.Int64N(int64(control.TickInterval))))
}

func (f *fleet) openShared(file string, raw []byte) (opened, error) {
	key := xxhash.Sum64(raw)
	if got, ok := f.opened[key]; ok {
		return got, nil
	}
	got, err := openSigned(file, raw, trusted)
	if err == nil {
		f.opened[key] = got
	}
	return got, err
}

// showFleet lets all nodes know the size of the fleet.
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
	f.queue.Add(f.now.Add(after), delivery{to: to, life: to.life, ev: ev})
}

// run moves the clock by d in steps of ten milliseconds of ticks.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	f.runUntil(end, func() bool { return false })
}

// runUntil stops at end, or when done after a step.
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
		if d.life != d.to.life {
			continue
		}
		if d.to.stopped {
			d.to.held = append(d.to.held, d)
			continue
		}
		f.handle(d.to, d.ev)
	}
}

func (f *fleet) tickAll() {
	for _, nd := range f.nodes {
		if nd.stopped || f.now.Before(nd.nextAt) {
			continue
		}
		nd.nextAt = nd.nextAt.Add(control.TickInterval)
		f.handle(nd, control.Tick{})
	}
}

// stop freezes a node; wake lets it go on with what waited.
func (f *fleet) stop(nd *node) { nd.stopped, nd.stoppedAt = true, f.now }

func (f *fleet) wake(nd *node) {
	nd.stopped = false
	nd.nextAt = f.now
	f.handle(nd, control.Paused{For: f.now.Sub(nd.stoppedAt)})
	held := nd.held
	nd.held = nil
	for _, d := range held {
		if d.life == nd.life {
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
	if !from.peers[a.To] || f.cut(from, to) || f.rng.Float64() < f.loss {
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

// shared lets equal bodies share their bytes.
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

// inForce returns the version that a node's blackboard shows.
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

// allHave reports whether the given nodes all have the version in force.
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

// settle runs until all nodes are ready, and some time more.
func (f *fleet) settle(t testing.TB) {
	t.Helper()
	if !f.runUntil(f.now.Add(2*time.Minute), f.allReady) {
		t.Fatalf("not all ready after 2 min: %v", f.nodes[0].c.Missing())
	}
	f.run(10 * time.Second)
}

// rollOut publishes a version and returns the times after which the nodes had it
// in force, sorted.
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
