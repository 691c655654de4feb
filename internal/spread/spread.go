// Package spread brings every signed-off bundle into force on this node within
// seconds and never backwards: few nodes read the configuration service, the
// rest hear it from peers, and each checks the signature itself. It writes the
// blackboard's Bundles section. Design: docs/DESIGN.md, "Bundle spread".
//
// # Ways of a new version
//
//   - The index of the configuration service, read by whichever node's
//     suppressed timer fires; the reader fetches the value.
//   - A notice from a peer that has put the version in force; it floods over the
//     links, and who lacks the version asks for its body.
//   - A version that rode on a call.
//   - A comparison of digests with one peer every few seconds, which repairs
//     what notices missed and heals partitions.
//
// # Never backwards
//
// A version is replaced only by a greater one, whatever the source. Of two
// sign-offs of one version a node keeps the one that it had first and raises an
// alarm; replacing it would change a version's meaning under running requests,
// and the greater version that operators must then publish ends the split.
//
// # A fresh node
//
// Nothing is published to the blackboard before the node is ready, so a restart
// with no memory cannot act on an old version. See ready.go for the rules.
package spread

import (
	"math/rand/v2"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/suppress"
)

// Config is a controller's fixed setting.
type Config struct {
	Self    model.Instance
	Trusted []bundle.Signer
}

// Controller implements control.Controller.
type Controller struct {
	cfg   Config
	board *blackboard.Board
	rng   *rand.Rand
	timer *suppress.Timer
	// open checks a signed bundle; tests of many nodes share its results.
	open opener

	held     *holdings
	links    *linkTable
	wants    *wantList
	platform platformState
	refused  *refusedValues
	upload   bucket
	confirm  confirmation
	start    startState
	log      logLimiter
	counters Counters

	// announce lists what has come into force since the last notices.
	announce    []announcement
	announcedAt time.Time
	nextCompare time.Time
	// dirty says that the blackboard does not show what is in force.
	dirty       bool
	publishedAt time.Time

	// now and out belong to the event in hand.
	now time.Time
	out []control.Action
}

var _ control.Controller = (*Controller)(nil)

// New returns a controller with no bundle in force.
func New(cfg Config, board *blackboard.Board, rng *rand.Rand) *Controller {
	return &Controller{
		cfg:     cfg,
		board:   board,
		rng:     rng,
		timer:   suppress.New(rng),
		open:    func(file string, raw []byte) (opened, error) { return openSigned(file, raw, cfg.Trusted) },
		held:    newHoldings(),
		links:   newLinkTable(),
		wants:   newWantList(),
		refused: newRefusedValues(),
		upload:  bucket{rate: uploadBytesPerSecond, burst: uploadBurstBytes},
		log:     newLogLimiter(),
	}
}

// Handle implements control.Controller.
func (c *Controller) Handle(now time.Time, ev control.Event) []control.Action {
	c.now = now
	c.out = nil
	c.begin()
	switch e := ev.(type) {
	case control.Tick:
		c.tick()
	case control.Paused:
		c.paused(e.For)
	case control.LinkUp:
		c.linkUp(e.Peer.ID)
	case control.LinkDown:
		c.linkDown(e.Peer)
	case control.Received:
		c.received(e.From, e.Message)
	case control.IndexRead:
		c.indexRead(e.Versions)
	case control.IndexReadFailed:
		c.indexFailed(e.Err)
	case control.ValueRead:
		c.valueRead(e.Name, e.Data)
	case control.ValueReadFailed:
		c.valueFailed(e.Name)
	case control.VersionSeen:
		c.versionSeen(e.From, e.Version)
	default:
		return nil
	}
	c.finish()
	return c.out
}

// tick does what waits for time.
func (c *Controller) tick() {
	if c.timer.Due(c.now, c.assumedFleet()) {
		c.readIndex()
	}
	c.expireReads()
	c.expireAsks()
	c.expireWants()
	c.compareWhenDue()
	c.alarmWhenUnconfirmed()
}

// finish does what any event may have made possible.
func (c *Controller) finish() {
	c.askForWants()
	c.resolveReading()
	c.becomeReady()
	c.publish()
	c.sendNotices()
	c.sendBeacons()
}

// paused doubts everything that waited while the process stood still: what links
// deliver counts again once a peer has answered a question asked now.
func (c *Controller) paused(d time.Duration) {
	c.timer.ProcessPaused(c.now, d)
	c.confirm.reset(c.now)
	c.platform.paused()
	for _, w := range c.wants.list {
		w.release(c.now)
	}
	for _, l := range c.links.list {
		l.inFlight = 0
		l.fresh = false
		c.compareWith(l)
	}
}

// versionSeen takes a version that rode on a call: the peer that sent it has it.
func (c *Controller) versionSeen(from model.InstanceID, v model.BundleVersion) {
	if !plausible(v) {
		c.counters.Malformed++
		return
	}
	c.wantFrom(v, from)
}

// fleetSize is the number of known instances, at least one.
func (c *Controller) fleetSize() int {
	fleet := c.board.Fleet.Get()
	if fleet == nil {
		return 1
	}
	return max(len(fleet.Instances), 1)
}

func (c *Controller) do(a control.Action) { c.out = append(c.out, a) }

// record logs an event unless the same was logged lately.
func (c *Controller) record(id event.ID, subject, detail string, err error) {
	if !c.log.allow(c.now, id, subject) {
		c.counters.LogsSuppressed++
		return
	}
	c.do(control.Record{Event: id, Subject: subject, Detail: detail, Err: err})
}

// jitter returns a random time below d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(d)))
}

// Ready reports whether this node has put in force everything that peers and the
// platform named since its start. Once ready it stays ready.
func (c *Controller) Ready() bool { return c.start.ready }

// Confirmed returns the time as of which what is in force here was known to be
// what the configuration service holds, by this node's own reading or a peer's.
// It is zero before the first confirmation, from a pause until the next one, and
// while the node is ready on the platform's word alone.
func (c *Controller) Confirmed() time.Time {
	if c.start.alone && c.fleetSize() > 1 {
		return time.Time{}
	}
	return c.confirm.at
}

// IndexReads counts this node's own readings of the index.
func (c *Controller) IndexReads() uint64 { return c.timer.ReadCount() }

// Counters returns what has been counted since the start.
func (c *Controller) Counters() Counters { return c.counters }

// HeldSize returns the number of bundles in force and the bytes kept for passing
// them on.
func (c *Controller) HeldSize() (bundles, packedBytes int) {
	return len(c.held.items), c.held.packedBytes
}
