package member

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/eventqueue"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	tickPhases  = 10
	dialTimeout = 3 * time.Second
)

// node is one controller with its fake adapters.
type node struct {
	inst        model.Instance
	c           *Controller
	board       *blackboard.Board
	alive       bool
	pausedUntil time.Time
	inbox       []control.Event
	events      map[event.ID]int
	// bytes and received count the encoded bytes sent to links and received from them.
	bytes    int
	received int
}

type delivery struct {
	to *node
	ev control.Event
}

type channel struct{ opener, acceptor model.InstanceID }

type listChange struct {
	at   time.Time
	inst model.Instance
}

// fleet connects controllers by an event queue on a fake clock.
type fleet struct {
	now      time.Time
	rng      *rand.Rand
	nodes    []*node
	byID     map[model.InstanceID]*node
	queue    eventqueue.Queue[delivery]
	channels map[channel]bool
	loss     float64
	// blocked reports whether no message passes between two nodes.
	blocked func(a, b *node) bool
	// changes is the history of the platform's list; a change's revision is its index
	// plus one.
	changes  []listChange
	listLag  time.Duration
	listDown bool
	// listFrozen is the time whose content the list serves; zero for the current time.
	listFrozen time.Time
	reads      int
	measure    bool
	// changeBytes counts the bytes of messages that are sent only because something
	// changed.
	changeBytes int
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 7)),
		byID: map[model.InstanceID]*node{}, channels: map[channel]bool{},
		blocked: func(_, _ *node) bool { return false },
	}
}

// newStableFleet returns a fleet of n live nodes in dcs data centres that has run for
// runFor.
func newStableFleet(t testing.TB, n, dcs int, runFor time.Duration) *fleet {
	t.Helper()
	f := newFleet(uint64(n))
	for i := range n {
		f.setListed(instance(i, dcs, model.StateLive))
	}
	for i := range n {
		f.start(instance(i, dcs, model.StateLive))
	}
	f.run(runFor)
	return f
}

func instance(i, dcs int, s model.UpstreamState) model.Instance {
	return model.Instance{
		ID: model.InstanceID(fmt.Sprintf("worker-%05d", i)), Service: model.ServiceName(fmt.Sprintf("service-%03d", i%630)),
		DataCentre: model.DataCentre(fmt.Sprintf("dc-%d", i%dcs)), PeerAddress: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250),
		Incarnation: 1_700_000_000_000_000, State: s,
	}
}

// setListed changes the platform's list entry of i from now on.
func (f *fleet) setListed(i model.Instance) {
	f.changes = append(f.changes, listChange{at: f.now, inst: i})
}

func (f *fleet) start(i model.Instance, seeds ...string) *node {
	n := &node{inst: i, board: &blackboard.Board{}, alive: true, events: map[event.ID]int{}}
	n.c = New(Config{Self: i, Seeds: seeds}, n.board, rand.New(rand.NewPCG(uint64(len(f.nodes)), uint64(i.Incarnation))))
	f.nodes = append(f.nodes, n)
	f.byID[i.ID] = n
	return n
}

// run advances the clock by d.
func (f *fleet) run(d time.Duration) {
	f.until(d, func() bool { return false })
}

// until advances the clock until done returns true, or by at most d, and returns the time
// taken.
func (f *fleet) until(d time.Duration, done func() bool) time.Duration {
	begin := f.now
	for f.now.Sub(begin) < d && !done() {
		f.now = f.now.Add(control.TickInterval / tickPhases)
		for _, next := range f.queue.Until(f.now) {
			f.handle(next.to, next.ev)
		}
		phase := int(f.now.Sub(epoch)/(control.TickInterval/tickPhases)) % tickPhases
		for i := phase; i < len(f.nodes); i += tickPhases {
			f.handle(f.nodes[i], control.Tick{})
		}
	}
	return f.now.Sub(begin)
}

func (f *fleet) handle(n *node, ev control.Event) {
	if !n.alive {
		return
	}
	if f.now.Before(n.pausedUntil) {
		if _, tick := ev.(control.Tick); !tick {
			n.inbox = append(n.inbox, ev)
		}
		return
	}
	for _, a := range n.c.Handle(f.now, ev) {
		f.perform(n, a)
	}
}

func (f *fleet) schedule(d time.Duration, to *node, ev control.Event) {
	f.queue.Add(f.now.Add(d), delivery{to: to, ev: ev})
}

func (f *fleet) delay() time.Duration {
	return time.Millisecond + time.Duration(f.rng.Int64N(int64(20*time.Millisecond)))
}

func (f *fleet) perform(n *node, a control.Action) {
	switch a := a.(type) {
	case control.Send:
		f.send(n, a)
	case control.OpenLink:
		f.open(n, a)
	case control.CloseLink:
		f.close(channel{opener: n.inst.ID, acceptor: a.Peer}, false)
	case control.ReadList:
		f.read(n, a.Since)
	case control.Record:
		n.events[a.Event]++
	case control.AdoptIncarnation:
		n.inst.Incarnation = a.Incarnation
	}
}

func (f *fleet) send(n *node, a control.Send) {
	size := f.size(a.Message)
	n.bytes += size
	if !isPeriodic(a.Message) {
		f.changeBytes += size
	}
	to := f.byID[a.To]
	linked := f.channels[channel{n.inst.ID, a.To}] || f.channels[channel{a.To, n.inst.ID}]
	if !linked || f.blocked(n, to) || f.rng.Float64() < f.loss {
		return
	}
	to.received += size
	f.schedule(f.delay(), to, control.Received{From: n.inst.ID, Message: a.Message})
}

// isPeriodic reports whether m is sent even when nothing changed.
func isPeriodic(m wire.Message) bool {
	switch m.(type) {
	case wire.Heartbeat, wire.ListBeacon, wire.Digest:
		return true
	}
	return false
}

// size returns a message's encoded size while the fleet is measured, otherwise zero.
func (f *fleet) size(m wire.Message) int {
	if !f.measure {
		return 0
	}
	data, err := wire.Encode(m)
	if err != nil {
		panic(err)
	}
	return len(data)
}

func (f *fleet) open(n *node, a control.OpenLink) {
	var to *node
	for _, other := range f.byID {
		if other.inst.PeerAddress == a.Address {
			to = other
		}
	}
	switch {
	case to == nil || !to.alive:
		f.schedule(f.delay(), n, control.LinkDown{Peer: a.Peer, Failed: true})
	case f.blocked(n, to) || f.now.Before(to.pausedUntil):
		f.schedule(dialTimeout, n, control.LinkDown{Peer: a.Peer, Failed: true})
	default:
		f.channels[channel{n.inst.ID, to.inst.ID}] = true
		f.schedule(f.delay(), to, control.LinkUp{Peer: n.c.Self()})
		f.schedule(f.delay(), n, control.LinkUp{Peer: to.c.Self(), Outgoing: true})
	}
}

// close ends a link. As in package link, only the end of the last link between two nodes
// is reported, and only the side that closed it knows that it was planned.
func (f *fleet) close(ch channel, failed bool) {
	if !f.channels[ch] {
		return
	}
	delete(f.channels, ch)
	if f.channels[channel{ch.acceptor, ch.opener}] {
		return
	}
	f.schedule(f.delay(), f.byID[ch.opener], control.LinkDown{Peer: ch.acceptor, Failed: failed})
	f.schedule(f.delay(), f.byID[ch.acceptor], control.LinkDown{Peer: ch.opener, Failed: true})
}

// kill ends a process without notice; its links break.
func (f *fleet) kill(n *node) {
	n.alive = false
	for _, other := range f.nodes {
		f.close(channel{n.inst.ID, other.inst.ID}, true)
		f.close(channel{other.inst.ID, n.inst.ID}, true)
	}
}

// restart starts a killed node's next incarnation.
func (f *fleet) restart(n *node) *node {
	i := n.inst
	i.Incarnation += 1_000_000
	i.State = model.StateLive
	at := 0
	for f.nodes[at] != n {
		at++
	}
	next := f.start(i, f.nodes[0].inst.PeerAddress, f.nodes[1].inst.PeerAddress)
	f.nodes = f.nodes[:len(f.nodes)-1]
	f.nodes[at] = next
	return next
}

// wake ends a pause of d: it delivers the pause first, then the events that waited.
func (f *fleet) wake(n *node, d time.Duration) {
	n.pausedUntil = time.Time{}
	inbox := n.inbox
	n.inbox = nil
	f.handle(n, control.Paused{For: d})
	for _, ev := range inbox {
		f.handle(n, ev)
	}
}

var errListDown = errors.New("list is unavailable")

func (f *fleet) read(n *node, since uint64) {
	f.reads++
	if f.listDown {
		f.schedule(f.delay(), n, control.ListReadFailed{Err: errListDown})
		return
	}
	at := f.now.Add(-f.listLag)
	if !f.listFrozen.IsZero() {
		at = f.listFrozen
	}
	out := control.ListRead{Full: since == 0}
	latest := map[model.InstanceID]model.Instance{}
	for i, ch := range f.changes {
		if ch.at.After(at) {
			break
		}
		out.Revision = uint64(i + 1)
		if out.Revision > since {
			latest[ch.inst.ID] = ch.inst
		}
	}
	for _, ch := range f.changes {
		i, ok := latest[ch.inst.ID]
		delete(latest, ch.inst.ID)
		if ok && !(out.Full && i.State == model.StateGone) {
			i.Incarnation = 0
			if i.State == model.StateGone {
				i = model.Instance{ID: i.ID, State: i.State}
			}
			out.Instances = append(out.Instances, i)
		}
	}
	f.schedule(f.delay(), n, out)
}

// state returns the state of id on n's blackboard; gone when it is not there.
func (n *node) state(id model.InstanceID) model.UpstreamState {
	all := n.board.Fleet.Get().Instances
	at, ok := slices.BinarySearchFunc(all, id, func(i model.Instance, id model.InstanceID) int { return cmp.Compare(i.ID, id) })
	if !ok {
		return model.StateGone
	}
	return all[at].State
}

// count returns how many running nodes see id in state s.
func (f *fleet) count(id model.InstanceID, s model.UpstreamState) int {
	k := 0
	for _, n := range f.nodes {
		if n.alive && n.state(id) == s {
			k++
		}
	}
	return k
}

func (f *fleet) living() int {
	k := 0
	for _, n := range f.nodes {
		if n.alive {
			k++
		}
	}
	return k
}

// converged reports whether all running nodes hold the same view with n instances.
func (f *fleet) converged(n int) bool {
	var first *node
	for _, x := range f.nodes {
		if !x.alive {
			continue
		}
		if first == nil {
			first = x
		}
		if x.c.dirty || x.c.table.present != n || x.c.table.root != first.c.table.root {
			return false
		}
	}
	return true
}

func (f *fleet) eventCount(id event.ID) int {
	k := 0
	for _, n := range f.nodes {
		k += n.events[id]
	}
	return k
}
