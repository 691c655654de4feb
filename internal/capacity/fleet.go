// Package capacity measures the cost of control per node as the fleet grows: decision
// cores joined by a message queue on a fake clock. It delivers messages with delay and
// loss and acts as the platform; nothing else is simulated.
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

// Shape of the measured fleets, after the target fleet: 10,000 workers in 630 services,
// nine data centres in four regions.
const (
	instancesPerService = 16
	dataCentres         = 9
	// maxBundles limits the bundles of a measured fleet, so that many cores fit into one
	// process.
	maxBundles = 20
	// bundleBytes is the approximate size of a bundle.
	bundleBytes = 2 << 10
)

// Delays of messages and of the platform, and the share of messages lost.
const (
	minDelay      = 500 * time.Microsecond
	maxDelay      = 60 * time.Millisecond
	platformDelay = 5 * time.Millisecond
	lossPercent   = 1
	// frameBytes is the overhead of WebSocket, TCP and IP per message.
	frameBytes = 60
	// directBytes is the overhead of opening and closing a short-lived link for one
	// message.
	directBytes = 1200
)

// firstFarCentre is the first data centre of the region that a partition separates.
const firstFarCentre = 6

// member is one core of the fleet.
type member struct {
	self model.Instance
	// far is set in the region that a partition separates from the platform.
	far   bool
	core  *core.Node
	links map[model.InstanceID]bool
	// received and sent count messages and bytes since the last resetTraffic.
	received, sent traffic
}

type traffic struct{ messages, bytes int }

func (t *traffic) add(bytes int) {
	t.messages++
	t.bytes += bytes
}

// fleet holds the cores, the message queue and the platform.
type fleet struct {
	now      time.Time
	rng      *rand.Rand
	members  []*member
	byID     map[model.InstanceID]*member
	queue    eventqueue.Queue[func()]
	nextTick time.Time

	signer        bundle.Signer
	signingKey    ed25519.PrivateKey
	versions      map[model.BundleName]uint64
	list          []model.Instance
	platformReads int
	// readsBySecond counts platform reads by Unix second, for the peak.
	readsBySecond map[int64]int
	// partitioned is set while the far region can reach neither the rest nor the
	// platform.
	partitioned bool
	// dropped counts messages to peers without a link.
	dropped int
}

// newFleet creates n cores that know only themselves and the platform.
func newFleet(n int, seed uint64) (*fleet, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, fmt.Errorf("generate signing key: %w", err)
	}
	start := time.Unix(1_700_000_000, 0)
	f := &fleet{
		now:           start,
		nextTick:      start,
		rng:           rand.New(rand.NewPCG(seed, uint64(n))),
		byID:          map[model.InstanceID]*member{},
		signer:        bundle.Signer{Name: "capacity", Key: public},
		signingKey:    private,
		versions:      map[model.BundleName]uint64{},
		readsBySecond: map[int64]int{},
	}
	for i := range bundleCount(n) {
		f.versions[bundleName(i)] = 1
	}
	for i := range n {
		f.addMember(i)
	}
	return f, nil
}

// bundleCount returns the number of bundles of a fleet of n nodes.
func bundleCount(n int) int { return min((n+instancesPerService-1)/instancesPerService, maxBundles) }

func bundleName(i int) model.BundleName { return model.BundleName(fmt.Sprintf("service-%d", i)) }

func (f *fleet) addMember(i int) {
	self := model.Instance{
		ID:          model.InstanceID(fmt.Sprintf("instance-%05d", i)),
		Service:     model.ServiceName(fmt.Sprintf("service-%d", i/instancesPerService%maxBundles)),
		DataCentre:  model.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres)),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&0xff, i&0xff),
		Incarnation: model.Incarnation(f.now.UnixMicro()),
	}
	m := &member{self: self, far: i%dataCentres >= firstFarCentre, links: map[model.InstanceID]bool{}}
	f.start(m, uint64(i))
	f.members = append(f.members, m)
	f.byID[self.ID] = m
	listed := self
	listed.State = model.StateLive
	listed.Incarnation = 0
	f.list = append(f.list, listed)
}

// start gives a member a core without any knowledge of the fleet.
func (f *fleet) start(m *member, seed uint64) {
	m.core = core.New(core.Config{
		Self:    m.self,
		Trusted: []bundle.Signer{f.signer},
		Started: f.now,
		Seed:    seed,
		Random:  f.rng.Uint64,
	})
}

// restart replaces a member's process by a new one; its links go down.
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

// after schedules do after d.
func (f *fleet) after(d time.Duration, do func()) {
	f.queue.Add(f.now.Add(d), do)
}

// delay draws the network delay of a message: most peers are near, some are far.
func (f *fleet) delay() time.Duration {
	if f.rng.IntN(2) == 0 {
		return minDelay + time.Duration(f.rng.Int64N(int64(2*time.Millisecond)))
	}
	return minDelay + time.Duration(f.rng.Int64N(int64(maxDelay)))
}

// run advances the clock by d. Each core is ticked once per interval; the ticks are
// spread over the interval.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for f.now.Before(end) {
		if !f.now.Before(f.nextTick) {
			f.scheduleTicks()
		}
		next := f.nextTick
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
	f.nextTick = f.nextTick.Add(control.TickInterval)
}

// handle passes an event to one core and performs the resulting actions.
func (f *fleet) handle(m *member, ev control.Event) {
	out := m.core.Handle(f.now, ev)
	for _, a := range out.Actions {
		f.perform(m, a)
	}
}

func (f *fleet) perform(m *member, a control.Action) {
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
		f.read(m, f.indexRead)
	case control.ReadValue:
		f.read(m, func() control.Event { return f.valueRead(a.Name) })
	case control.ReadList:
		f.read(m, func() control.Event { return f.listRead(a.Since) })
	}
}

// send encodes and later decodes the message, because the cost of both is part of the
// measurement.
func (f *fleet) send(from *member, to model.InstanceID, msg wire.Message, extra int) {
	data, err := wire.Encode(msg)
	if err != nil {
		panic(err)
	}
	from.sent.add(len(data) + extra)
	target := f.byID[to]
	if target == nil || f.separated(from, target) || f.rng.IntN(100) < lossPercent {
		return
	}
	f.after(f.delay(), func() {
		target.received.add(len(data) + extra)
		decoded, err := wire.Decode(data)
		if err != nil {
			panic(err)
		}
		f.handle(target, control.Received{From: from.self.ID, Message: decoded})
	})
}

// separated reports whether a partition lies between two members.
func (f *fleet) separated(a, b *member) bool { return f.partitioned && a.far != b.far }

// open establishes a link unless there is one, or reports its failure.
func (f *fleet) open(m *member, peer model.InstanceID) {
	other := f.byID[peer]
	if other == nil || f.separated(m, other) {
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

// close closes a link; the peer notices it after a network delay.
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

// read simulates one read of the platform. In a separated region the read gets no reply.
func (f *fleet) read(m *member, reply func() control.Event) {
	f.platformReads++
	f.readsBySecond[f.now.Unix()]++
	if f.partitioned && m.far {
		return
	}
	f.after(platformDelay, func() { f.handle(m, reply()) })
}
