// Package spread distributes signed bundles among the nodes and brings each new version
// into force on this node within seconds. Few nodes read the configuration service; the
// others receive versions from peers, and every node verifies the signature itself. The
// package writes the blackboard's Bundles section. Design: docs/DESIGN.md, "Bundle
// spread".
//
// # Sources of a new version
//
//   - The index of the configuration service, read by any node whose suppressed timer
//     fires; the reader then fetches the value.
//   - An announcement from a peer that has put the version in force. Announcements flood
//     over the links, and a node that is missing the version requests its body.
//   - A version named by a call from a peer.
//   - A comparison of digests with one peer every few seconds, which repairs lost
//     announcements and heals partitions.
//
// # Versions only increase
//
// A version is only replaced by a greater one, whatever the source. When two different
// bundles are signed under the same version, a node keeps the one that it received first
// and raises an alert: replacing it would change the meaning of a version under running
// requests. The operators must publish a greater version, which ends the conflict.
//
// # A fresh node
//
// Nothing is published to the blackboard before the node is ready, so that a restarted
// node, which has no memory, cannot act on an old version. See ready.go for the rules.
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

// Config holds the fixed settings of a Controller.
type Config struct {
	Self    model.Instance
	Trusted []bundle.Signer
}

// Controller implements control.Controller. It is not safe for concurrent use.
type Controller struct {
	cfg   Config
	board *blackboard.Board
	rng   *rand.Rand
	timer *suppress.Timer
	// checkBody verifies a signed bundle. Tests of many nodes share its results.
	checkBody checkFunc

	inForce      *bundleStore
	links        *linkTable
	fetches      *fetchList
	configReads  configReadState
	refused      *refusedValues
	upload       tokenBucket
	confirmation confirmation
	startup      startupState
	log          logLimiter
	counters     Counters

	// announcements lists what has come into force since the last announcements were
	// sent.
	announcements []announcement
	lastAnnounced time.Time
	nextCompare   time.Time
	// dirty is set while the blackboard does not show all that is in force.
	dirty       bool
	publishedAt time.Time

	// now and out belong to the event being handled.
	now time.Time
	out []control.Action
}

var _ control.Controller = (*Controller)(nil)

// New returns a controller with no bundle in force.
func New(cfg Config, board *blackboard.Board, rng *rand.Rand) *Controller {
	return &Controller{
		cfg:       cfg,
		board:     board,
		rng:       rng,
		timer:     suppress.New(rng),
		checkBody: func(file string, raw []byte) (checkedBundle, error) { return checkSigned(file, raw, cfg.Trusted) },
		inForce:   newBundleStore(),
		links:     newLinkTable(),
		fetches:   newFetchList(),
		refused:   newRefusedValues(),
		upload:    tokenBucket{rate: uploadBytesPerSecond, burst: uploadBurstBytes},
		log:       newLogLimiter(),
	}
}

// Handle implements control.Controller.
func (c *Controller) Handle(now time.Time, ev control.Event) []control.Action {
	c.now = now
	c.out = nil
	c.startOnce()
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
		c.indexReadFailed(e.Err)
	case control.ValueRead:
		c.valueRead(e.Name, e.Data)
	case control.ValueReadFailed:
		c.valueReadFailed(e.Name)
	case control.VersionSeen:
		c.versionSeen(e.From, e.Version)
	default:
		return nil
	}
	c.finish()
	return c.out
}

// tick does the work that becomes due with time.
func (c *Controller) tick() {
	if c.timer.Due(c.now, c.assumedFleet()) {
		c.readIndex()
	}
	c.expireReads()
	c.expireRequests()
	c.expireFetches()
	c.compareWhenDue()
	c.alertWhenUnconfirmed()
}

// finish does the work that any event may have made possible.
func (c *Controller) finish() {
	c.requestMissing()
	c.confirmOwnReading()
	c.becomeReady()
	c.publish()
	c.sendAnnouncements()
	c.sendBeacons()
}

// paused handles a process pause of length d. Messages and reads that may have waited
// during the pause confirm nothing. A link's ages count again once its peer has replied
// to a comparison sent after the pause.
func (c *Controller) paused(d time.Duration) {
	c.timer.ProcessPaused(c.now, d)
	c.confirmation.reset(c.now)
	c.configReads.onPause()
	for _, f := range c.fetches.list {
		f.cancelPending(c.now)
	}
	for _, l := range c.links.list {
		l.requestsInFlight = 0
		l.fresh = false
		c.compareWith(l)
	}
}

// versionSeen handles a version named by a call: the calling peer holds it.
func (c *Controller) versionSeen(from model.InstanceID, v model.BundleVersion) {
	if !withinBounds(v) {
		c.counters.Malformed++
		return
	}
	c.fetchFrom(v, from)
}

// fleetSize returns the number of known instances, at least one.
func (c *Controller) fleetSize() int {
	fleet := c.board.Fleet.Get()
	if fleet == nil {
		return 1
	}
	return max(len(fleet.Instances), 1)
}

func (c *Controller) emit(a control.Action) { c.out = append(c.out, a) }

// record logs an event unless the same event and subject were logged recently.
func (c *Controller) record(id event.ID, subject, detail string, err error) {
	if !c.log.allow(c.now, id, subject) {
		c.counters.LogsSuppressed++
		return
	}
	c.emit(control.Record{Event: id, Subject: subject, Detail: detail, Err: err})
}

// jitter returns a random duration in [0, d).
func (c *Controller) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.rng.Int64N(int64(d)))
}

// Ready reports whether this node has put in force everything that peers and the
// configuration service have named since its start. Once ready, it stays ready.
func (c *Controller) Ready() bool { return c.startup.ready }

// ConfirmedAt returns the time as of which the bundles in force here were known to match
// the configuration service, by a read of this node or of a peer. It is zero before the
// first confirmation, after a pause until the next one, and while the node became ready
// from the configuration service alone although it has peers.
func (c *Controller) ConfirmedAt() time.Time {
	if c.startup.readyWithoutPeers && c.fleetSize() > 1 {
		return time.Time{}
	}
	return c.confirmation.at
}

// IndexReads returns the number of index reads that this node has started.
func (c *Controller) IndexReads() uint64 { return c.timer.ReadCount() }

// Counters returns the totals since the start.
func (c *Controller) Counters() Counters { return c.counters }

// HeldSize returns the number of bundles in force and the packed bytes kept to serve
// peers.
func (c *Controller) HeldSize() (bundles, packedBytes int) {
	return len(c.inForce.items), c.inForce.packedBytes
}
