// Package core assembles the decision-making parts of one node: the blackboard, the
// controllers that write it, the routing table, the owner of the worker and the engine of
// calls. It does no I/O; the program, the tests on a fake clock and external simulators
// drive the same code. Design: docs/DESIGN.md, "Core without I/O".
package core

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/directory"
	"gypsumstand/internal/entry"
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

// Config holds the fixed settings of a node.
type Config struct {
	// Self is this node; its Incarnation must be set and its State must be StateCold.
	Self model.Instance
	// Regions maps each data centre to its region.
	Regions model.DataCentreRegions
	Trusted []bundle.Signer
	// Seeds are peer addresses ("ip:port") to contact in addition to the platform's list.
	Seeds []string
	// LocalDelay and RemoteDelay are initial estimates of the one-way network delay.
	LocalDelay  time.Duration
	RemoteDelay time.Duration
	// Policy is the routing policy; values other than zero are baselines for comparison.
	Policy route.Policy
	// ProbeAge is the age of a load report beyond which its owner is probed; zero means the
	// default of 2 s.
	ProbeAge time.Duration
	// FollowsDirectory selects a directory (control.DirectoryRead) as the source of
	// instances and configuration, in place of the platform's list, signed bundles and
	// links between nodes.
	FollowsDirectory bool
	// OnBreakerChange is called with true when this node's worker begins to break every
	// attempt, and with false when that ends. It must not block.
	OnBreakerChange func(open bool)
	// WorkersNameRateLimits reports whether the worker may name a rate limit in its
	// responses.
	WorkersNameRateLimits bool
	// BodyMemory bounds the bytes of reserved request bodies in memory; zero means
	// owner.DefaultBodyMemory.
	BodyMemory int64
	// Started is the start time of the process.
	Started time.Time
	// Seed makes the random choices of the controllers reproducible.
	Seed uint64
	// Random is the random source of the data path; nil means the global source of
	// math/rand/v2.
	Random func() uint64
}

// Node is one node without I/O. Handle must be called from one goroutine; Owner, Table and
// Engine are safe for concurrent use.
type Node struct {
	Board  *blackboard.Board
	Table  *route.Table
	Owner  *owner.Owner
	Engine *entry.Engine
	// Stats holds the controllers' counters, published at each tick.
	Stats blackboard.Section[Stats]
	// OwnerLimiter limits the measuring traffic to this node's worker.
	OwnerLimiter *measure.OwnerLimiter
	// EntryLimiter limits the probes that this node sends.
	EntryLimiter *measure.EntryLimiter
	// Quarantine detects requests that crash workers.
	Quarantine *quarantine.Quarantine
	// Handover counts the records of request ids that this node handed over.
	Handover HandoverCounters

	cfg    Config
	reach  *reach.Controller
	member membership
	spread bundles
	// directory is nil unless the node follows one; member and spread are then the same
	// controller.
	directory *directory.Controller
	derived   derived
	// incarnation is the worker incarnation that the fleet's view last listed for this
	// node; zero before the first.
	incarnation model.WorkerIncarnation
	// lastWorker is the worker that the fleet's view last listed for this node; nil before
	// the first.
	lastWorker atomic.Pointer[model.WorkerID]
	// reportedWorker is the ID that this node's worker last gave for itself.
	reportedWorker model.WorkerID
	// derivedAt is when the derived state was last rebuilt.
	derivedAt time.Time
	// leave is the handover of request ids in progress; nil if there is none.
	leave *leave
}

// membership is the controller of the fleet's instances.
type membership interface {
	control.Controller
	FleetSize() int
	Links() []member.Link
	ListConfirmedAt() time.Time
	ListReads() uint64
}

// bundles is the controller of the bundles in force.
type bundles interface {
	control.Controller
	NotReadyReasons() []string
	ConfirmedAt() time.Time
	IndexReads() uint64
	Counters() spread.Counters
}

// Stats holds the controllers' counters for metrics and status.
type Stats struct {
	Links  []member.Link
	Spread spread.Counters
	// Directory is nil if the node does not follow one.
	Directory *directory.View
}

// Output is the result of one event.
type Output struct {
	Actions []control.Action
	// Decisions are for queued attempts that stop waiting.
	Decisions []owner.Decision
}

// New returns a node that knows of no other instance.
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
		routing.LeavingTTL = leavingTTL
		routing.RemoteCost = remoteCost
	}
	table := route.NewTable(routing)
	n := &Node{
		Board: board,
		Table: table,
		Owner: owner.New(owner.Config{
			Self: cfg.Self, Region: cfg.Regions[cfg.Self.DataCentre],
			Started: cfg.Started, OnBreakerChange: cfg.OnBreakerChange, WorkersNameRateLimits: cfg.WorkersNameRateLimits,
			BodyMemory:   cfg.BodyMemory,
			Alternatives: alternatives(table, cfg.Self),
		}),
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

// remoteCost is the cost of an attempt to another data centre where traffic between data
// centres is charged: a quarter of the shortest run that callers wait for. With a lower
// cost, such as 15 ms, small differences in load send most of the traffic away.
const remoteCost = 50 * time.Millisecond

// leavingTTL is how long an owner's announcement that it is leaving keeps attempts away if
// membership does not announce its next incarnation. A stop lasts up to 6 s; an attempt
// that comes too early costs one round trip, since the owner refuses it or its port is
// closed.
const leavingTTL = 2 * time.Second

// Handle processes one event. It must be called from one goroutine and does not block.
func (n *Node) Handle(now time.Time, ev control.Event) Output {
	out := n.handle(now, ev)
	n.continueLeave(now, &out)
	return out
}

// handle processes one event without continuing a handover of request ids.
func (n *Node) handle(now time.Time, ev control.Event) Output {
	var out Output
	switch e := ev.(type) {
	case control.Received:
		if n.handleMessage(now, e, &out) {
			return out
		}
	case control.SelfStateChanged:
		if e.State == model.StateLeaving && n.Board.Self.Get().Instance.State < model.StateLeaving {
			if n.beginLeave(now, e, &out) {
				return out
			}
		}
		out.Decisions = append(out.Decisions, n.setState(now, e.State)...)
	case control.WorkerIdentified:
		n.noteWorkerChange(now, n.reportedWorker != "" && n.reportedWorker != e.Worker)
		n.reportedWorker = e.Worker
		out.Actions = append(out.Actions, n.applyReportedWorker(now)...)
	case control.Paused:
		out.Decisions = append(out.Decisions, n.Owner.ProcessPaused(now, e.For)...)
	}
	n.dispatch(now, n.reach, ev, &out)
	n.dispatch(now, n.member, ev, &out)
	if n.directory == nil {
		n.dispatch(now, n.spread, ev, &out)
	}
	n.probe(now, ev, &out)
	n.dispatch(now, n.Quarantine, ev, &out)
	out.Decisions = append(out.Decisions, n.derive(now)...)
	n.publishStats(now, ev)
	return out
}

// dispatch passes an event to one controller and keeps the actions that concern the core
// itself.
func (n *Node) dispatch(now time.Time, c control.Controller, ev control.Event, out *Output) {
	for _, a := range c.Handle(now, ev) {
		if adopt, ok := a.(control.AdoptIncarnation); ok {
			n.adopt(adopt.Incarnation)
			continue
		}
		out.Actions = append(out.Actions, a)
	}
}

// adopt sets a greater incarnation of this node.
func (n *Node) adopt(inc model.Incarnation) {
	self := n.Board.Self.Get().Instance
	self.Incarnation = inc
	n.Board.Self.Put(&blackboard.Self{Instance: self})
	n.Owner.AdoptIncarnation(inc)
	n.Engine.SetOwnIncarnation(inc)
}

// handleMessage handles the messages between entry and owner; done is false for messages to
// the controllers.
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
		out.Actions = append(out.Actions, n.importKeys(now, e.From, m)...)
	case wire.KeyHandoverAck:
		n.handoverAcknowledged(now, e.From, m)
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

// setState sets this node's state; a leaving node does not return to an earlier one.
func (n *Node) setState(now time.Time, s model.UpstreamState) []owner.Decision {
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

// publishStats publishes the controllers' state at each tick; readers need no fresher
// values.
func (n *Node) publishStats(now time.Time, ev control.Event) {
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
