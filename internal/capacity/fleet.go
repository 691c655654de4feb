// Package capacity measures what one node spends on control as the fleet grows:
// decision cores joined by a queue of messages on a fake clock. It hands messages
// over, with delay and loss, and plays the platform; it simulates nothing else.
package capacity

import (
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/core"
	"gypsumstand/internal/eventqueue"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Shape of the measured fleets, after the users' target: 10,000 workers in 630
// services, nine data centres in four regions.
const (
	perService  = 16
	dataCentres = 9
	// maxBundles bounds the bundles of a measured fleet, so that many cores fit
	// into one process.
	maxBundles = 20
	// bundleBytes is about the size of each.
	bundleBytes = 2 << 10
)

// Delays of messages and of the platform, and the share of messages lost.
const (
	minDelay      = 500 * time.Microsecond
	maxDelay      = 60 * time.Millisecond
	platformDelay = 5 * time.Millisecond
	lossPercent   = 1
	// frameBytes is what WebSocket, TCP and IP add to a message.
	frameBytes = 60
	// directBytes is what opening and closing a brief link adds to its message.
	directBytes = 1200
)

// farFrom is the first data centre of the region that a cut divides off.
const farFrom = 6

// member is one core of the fleet.
type member struct {
	self model.Instance
	// far is the part of the fleet that a cut divides from the platform.
	far   bool
	core  *core.Node
	links map[model.InstanceID]bool
	// in and out count messages and bytes since the last reset.
	in, out traffic
}

type traffic struct{ messages, bytes int }

func (t *traffic) add(bytes int) {
	t.messages++
	t.bytes += bytes
}

// fleet is the cores, the queue and the platform.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	members []*member
	byID    map[model.InstanceID]*member
	queue   eventqueue.Queue[func()]
	ticks   time.Time

	signer   bundle.Signer
	key      ed25519.PrivateKey
	versions map[model.BundleName]uint64
	list     []model.Instance
	reads    int
	// readsIn counts calls by second, for the peak.
	readsIn map[int64]int
	// cut parts the fleet in two, of which only the first reaches the platform.
	cut bool
	// dropped counts messages that found no link.
	dropped int
}

// newFleet makes n cores that know themselves and the platform only.
func newFleet(n int, seed uint64) (*fleet, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, fmt.Errorf("make key: %w", err)
	}
	start := time.Unix(1_700_000_000, 0)
	f := &fleet{
		now:      start,
		ticks:    start,
		rng:      rand.New(rand.NewPCG(seed, uint64(n))),
		byID:     map[model.InstanceID]*member{},
		signer:   bundle.Signer{Name: "capacity", Key: public},
		key:      private,
		versions: map[model.BundleName]uint64{},
		readsIn:  map[int64]int{},
	}
	for i := range bundles(n) {
		f.versions[bundleName(i)] = 1
	}
	for i := range n {
		f.add(i)
	}
	return f, nil
}

// bundles is the number of bundles of a fleet of n.
func bundles(n int) int { return min((n+perService-1)/perService, maxBundles) }

func bundleName(i int) model.BundleName { return model.BundleName(fmt.Sprintf("service-%d", i)) }

func (f *fleet) add(i int) {
	self := model.Instance{
		ID:          model.InstanceID(fmt.Sprintf("instance-%05d", i)),
		Service:     model.ServiceName(fmt.Sprintf("service-%d", i/perService%maxBundles)),
		DataCentre:  model.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres)),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&0xff, i&0xff),
		Incarnation: model.Incarnation(f.now.UnixMicro()),
	}
	m := &member{self: self, far: i%dataCentres >= farFrom, links: map[model.InstanceID]bool{}}
	f.start(m, uint64(i))
	f.members = append(f.members, m)
	f.byID[self.ID] = m
	listed := self
	listed.State = model.StateLive
	listed.Incarnation = 0
	f.list = append(f.list, listed)
}

// start gives a member a core that knows nothing.
func (f *fleet) start(m *member, seed uint64) {
	m.core = core.New(core.Config{
		Self:    m.self,
		Trusted: []bundle.Signer{f.signer},
		Started: f.now,
		Seed:    seed,
		Random:  f.rng.Uint64,
	})
}

// restart ends a member's process and starts another in its place.
func (f *fleet) restart(m *member, seed uint64) {
	for peer := range m.links {
		delete(m.links, peer)
		other := f.byID[peer]
		delete(other.links, m.self.ID)
		f.after(f.delay(), func() { f.handle(other, control.LinkDown{Peer: m.self.ID, Failed: true}) })
	}
	m.self.Incarnation = model.Incarnation(f.now.UnixMicro())
	f.start(m, seed)
	f.handle(m, control.SelfStateChanged{State: model.StateLive})
}

// after queues something.
func (f *fleet) after(d time.Duration, do func()) {
	f.queue.Add(f.now.Add(d), do)
}

// delay draws a message's time under way: most peers are near, some far.
func (f *fleet) delay() time.Duration {
	if f.rng.IntN(2) == 0 {
		return minDelay + time.Duration(f.rng.Int64N(int64(2*time.Millisecond)))
	}
	return minDelay + time.Duration(f.rng.Int64N(int64(maxDelay)))
}

// run lets d pass; each core is ticked once an interval, spread over it.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		if !f.now.Before(f.ticks) {
			f.scheduleTicks()
		}
		next := f.ticks
		if due, ok := f.queue.Next(); ok && due.Before(next) {
			next = due
		}
		if next.After(end) {
			next = end
		}
		f.now = next
		for _, do := range f.queue.Until(f.now) {
			do()
		}
	}
}

func (f *fleet) scheduleTicks() {
	for i, m := range f.members {
		offset := control.TickInterval * time.Duration(i) / time.Duration(len(f.members))
		f.after(offset, func() { f.handle(m, control.Tick{}) })
	}
	f.ticks = f.ticks.Add(control.TickInterval)
}

// handle feeds one core and carries its actions out.
func (f *fleet) handle(m *member, ev control.Event) {
	out := m.core.Handle(f.now, ev)
	for _, a := range out.Actions {
		f.act(m, a)
	}
}

func (f *fleet) act(m *member, a control.Action) {
	switch a := a.(type) {
	case control.Send:
		if m.links[a.To] {
			f.send(m, a.To, a.Message, frameBytes)
		} else {
			f.dropped++
		}
	case control.SendDirect:
		f.send(m, a.To.ID, a.Message, directBytes)
	case control.OpenLink:
		f.after(2*f.delay(), func() { f.open(m, a.Peer) })
	case control.CloseLink:
		f.close(m, a.Peer)
	case control.ReadIndex:
		f.read(m, f.index)
	case control.ReadValue:
		f.read(m, func() control.Event { return f.value(a.Name) })
	case control.ReadList:
		f.read(m, func() control.Event { return f.fullList(a.Since) })
	}
}

// send encodes a message, as its cost is part of what is measured.
func (f *fleet) send(from *member, to model.InstanceID, msg wire.Message, extra int) {
	data, err := wire.Encode(msg)
	if err != nil {
		panic(err)
	}
	from.out.add(len(data) + extra)
	target := f.byID[to]
	if target == nil || f.divided(from, target) || f.rng.IntN(100) < lossPercent {
		return
	}
	f.after(f.delay(), func() {
		target.in.add(len(data) + extra)
		decoded, err := wire.Decode(data)
		if err != nil {
			panic(err)
		}
		f.handle(target, control.Received{From: from.self.ID, Message: decoded})
	})
}

// divided tells whether a cut lies between two members.
func (f *fleet) divided(a, b *member) bool { return f.cut && a.far != b.far }

func (f *fleet) open(m *member, peer model.InstanceID) {
	other := f.byID[peer]
	if other == nil || f.divided(m, other) {
		f.handle(m, control.LinkDown{Peer: peer, Failed: true})
		return
	}
	if m.links[peer] {
		return
	}
	m.links[peer], other.links[m.self.ID] = true, true
	f.handle(m, control.LinkUp{Peer: other.core.Board.Self.Get().Instance, Outgoing: true})
	f.handle(other, control.LinkUp{Peer: m.core.Board.Self.Get().Instance})
}

func (f *fleet) close(m *member, peer model.InstanceID) {
	if !m.links[peer] {
		return
	}
	other := f.byID[peer]
	delete(m.links, peer)
	delete(other.links, m.self.ID)
	f.after(0, func() { f.handle(m, control.LinkDown{Peer: peer}) })
	f.after(f.delay(), func() { f.handle(other, control.LinkDown{Peer: m.self.ID, Failed: true}) })
}

// read is one call of the platform.
func (f *fleet) read(m *member, answer func() control.Event) {
	f.reads++
	f.readsIn[f.now.Unix()]++
	if f.cut && m.far {
		return
	}
	f.after(platformDelay, func() { f.handle(m, answer()) })
}
