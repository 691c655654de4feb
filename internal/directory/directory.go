// Package directory follows a source that holds both the workers and the configuration, and
// that this system can only read. It writes the fleet and the bundle in force to the
// blackboard. It does no I/O; an adapter passes it the results of reads and the messages of
// peers.
//
// Nodes share the load of reading. Each one sends the freshness of its view with every
// report, and a node reads the directory itself only when it has received no fresh value
// for a while (package suppress). An age is trusted only if the receiver has an upper bound
// for it: for a reply, that is the time since the request. A node that learns of a newer
// revision, also from an attempt, requests the changes from that peer. Design:
// docs/PLATFORM.md, "Who reads the store".
package directory

import (
	"math/rand/v2"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/member"
	"gypsumstand/internal/model"
	"gypsumstand/internal/spread"
	"gypsumstand/internal/suppress"
)

// Timing after an outage of the directory.
const (
	// relistGrace is how long after the directory's recovery a live worker may take to list
	// itself again: heartbeats are sent every 1.5 s, and the platform's owners promise
	// "about two seconds".
	relistGrace = 2200 * time.Millisecond
	// outageThreshold is the time without confirmation after which leases may have expired
	// because they could not be renewed. Three missed heartbeats, 4.5 s, end a lease.
	outageThreshold = 2 * time.Second
)

// emptyRetryDelay is the shortest time between reads of a directory without workers. When a
// whole fleet starts, its workers list themselves over some seconds.
const emptyRetryDelay = 1500 * time.Millisecond

// readSchedule defines how often the fleet reads the directory. A change must be in force
// within 2 s on nodes that the directory serves. That time covers the interval, the delay
// of the first read after it (within four times the mean in 98 of 100 cases), and 0.3 s for
// propagation to every node with the traffic. A longer mean makes fewer nodes read before
// they learn of the first read. ForcedAfter leaves 0.2 s for a read within StalenessBound,
// and one tick before it. ForcedPerDoubling is how long the result of a read takes to reach
// twice as many nodes at ten calls a second.
var readSchedule = suppress.Schedule{
	Interval: 800 * time.Millisecond, MeanFirstDelay: 100 * time.Millisecond, MaxFailedInterval: maxFailedInterval,
	ForcedAfter: 400 * time.Millisecond, ForcedPerDoubling: 60 * time.Millisecond,
}

// maxFailedInterval bounds the time between a node's reads while they fail: a directory
// that has recovered must be followed within 3 s, even if all nodes have just had a failed
// read.
const maxFailedInterval = 1200 * time.Millisecond

// Config holds the fixed settings of a controller.
type Config struct {
	// Self is this node's own instance.
	Self model.Instance
}

// Controller implements control.Controller. Its accessors must be called from the goroutine
// that calls Handle.
type Controller struct {
	cfg   Config
	board *blackboard.Board
	rng   *rand.Rand
	timer *suppress.Timer
	peers peerSync

	// revision is the directory revision up to which every change is known.
	revision model.Revision
	// fullReadAt is when everything is read after a restore; zero when that is not due.
	fullReadAt time.Time
	workers    map[model.WorkerID]*worker
	removed    removals
	// departed holds workers that were removed in earlier eras, as the restored directory may
	// list them again.
	departed map[model.WorkerID]departure
	// evacuated holds the evacuated data centres, to whose workers nothing is sent.
	evacuated evacuations
	// config is the newest configuration, in force or being decoded, decoded the one in force;
	// transfer is how newer ones are obtained.
	config, decoded *model.RawConfig
	transfer        configTransfer
	// refused is the newest configuration if this node cannot decode it; nil otherwise.
	refused *model.RawConfig
	// confirmed is when this node's view was last known to be the latest, through its own
	// read or a peer's; zero for never.
	confirmed time.Time
	// publishedConfirmed is the value of confirmed that peers receive.
	publishedConfirmed time.Time
	// lastReadFailed reports whether the last own read failed, however long ago.
	lastReadFailed bool
	// readFailures counts the failed own reads since the last successful one, each within
	// ReadFailureMemory of the one before. failedAt is when the last one failed; zero for
	// none.
	readFailures int
	failedAt     time.Time
	// consecutiveReads counts the own reads since a peer last sent a fresher view.
	consecutiveReads int
	// readStarted is when the latest own read in progress started; zero for none.
	readStarted time.Time
	// readsInProgress counts the own reads in progress.
	readsInProgress int
	readCounts      map[ReadCause]uint64
	// suspendedFor is the length of the machine's last suspension. Until
	// suspensionGraceUntil received ages may be too small by that, because the messages
	// waited here meanwhile.
	suspendedFor         time.Duration
	suspensionGraceUntil time.Time
	// staleSince is when a stale view was last confirmed; zero while the view is current.
	staleSince time.Time
	// removalGraceUntil is the time until which a removal may be due to an expired lease
	// instead of a worker that left.
	removalGraceUntil time.Time
	// started reports whether the first read has been started.
	started bool
	// dirty reports that the fleet has changed since it was published.
	dirty         bool
	fleetRevision uint64
	actions       []control.Action
}

var _ control.Controller = (*Controller)(nil)

// New returns a controller with an empty view.
func New(cfg Config, board *blackboard.Board, rng *rand.Rand) *Controller {
	c := &Controller{
		cfg: cfg, board: board, rng: rng, timer: suppress.NewWithSchedule(rng, readSchedule),
		workers: map[model.WorkerID]*worker{}, departed: map[model.WorkerID]departure{}, evacuated: newEvacuations(), readCounts: map[ReadCause]uint64{},
	}
	c.publishFleet()
	return c
}

// Handle implements control.Controller.
func (c *Controller) Handle(now time.Time, ev control.Event) []control.Action {
	c.actions = nil
	switch e := ev.(type) {
	case control.DirectoryRead:
		c.handleRead(now, e)
	case control.DirectoryReadFailed:
		c.handleReadFailure(now, e.Err)
	case control.PeerFreshnessReceived:
		c.handleFreshness(now, e)
	case control.PeerDirectoryReceived:
		c.handlePeerDirectory(now, e)
	case control.PeerDirectoryFailed:
		c.peers.finish(e.From)
	case control.ConfigReceived:
		c.handleConfigReceived(now, e)
	case control.ConfigFailed:
		c.handleConfigFailed(now, e)
	case control.ConfigDecoded:
		c.handleConfigDecoded(now, e)
	case control.VersionSeen:
		c.handleVersionSeen(now, e)
	case control.Paused:
		c.timer.ProcessPaused(now, e.For)
	case control.Suspended:
		c.handleSuspension(now, e.For)
	case control.Tick:
		c.tick(now)
	}
	if c.dirty {
		c.publishFleet()
	}
	return c.actions
}

// tick reads the directory or sends a request to a peer if one is due.
func (c *Controller) tick(now time.Time) {
	c.expire(now)
	c.expireFailures(now)
	// The first read is not delayed: without it the node cannot serve requests.
	due := c.timer.Due(now, c.estimateReaders(now))
	switch {
	case !c.started:
		c.started = true
		c.startRead(now, CauseStart)
	case c.fullReadDue(now):
		c.startFullRead(now)
	case due:
		c.startRead(now, CauseScheduled)
	case c.peers.behindTooLong(now, c.readsInProgress):
		c.startRead(now, CauseBehind)
	}
	c.continueTransfer(now)
	c.gossip(now)
	c.recordStaleness(now)
}

// confirm records that the view was the latest at a time.
func (c *Controller) confirm(at time.Time) {
	if !at.After(c.confirmed) {
		return
	}
	c.confirmed = at
	if at.Sub(c.publishedConfirmed) >= publishThreshold {
		c.publishConfirmed()
	}
}

// publishThreshold is how much fresher the view must be to be published between ticks.
const publishThreshold = 50 * time.Millisecond

// detectRecovery starts the grace period for removals if the directory has recovered from
// an outage as far as this node knows. Each node decides this for itself: a node that was
// slow or rejected must not keep a leaving worker in use at the others. A failed own read
// does not count while peers' reads succeed.
func (c *Controller) detectRecovery(now time.Time) {
	if !c.confirmed.IsZero() && now.Sub(c.confirmed) > outageThreshold {
		c.removalGraceUntil = now.Add(relistGrace)
	}
}

// apply applies the result of an own read, or of a peer's reply if from is not empty, which
// must not be of an earlier era.
func (c *Controller) apply(now time.Time, r *control.DirectoryRead, from model.InstanceID) {
	before, source := c.revision, sourceName(from)
	defer func() {
		if c.revision == before {
			return
		}
		c.publishForPeers()
		if !before.IsZero() {
			c.announceRevision(now)
		}
	}()
	if r.Era > c.revision.Era {
		c.enterEra(now, r, source)
	}
	if r.Bundle != nil {
		c.applyBundle(now, r, source)
	}
	if r.Refused != nil {
		c.recordRefused(r.Refused, r.RefusedErr, source)
	}
	c.applyEvacuations(r, source)
	for _, l := range r.Listed {
		c.applyListing(now, l)
	}
	for _, u := range r.Unlisted {
		c.applyRemoval(now, u)
	}
	if r.Full {
		c.removeMissing(now, r)
		// Earlier removals are only known from missing listings, which are in no list of
		// changes.
		c.removed.compactedRevision = max(c.removed.compactedRevision, r.Revision)
	}
	c.revision.Number = max(c.revision.Number, r.Revision)
	c.peers.caughtUp(c.revision)
	c.noteConfig(now, r, from)
}

func (c *Controller) emit(a control.Action) { c.actions = append(c.actions, a) }

func (c *Controller) record(id event.ID, subject, detail string, err error) {
	c.emit(control.Record{Event: id, Subject: subject, Detail: detail, Err: err})
}

// Listed reports whether the directory lists a worker of this node's service on this node;
// known is false until an own read or a peer has confirmed a view.
func (c *Controller) Listed() (listed, known bool) {
	if c.confirmed.IsZero() {
		return false, false
	}
	_, listed = c.board.Fleet.Get().InstanceOf(c.cfg.Self.ID, c.cfg.Self.Service)
	return listed, true
}

// NotReadyReasons names the items that the node still needs before it can serve.
func (c *Controller) NotReadyReasons() []string {
	if c.confirmed.IsZero() {
		return []string{"an answer of the directory"}
	}
	if len(c.board.Bundles.Get().All()) == 0 {
		return []string{"a configuration"}
	}
	return nil
}

// FleetSize returns the number of instances, this node included.
func (c *Controller) FleetSize() int { return max(1, len(c.board.Fleet.Get().Instances)) }

// Links returns nil: nodes that follow a directory have no links to each other.
func (c *Controller) Links() []member.Link { return nil }

// ListConfirmedAt returns when the view was last known to be the latest.
func (c *Controller) ListConfirmedAt() time.Time { return c.confirmed }

// ConfirmedAt returns when the view was last known to be the latest.
func (c *Controller) ConfirmedAt() time.Time { return c.confirmed }

// ListReads returns the number of this node's own reads of the directory.
func (c *Controller) ListReads() uint64 { return c.timer.ReadCount() }

// IndexReads returns the number of this node's own reads of the directory.
func (c *Controller) IndexReads() uint64 { return c.timer.ReadCount() }

// Counters returns zero: nodes that follow a directory do not spread bundles.
func (c *Controller) Counters() spread.Counters { return spread.Counters{} }
