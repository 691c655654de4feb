// Package directory follows a source that holds both the workers and the
// configuration, and that this system can only read. It writes the fleet and the
// bundle in force to the blackboard. It does no I/O; an adapter feeds it with what
// the source and the peers tell.
//
// Nodes share the reading: each passes on how fresh its knowledge is with every report,
// and a node reads the source itself only when it has heard of nothing fresh for a
// while (package suppress). An age is believed only where the receiver can bound it
// from above: in answers, by the time since it asked. Who hears of a newer revision,
// also from an attempt, asks that peer for the changes. Design: docs/PLATFORM.md, "Who
// reads the store".
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

// Times after an outage of the directory.
const (
	// relistTime is how long after the directory's return a living worker may
	// take to list itself again: heartbeats come every 1.5 s, and the platform's
	// owners promise "about two seconds".
	relistTime = 2200 * time.Millisecond
	// outageGap is the time without an answer after which leases may have lapsed
	// that could not be renewed: one ends after three missed heartbeats, 4.5 s.
	outageGap = 2 * time.Second
)

// emptyWait is the least time before a directory without workers is read again; at
// the start of a whole fleet workers list themselves over some seconds.
const emptyWait = 1500 * time.Millisecond

// pace is how often the fleet reads the directory. A change has to be in force after
// 2 s on nodes that the directory serves: the interval, the first read after it (in
// 98 of 100 cases within four times the mean), and 0.3 s to reach every node with
// the traffic. A longer mean makes fewer nodes read before they hear of the first.
// Alone leaves a reading 0.2 s within Bound, with a tick before it. PerDoubling is how
// long the word of a reading takes to reach twice as many nodes at ten calls a second.
var pace = suppress.Schedule{
	Interval: 800 * time.Millisecond, MeanFirstDelay: 100 * time.Millisecond, MaxFailedInterval: failedInterval,
	ForcedAfter: 400 * time.Millisecond, ForcedPerDoubling: 60 * time.Millisecond,
}

// failedInterval bounds the time between a node's reads while they fail: a directory
// that is back must be followed within 3 s, also where all nodes have just failed.
const failedInterval = 1200 * time.Millisecond

// Config is a controller's fixed setting.
type Config struct {
	// Self is this node's own instance.
	Self model.Instance
}

// Controller implements control.Controller. Its accessors are for the goroutine
// that calls Handle.
type Controller struct {
	cfg   Config
	board *blackboard.Board
	rng   *rand.Rand
	timer *suppress.Timer
	asks  asking

	// revision is the directory's up to which every change is known.
	revision uint64
	workers  map[model.WorkerID]*worker
	removed  removals
	// evacuated holds the data centres to whose workers nothing is to be sent.
	evacuated evacuations
	config    *model.RawConfig
	// refused is the newest configuration where this node cannot decode it; nil otherwise.
	refused *model.RawConfig
	// confirmed is when the directory, by whatever way, was last known to hold what
	// this node knows; zero for never.
	confirmed time.Time
	// published is the time confirmed that peers are told.
	published time.Time
	// lost says that the last own read failed, whenever that was.
	lost bool
	// failures counts the own reads that failed since the last good one, within
	// FailingTime of each other, and failedAt is when the last did; zero for none.
	failures int
	failedAt time.Time
	// inRow counts the own readings since a peer last told anything fresher.
	inRow int
	// readingSince is when the own read under way began that was begun last; zero for
	// none.
	readingSince time.Time
	readings     map[ReadCause]uint64
	// sleptFor is how long the machine was suspended last. Until sleptUntil ages that are
	// heard may lack it, as what came meanwhile waited here.
	sleptFor   time.Duration
	sleptUntil time.Time
	// lateSince is when the view was last confirmed that is late; zero while in time.
	lateSince time.Time
	// doubtUntil is until when a removal that the directory tells may be the lapse of
	// a lease, not a worker's leaving.
	doubtUntil time.Time
	started    bool
	// dirty says that the fleet changed since it was published.
	dirty    bool
	fleetRev uint64
	out      []control.Action
}

var _ control.Controller = (*Controller)(nil)

// New returns a controller that knows nothing.
func New(cfg Config, board *blackboard.Board, rng *rand.Rand) *Controller {
	c := &Controller{cfg: cfg, board: board, rng: rng, timer: suppress.NewWithSchedule(rng, pace), workers: map[model.WorkerID]*worker{}, evacuated: newEvacuations(), readings: map[ReadCause]uint64{}}
	c.publishFleet()
	return c
}

// Handle implements control.Controller.
func (c *Controller) Handle(now time.Time, ev control.Event) []control.Action {
	c.out = nil
	switch e := ev.(type) {
	case control.DirectoryRead:
		c.read(now, e)
	case control.DirectoryFailed:
		c.readFailed(now, e.Err)
	case control.PeerFreshnessReceived:
		c.heard(now, e)
	case control.PeerDirectoryReceived:
		c.told(now, e)
	case control.PeerDirectoryFailed:
		c.asks.end(e.From)
	case control.Paused:
		c.timer.ProcessPaused(now, e.For)
	case control.Suspended:
		c.suspended(now, e.For)
	case control.Tick:
		c.tick(now)
	}
	if c.dirty {
		c.publishFleet()
	}
	return c.out
}

// tick reads the directory or asks a peer when that is due.
func (c *Controller) tick(now time.Time) {
	c.expire(now)
	c.forgetFailures(now)
	// The first read waits for nobody: without it the node serves no request.
	due := c.timer.Due(now, c.readers(now))
	switch {
	case !c.started:
		c.started = true
		c.readNow(now, CauseStart)
	case due:
		c.readNow(now, CauseScheduled)
	case c.asks.overdue(now):
		c.readNow(now, CauseBehind)
	}
	c.gossip(now)
	c.noteLag(now)
}

// readNow reads the directory.
func (c *Controller) readNow(now time.Time, why ReadCause) {
	c.readingSince = now
	c.readings[why]++
	c.record(event.DirectoryReading, string(why), c.viewWords(now), nil)
	c.do(control.ReadDirectory{After: c.revision})
}

// read takes an own reading of the directory.
func (c *Controller) read(now time.Time, r control.DirectoryRead) {
	if c.lost || c.confirmed.IsZero() {
		c.record(event.DirectoryRecovered, "", since(now, c.confirmed), nil)
	}
	c.noteReturn(now)
	c.lost, c.failures, c.failedAt = false, 0, time.Time{}
	c.inRow++
	c.readingSince = time.Time{}
	begun := now.Add(-r.ReadDuration)
	c.timer.ReadSucceeded(now, begun)
	if r.Full && len(r.Listed) == 0 && c.confirmed.IsZero() {
		// Nothing runs yet that could be served by.
		c.timer.Postpone(now, emptyWait)
	}
	c.take(now, &r, "its own reading")
	c.asks.answered(c.revision)
	c.confirm(begun)
}

func (c *Controller) readFailed(now time.Time, err error) {
	if !c.lost {
		c.record(event.DirectoryUnreachable, "", since(now, c.confirmed), err)
	}
	c.lost = true
	c.failures++
	begun := c.readingSince
	if begun.IsZero() {
		begun = now
	}
	c.readingSince = time.Time{}
	c.timer.ReadFailed(now, begun)
	c.publishFailed(now)
}

// forgetFailures lets a node that peers have kept fresh since its readings failed take its
// turn like the others.
func (c *Controller) forgetFailures(now time.Time) {
	if c.failures > 0 && now.Sub(c.failedAt) > blackboard.ReadFailureMemory {
		c.failures, c.failedAt = 0, time.Time{}
		c.timer.ResetFailures()
	}
}

// since words the time since t.
func since(now, t time.Time) string {
	if t.IsZero() {
		return "never answered"
	}
	return now.Sub(t).Round(time.Millisecond).String()
}

// confirm notes that what is known was the newest at a time.
func (c *Controller) confirm(at time.Time) {
	if !at.After(c.confirmed) {
		return
	}
	c.confirmed = at
	if at.Sub(c.published) >= publishStep {
		c.publishConfirmed()
	}
}

// publishStep is by how much fresher knowledge must be to be published between ticks.
const publishStep = 50 * time.Millisecond

// noteReturn begins the time in which removals are doubted, when the directory is back
// after an outage as far as this node knows. Each node judges that for itself: one that
// was slow, or turned away, must not keep a leaving worker in use at the others. A
// failed read of its own says nothing while peers are served.
func (c *Controller) noteReturn(now time.Time) {
	if !c.confirmed.IsZero() && now.Sub(c.confirmed) > outageGap {
		c.doubtUntil = now.Add(relistTime)
	}
}

// take applies what a reading or a peer told; by words which.
func (c *Controller) take(now time.Time, r *control.DirectoryRead, by string) {
	before := c.revision
	defer func() {
		if c.revision == before {
			return
		}
		c.publishForPeers()
		if before != 0 {
			c.tellNews(now)
		}
	}()
	if r.Bundle != nil {
		c.takeBundle(now, r, by)
	}
	if r.Refused != nil {
		c.takeRefused(r, by)
	}
	c.evacuate(r, by)
	for _, l := range r.Listed {
		c.list(now, l)
	}
	for _, gone := range r.Unlisted {
		c.remove(now, gone)
	}
	if r.Full {
		c.removeOthers(now, r)
		// What was removed before is known only by its absence, which no list of
		// changes tells.
		c.removed.floor = max(c.removed.floor, r.Revision)
	}
	c.revision = max(c.revision, r.Revision)
	c.asks.caughtUp(c.revision)
}

func (c *Controller) do(a control.Action) { c.out = append(c.out, a) }

func (c *Controller) record(id event.ID, subject, detail string, err error) {
	c.do(control.Record{Event: id, Subject: subject, Detail: detail, Err: err})
}

// Listed tells whether the directory names a worker beside this node: known is
// false while the directory has never answered.
func (c *Controller) Listed() (listed, known bool) {
	if c.confirmed.IsZero() {
		return false, false
	}
	_, listed = c.instance(c.cfg.Self.ID)
	return listed, true
}

// NotReadyReasons names what the node still needs before it can serve.
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

// Links returns none: nodes that follow a directory keep no links to each other.
func (c *Controller) Links() []member.Link { return nil }

// ListConfirmedAt returns when what is known of the directory was last the newest.
func (c *Controller) ListConfirmedAt() time.Time { return c.confirmed }

// ConfirmedAt returns when what is known of the directory was last the newest.
func (c *Controller) ConfirmedAt() time.Time { return c.confirmed }

// ListReads counts this node's own reads of the directory.
func (c *Controller) ListReads() uint64 { return c.timer.ReadCount() }

// IndexReads counts this node's own reads of the directory.
func (c *Controller) IndexReads() uint64 { return c.timer.ReadCount() }

// Counters returns zero: bundles are not spread between nodes.
func (c *Controller) Counters() spread.Counters { return spread.Counters{} }
