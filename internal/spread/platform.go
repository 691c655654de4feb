package spread

import (
	"errors"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// Bounds of this node's own reads of values.
const (
	// maxValueReads bounds the reads at once.
	maxValueReads = 4
	// readExpiry ends the wait for a read, of the index too.
	readExpiry = 10 * time.Second
	// A ready reader's own findings: the suppressed timer bounds the number of
	// such readers, this their rate.
	findingsPerSecond = 32
	findingsBurst     = 16
	// findingsSpread is the time over which many findings of one reading are
	// begun.
	findingsSpread = 500 * time.Millisecond
	// The same of a reader that is not ready, has links, and whose peers are not
	// ready either: a fleet that starts as a whole.
	coldPerSecond = 8
	coldBurst     = 8
	// Everything else: all nodes together read at most valuesPerSecond.
	valuesPerSecond = 500
	valuesBurst     = 2
	// unknownFleet is the size assumed while only this node is known and it is
	// younger than unknownFleetFor.
	unknownFleet    = 1000
	unknownFleetFor = 10 * time.Second
	// valueRetry is the first wait after a failed read, doubled up to
	// maxValueShift times and jittered by its own length.
	valueRetry    = 2 * time.Second
	maxValueShift = 5
	// freshGrace bounds the random wait of a node that is not ready before it
	// reads what it found itself: peers come first.
	freshGrace = 700 * time.Millisecond
)

// errReadExpired is the fault of a read whose end was never told.
var errReadExpired = errors.New("read did not end in time")

// platformState is this node's own use of the configuration service.
type platformState struct {
	// indexBegun are the starts of unanswered index reads, oldest first. An answer
	// counts from the oldest, so it is never taken for younger than it is.
	indexBegun []time.Time
	// doubted counts unanswered index reads from before a pause.
	doubted int
	reading *ownReading
	// failing says that the last own reading failed or was stale.
	failing bool
	// tried says that an own reading has ended, well or not.
	tried    bool
	findings bucket
	values   bucket
	// inFlight counts own value reads.
	inFlight int
}

// paused takes answers that may have waited for no confirmation.
func (p *platformState) paused() {
	p.doubted = len(p.indexBegun)
	p.reading = nil
	p.inFlight = 0
}

// awaits reports whether the answer to a young index read may come at once.
func (p *platformState) awaits(now time.Time) bool {
	n := len(p.indexBegun)
	return n > 0 && now.Sub(p.indexBegun[n-1]) < answerWait
}

// expireReads takes reads whose end was never told as failed.
func (c *Controller) expireReads() {
	p := &c.platform
	for len(p.indexBegun) > 0 && c.now.Sub(p.indexBegun[0]) >= readExpiry {
		c.indexFailed(errReadExpired)
	}
	for _, w := range c.wants.list {
		if w.reading && !c.now.Before(w.deadline) {
			c.valueFailed(w.name)
		}
	}
}

// pop ends the oldest index read. It returns its start, and false when its
// answer may have waited through a pause.
func (p *platformState) pop() (begun time.Time, certain bool) {
	if len(p.indexBegun) == 0 {
		return time.Time{}, false
	}
	begun = p.indexBegun[0]
	p.indexBegun = p.indexBegun[1:]
	if p.doubted > 0 {
		p.doubted--
		return begun, false
	}
	return begun, true
}

func (c *Controller) readIndex() {
	c.platform.indexBegun = append(c.platform.indexBegun, c.now)
	c.do(control.ReadIndex{})
}

// indexRead takes the list of published versions. One that may have waited
// through a pause counts as an attempt and confirms nothing.
func (c *Controller) indexRead(versions []model.BundleVersion) {
	begun, certain := c.platform.pop()
	stale := c.olderThanInForce(versions, begun)
	switch {
	case !certain:
		c.timer.ReadDone(c.now, false)
	case stale != "":
		c.counters.StaleIndexes++
		c.endIndexRead(false)
		c.record(event.ConfigStale, "", stale, nil)
	default:
		c.endIndexRead(true)
		c.platform.reading = &ownReading{at: begun}
	}
	c.wantListed(versions)
}

// indexFailed takes the failure of an index read.
func (c *Controller) indexFailed(err error) {
	c.platform.pop()
	c.counters.IndexFailures++
	c.endIndexRead(false)
	c.record(event.ConfigUnreachable, "", "", err)
}

func (c *Controller) endIndexRead(ok bool) {
	c.timer.ReadDone(c.now, ok)
	c.platform.tried = true
	if ok && c.platform.failing {
		c.log.reset(event.ConfigUnreachable, "")
		c.log.reset(event.ConfigStale, "")
		c.record(event.ConfigRecovered, "", "", nil)
	}
	c.platform.failing = !ok
}

// olderThanInForce says in words what in the index is behind what this node had
// in force when the read began; empty for nothing.
func (c *Controller) olderThanInForce(versions []model.BundleVersion, begun time.Time) string {
	listed := make(map[model.BundleName]uint64, len(versions))
	for _, v := range versions {
		listed[v.Name] = max(listed[v.Name], v.Version)
	}
	for _, it := range c.held.inOrder() {
		if it.since.After(begun) || listed[it.bundle.Name] >= it.bundle.Version {
			continue
		}
		if listed[it.bundle.Name] == 0 {
			return it.bundle.VersionID().String() + " is in force, the index lacks it"
		}
		older := model.BundleVersion{Name: it.bundle.Name, Version: listed[it.bundle.Name]}
		return it.bundle.VersionID().String() + " is in force, the index lists " + older.String()
	}
	return ""
}

// wantListed pursues what the index lists and this node lacks. A ready node
// fetches at once, many over a short time; one that is not ready lets ready peers
// come first.
func (c *Controller) wantListed(versions []model.BundleVersion) {
	var lacking []model.BundleVersion
	for _, v := range versions {
		if plausible(v) && c.held.version(v.Name) < v.Version && !c.refused.holds(c.now, v) {
			lacking = append(lacking, v)
		}
	}
	if c.platform.reading != nil && c.platform.reading.open == nil {
		c.platform.reading.open = append(c.platform.reading.open, lacking...)
	}
	spread := time.Duration(0)
	if len(lacking) > findingsBurst {
		spread = findingsSpread
	}
	if !c.start.ready {
		spread = freshGrace
	}
	for _, v := range lacking {
		c.wantOwn(v, spread)
	}
}

// wantOwn pursues a version that this node's own reading found.
func (c *Controller) wantOwn(v model.BundleVersion, spread time.Duration) {
	w := c.want(v)
	if w == nil {
		return
	}
	at := c.now.Add(c.jitter(spread))
	if !c.start.ready && c.links.answers(true) > 0 {
		at = c.now.Add(c.platformWait())
	}
	if !w.listed || w.tries == 0 {
		w.platformAt = earlier(w.platformAt, at)
	}
	w.listed = true
	if w.idle() && w.tries == 0 {
		w.nextTry = earlier(w.nextTry, w.platformAt)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// askPlatform reads a value when it is due and the bounds allow it.
func (c *Controller) askPlatform(w *want) {
	if c.now.Before(w.platformAt) || c.platform.inFlight >= maxValueReads || !c.valueAllowed(w) {
		return
	}
	c.platform.inFlight++
	c.counters.ValueReads++
	w.reading = true
	w.deadline = c.now.Add(readExpiry)
	c.do(control.ReadValue{Name: w.name})
}

// valueAllowed draws on the bucket that fits the state of this node and the want.
func (c *Controller) valueAllowed(w *want) bool {
	p := &c.platform
	share := valuesPerSecond / float64(c.assumedFleet())
	switch {
	case w.listed && c.start.ready:
		return p.findings.takeAt(c.now, findingsPerSecond, findingsBurst)
	case w.listed && len(c.links.list) > 0 && c.links.answers(true) == 0:
		return p.findings.takeAt(c.now, max(share, coldPerSecond), coldBurst)
	}
	return p.values.takeAt(c.now, share, valuesBurst)
}

// assumedFleet is the fleet's size for bounding reads: a young node that knows
// of nobody assumes many.
func (c *Controller) assumedFleet() int {
	n := c.fleetSize()
	if n <= 1 && c.now.Sub(c.start.begun) < unknownFleetFor {
		return unknownFleet
	}
	return n
}

// valueRead takes a value of the configuration service.
func (c *Controller) valueRead(name model.BundleName, raw []byte) {
	w := c.endValueRead(name)
	v := model.BundleVersion{Name: name, Version: c.wants.target(name)}
	got := rejected
	if c.refused.same(name, raw) {
		c.counters.RefusedAgain++
	} else {
		got = c.take(&offered{name: name, raw: raw, late: w == nil})
	}
	if got == accepted {
		return
	}
	if got == rejected && w != nil && w.listed {
		c.refused.add(c.now, v, raw)
	}
	c.putOff(c.wants.byName[name])
}

// valueFailed takes the failure of a value read.
func (c *Controller) valueFailed(name model.BundleName) {
	c.putOff(c.endValueRead(name))
}

// endValueRead returns the want whose value was being read, nil for none.
func (c *Controller) endValueRead(name model.BundleName) *want {
	w := c.wants.byName[name]
	if w == nil || !w.reading {
		return nil
	}
	if c.platform.inFlight > 0 {
		c.platform.inFlight--
	}
	w.release(c.now)
	return w
}

// putOff lets a want wait before it asks the platform again; peers that give
// notice are asked at once. A refused value is not pursued further unless a peer
// holds another.
func (c *Controller) putOff(w *want) {
	if w == nil {
		return
	}
	v := model.BundleVersion{Name: w.name, Version: w.target}
	if c.refused.holds(c.now, v) && len(w.peers) == 0 {
		c.wants.remove(w.name)
		return
	}
	wait := valueRetry << min(w.tries, maxValueShift)
	w.tries++
	w.platformAt = c.now.Add(wait + c.jitter(wait))
}
