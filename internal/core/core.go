// Package core puts the decision parts of one node together: the blackboard,
// the controllers that write it, the routing table, the owner of the worker and
// the engine of calls. It does no I/O; the program, the tests on a fake clock
// and an outside bench drive the same code. Design: docs/DESIGN.md, "Core
// without I/O".
package core

import (
	"math/rand/v2"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/directory"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/event"
	"gypsumstand/internal/measure"
	"gypsumstand/internal/member"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/quarantine"
	"gypsumstand/internal/reach"
	"gypsumstand/internal/route"
	"gypsumstand/internal/spread"
	"gypsumstand/internal/wire"
)

// Config is a node's fixed setting.
type Config struct {
	// Self is this node; its Incarnation must be set and its State is StateCold.
	Self model.Instance
	// Regions names the region of each data centre.
	Regions model.DataCentreRegions
	Trusted []bundle.Signer
	// Seeds are peer addresses ("ip:port") to ask besides the platform's list.
	Seeds []string
	// LocalDelay and RemoteDelay are first guesses of one-way link time.
	LocalDelay  time.Duration
	RemoteDelay time.Duration
	// Policy of routing; others than the zero value are baselines.
	Policy route.Policy
	// ProbeAge is the age of a report beyond which its owner is probed; zero
	// means the default of 2 s.
	ProbeAge time.Duration
	// FollowsDirectory: instances and configuration come from a directory
	// (control.DirectoryRead), in place of the platform's list, signed bundles and
	// links between nodes.
	FollowsDirectory bool
	// OnBreakerChange is told when the own worker begins to break every attempt (true), and
	// when that ends. It must not block.
	OnBreakerChange func(open bool)
	// Started is the process's start.
	Started time.Time
	// Seed makes the controllers' choices repeatable.
	Seed uint64
	// Random serves the data path; nil means math/rand/v2's global source.
	Random func() uint64
}

// Node is one node without I/O. Handle is for one goroutine; Owner, Table and
// Engine are for any.
type Node struct {
	Board  *blackboard.Board
	Table  *route.Table
	Owner  *owner.Owner
	Engine *entry.Engine
	// Stats shows what the controllers count; published at each tick.
	Stats blackboard.Section[Stats]
	// OwnerLimiter admits what measures this node's own worker.
	OwnerLimiter *measure.OwnerLimiter
	// EntryLimiter bounds the probes that this node sends.
	EntryLimiter *measure.EntryLimiter
	// Quarantine finds requests under which workers end.
	Quarantine *quarantine.Quarantine

	cfg    Config
	reach  *reach.Controller
	member membership
	spread bundles
	// directory is set where the node follows one; it is then member and spread.
	directory *directory.Controller
	derived   derived
	// life is the own worker's life that the fleet's view named last; zero before.
	life model.WorkerIncarnation
	// said is the worker that the own one last said it is.
	said model.WorkerID
	// derivedAt is when the derived state was last made.
	derivedAt time.Time
}

// membership is the controller that knows the instances.
type membership interface {
	control.Controller
	FleetSize() int
	Links() []member.Link
	ListConfirmedAt() time.Time
	ListReads() uint64
}

// bundles is the controller that knows what is in force.
type bundles interface {
	control.Controller
	NotReadyReasons() []string
	ConfirmedAt() time.Time
	IndexReads() uint64
	Counters() spread.Counters
}

// Stats are the controllers' counts, for metrics and status.
type Stats struct {
	Links  []member.Link
	Spread spread.Counters
	// Directory is nil where the node follows none.
	Directory *directory.View
}

// derived remembers which snapshots the derived state was made from.
type derived struct {
	fleet   uint64
	bundles uint64
}

// Output is what one event led to.
type Output struct {
	Actions []control.Action
	// Decisions end the waiting of queued attempts.
	Decisions []owner.Decision
}

// New returns a node that knows itself only.
func New(cfg Config) *Node {
	rng := rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation)))
	board := &blackboard.Board{}
	board.Bundles.Put(bundle.NewSet(nil))
	board.Self.Put(&blackboard.Self{Instance: cfg.Self})
	routing := route.Config{
		Self:        cfg.Self.ID,
		DataCentre:  cfg.Self.DataCentre,
		Regions:     cfg.Regions,
		LocalDelay:  cfg.LocalDelay,
		RemoteDelay: cfg.RemoteDelay,
		Random:      cfg.Random,
		Policy:      cfg.Policy,
	}
	if cfg.FollowsDirectory {
		routing.LeavingTTL = leavingMemory
		routing.RemoteCost = remoteCost
	}
	table := route.NewTable(routing)
	n := &Node{
		Board:        board,
		Table:        table,
		Owner:        owner.New(owner.Config{Self: cfg.Self, Region: cfg.Regions[cfg.Self.DataCentre], Started: cfg.Started, OnBreakerChange: cfg.OnBreakerChange}),
		Engine:       entry.NewEngine(entry.Config{Self: cfg.Self, Random: cfg.Random}, table),
		OwnerLimiter: measure.NewOwnerLimiter(cfg.Started, bundle.Measuring{}),
		EntryLimiter: measure.NewEntryLimiter(cfg.Random),
		cfg:          cfg,
		reach:        reach.New(cfg.Self.ID, table, board, rng),
	}
	n.Quarantine = quarantine.New(quarantine.Config{
		Self: cfg.Self, Started: cfg.Started, Fleet: board.Fleet.Get, SlotUse: n.Owner.Utilisation,
	})
	if cfg.FollowsDirectory {
		n.directory = directory.New(directory.Config{Self: cfg.Self}, board, rng)
		n.member, n.spread = n.directory, n.directory
		return n
	}
	n.member = member.New(member.Config{Self: cfg.Self, Seeds: cfg.Seeds}, board, rng)
	n.spread = spread.New(spread.Config{Self: cfg.Self, Trusted: cfg.Trusted}, board, rng)
	return n
}

// remoteCost is what an attempt to another data centre costs where traffic between
// them is paid for: a quarter of the shortest run that callers wait for. Below it a
// small difference in load sends two thirds of the traffic away. 50 ms in place of 15
// gained 0.006 to 0.008 of the mean worth on both of the smaller deployments.
const remoteCost = 50 * time.Millisecond

// leavingMemory is how long an owner's word that it leaves keeps attempts away
// where no membership tells of its next life. A stop lasts up to 6 s; a try too
// early costs one round trip, since the owner refuses it or its port is closed.
const leavingMemory = 2 * time.Second

// Handle takes one event. It is called from one goroutine and does not block.
func (n *Node) Handle(now time.Time, ev control.Event) Output {
	var out Output
	switch e := ev.(type) {
	case control.Received:
		if n.handleMessage(now, e, &out) {
			return out
		}
	case control.SelfStateChanged:
		if e.State == model.StateLeaving && n.Board.Self.Get().Instance.State < model.StateLeaving {
			out.Decisions = append(out.Decisions, n.Owner.SetState(now, e.State)...)
			out.Actions = append(out.Actions, n.handOver(now)...)
		}
		out.Decisions = append(out.Decisions, n.changeSelf(now, e.State)...)
	case control.WorkerIdentified:
		n.otherWorker(now, n.said != "" && n.said != e.Worker)
		n.said = e.Worker
		out.Actions = append(out.Actions, n.followSaid(now)...)
	case control.Paused:
		out.Decisions = append(out.Decisions, n.Owner.ProcessPaused(now, e.For)...)
	}
	n.control(now, n.reach, ev, &out)
	n.control(now, n.member, ev, &out)
	if n.directory == nil {
		n.control(now, n.spread, ev, &out)
	}
	n.probe(now, ev, &out)
	n.control(now, n.Quarantine, ev, &out)
	out.Decisions = append(out.Decisions, n.derive(now)...)
	n.show(now, ev)
	return out
}

// control feeds one controller and keeps for itself the actions that concern the
// core.
func (n *Node) control(now time.Time, c control.Controller, ev control.Event, out *Output) {
	for _, a := range c.Handle(now, ev) {
		if adopt, ok := a.(control.AdoptIncarnation); ok {
			n.adopt(adopt.Incarnation)
			continue
		}
		out.Actions = append(out.Actions, a)
	}
}

// adopt takes a greater incarnation of this node.
func (n *Node) adopt(inc model.Incarnation) {
	self := n.Board.Self.Get().Instance
	self.Incarnation = inc
	n.Board.Self.Put(&blackboard.Self{Instance: self})
	n.Owner.AdoptIncarnation(inc)
	n.Engine.SetOwnIncarnation(inc)
}

// handleMessage takes the messages between entry and owner; done is false for
// those of the controllers.
func (n *Node) handleMessage(now time.Time, e control.Received, out *Output) (done bool) {
	switch m := e.Message.(type) {
	case wire.Resolve:
		reply, ds := n.Owner.Resolve(now, m)
		out.Decisions = append(out.Decisions, ds...)
		out.Actions = append(out.Actions, control.Send{To: e.From, Message: reply})
	case wire.ResolveReply:
		n.Table.Observe(now, m.Report)
		out.Actions = append(out.Actions, control.OutcomeResolved{Reply: m})
	case wire.KeyResult:
		n.Owner.FinishDelegated(now, m)
		out.Actions = append(out.Actions, n.forwardResult(now, m)...)
	case wire.KeyHandover:
		n.Owner.ImportKeys(now, m.Keys)
	case wire.LoadProbe:
		if n.OwnerLimiter.AllowProbe(now) {
			out.Actions = append(out.Actions, control.Send{To: e.From, Message: wire.LoadReply{Report: n.Owner.Report(now)}})
		}
	case wire.LoadReply:
		n.Table.ObserveProbe(now, m.Report)
	default:
		return false
	}
	return true
}

func (n *Node) changeSelf(now time.Time, s model.UpstreamState) []owner.Decision {
	self := n.Board.Self.Get().Instance
	if self.State >= model.StateLeaving && s < self.State {
		return nil
	}
	if s == model.StateLive {
		n.Quarantine.WorkerRecovered(now)
	}
	self.State = s
	n.Board.Self.Put(&blackboard.Self{Instance: self})
	return n.Owner.SetState(now, s)
}

// gapPerInstance is the least time between two rebuilds of derived state, per known
// instance: a rebuild takes about 0.7 us an instance (docs/CAPACITY.md), so storms
// of changes, as when a data centre starts, cost 1.4% of a core at the most. At
// 10,000 instances the news waits for half a second, at 11 for nothing.
const gapPerInstance = 50 * time.Microsecond

func deriveGap(fleet *model.Fleet) time.Duration {
	return time.Duration(len(fleet.Instances)) * gapPerInstance
}

// derive rebuilds what depends on changed sections, now or at a later event.
func (n *Node) derive(now time.Time) []owner.Decision {
	seen := derived{fleet: n.Board.Fleet.Changes(), bundles: n.Board.Bundles.Changes()}
	if seen == n.derived {
		return nil
	}
	fleet, set := n.Board.Fleet.Get(), n.Board.Bundles.Get()
	if now.Before(n.derivedAt.Add(deriveGap(fleet))) {
		return nil
	}
	n.derived = seen
	n.derivedAt = now
	n.Table.Update(now, fleet, set)
	self, _ := fleet.Instance(n.cfg.Self.ID)
	ds := n.followLife(now, self.WorkerIncarnation())
	n.Owner.SetWithdrawn(now, self.State == model.StateLeaving)
	n.Owner.SetEvacuated(now, fleet.IsEvacuated(n.cfg.Self.DataCentre))
	if n.directory != nil {
		n.Owner.SetUnlisted(now, n.unlisted())
	}
	n.Engine.SetEntryNodes(n.member.FleetSize())
	svc, b := set.Service(n.cfg.Self.Service)
	if svc == nil {
		return ds
	}
	n.OwnerLimiter.Configure(now, b.Measuring)
	return append(ds, n.Owner.Configure(now, b, withSlots(svc, self.Slots), liveUpstreams(fleet, n.cfg.Self.Service))...)
}

// unlisted tells whether the directory names no worker that this node may use: none
// beside this node, or one that is not there any more. While the directory is away the
// one that is there may be of another service, so that nothing is sent to it.
func (n *Node) unlisted() bool {
	listed, known := n.directory.Listed()
	if !known {
		return false
	}
	return !listed || n.replaced()
}

// replaced tells whether the own worker says that it is another than the listed one.
func (n *Node) replaced() bool {
	listed := n.Worker()
	return listed != "" && n.said != "" && n.said != listed
}

// followSaid takes what the own worker says of itself to the owner: before the directory
// tells of a new worker, attempts that name the old one would only be refused.
func (n *Node) followSaid(now time.Time) []control.Action {
	if n.directory == nil {
		return nil
	}
	n.Owner.SetUnlisted(now, n.unlisted())
	if !n.replaced() {
		return nil
	}
	return []control.Action{control.Record{
		Event: event.WorkerReplaced, Subject: string(n.said), Detail: "listed: " + string(n.Worker()),
	}}
}

// followLife tells the owner when another life of its worker is listed. A worker that is
// not listed for a while may come back as the same life.
func (n *Node) followLife(now time.Time, life model.WorkerIncarnation) []owner.Decision {
	before := n.life
	if life == (model.WorkerIncarnation{}) || life == before {
		return nil
	}
	n.life = life
	// Its word was the one before's, or agrees.
	n.said = ""
	if before == (model.WorkerIncarnation{}) {
		return nil
	}
	n.otherWorker(now, true)
	return n.Owner.WorkerRestarted(now)
}

// otherWorker takes the word whether the own worker is another than before. One that left
// as planned did not end under its requests.
func (n *Node) otherWorker(now time.Time, other bool) {
	if other && !n.Owner.Draining() {
		n.Quarantine.WorkerCrashed(now)
	}
}

// show publishes what the controllers tell about themselves: at each tick, as
// readers need it no fresher.
func (n *Node) show(now time.Time, ev control.Event) {
	if _, tick := ev.(control.Tick); !tick {
		return
	}
	n.Board.Sources.Put(&blackboard.Sources{
		ConfigConfirmed: n.spread.ConfirmedAt(),
		ConfigReads:     n.spread.IndexReads(),
		ListConfirmed:   n.member.ListConfirmedAt(),
		ListReads:       n.member.ListReads(),
	})
	n.Board.Readiness.Put(n.readiness())
	stats := &Stats{Links: n.member.Links(), Spread: n.spread.Counters()}
	if n.directory != nil {
		view := n.directory.View(now)
		stats.Directory = &view
	}
	n.Stats.Put(stats)
}

func (n *Node) readiness() *blackboard.Readiness {
	missing := n.spread.NotReadyReasons()
	if svc, _ := n.Board.Bundles.Get().Service(n.cfg.Self.Service); svc == nil {
		missing = append(missing, "a bundle with service "+string(n.cfg.Self.Service))
	}
	return &blackboard.Readiness{Ready: len(missing) == 0, Missing: missing}
}

// withSlots returns svc with the slots that a worker itself names.
func withSlots(svc *bundle.Service, slots int) *bundle.Service {
	if slots <= 0 {
		return svc
	}
	own := *svc
	own.Slots = slots
	return &own
}

// Worker returns the present life of this node's own worker as the fleet's view
// has it; empty when it names none.
func (n *Node) Worker() model.WorkerID {
	self, _ := n.Board.Fleet.Get().Instance(n.cfg.Self.ID)
	return self.Worker
}

func liveUpstreams(fleet *model.Fleet, service model.ServiceName) int {
	count := 0
	for i := range fleet.Instances {
		if in := &fleet.Instances[i]; in.Service == service && in.State < model.StateLeaving {
			count++
		}
	}
	return max(count, 1)
}
