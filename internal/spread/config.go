package spread

import (
	"errors"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// Limits on this node's own reads of values from the configuration service.
const (
	// maxValueReads bounds the reads in flight.
	maxValueReads = 4
	// readExpiry is how long a read may take, of a value or of the index.
	readExpiry = 10 * time.Second
	// Rate for versions that a ready node found in the index itself. The suppressed timer
	// bounds the number of such readers, this limit the rate of each.
	listedReadsPerSecond = 32
	listedReadsBurst     = 16
	// listedReadsSpread is the time over which the reads of many listed versions are
	// spread.
	listedReadsSpread = 500 * time.Millisecond
	// Rate for a node that is not ready, has links, and has no ready peer: the whole
	// fleet is starting.
	startupReadsPerSecond = 8
	startupReadsBurst     = 8
	// All other reads: all nodes together read at most fleetReadsPerSecond.
	fleetReadsPerSecond = 500
	otherReadsBurst     = 2
	// unknownFleetSize is the fleet size assumed while this node knows no other node and
	// is younger than unknownFleetPeriod.
	unknownFleetSize   = 1000
	unknownFleetPeriod = 10 * time.Second
	// valueRetryDelay is the delay after a failed read. It doubles with each earlier try of
	// the fetch, at most maxValueRetryShift times, and a random part of up to its own
	// length is added.
	valueRetryDelay    = 2 * time.Second
	maxValueRetryShift = 5
	// startupReadDelay bounds the random delay before a node that is not ready reads what
	// it found in the index: peers are tried first.
	startupReadDelay = 700 * time.Millisecond
)

// errReadExpired is the error of a read whose result was never reported.
var errReadExpired = errors.New("read of the configuration service timed out")

// configReadState tracks this node's own reads of the configuration service.
type configReadState struct {
	// indexReadsStarted holds the start times of index reads in flight, oldest first. A
	// response is attributed to the oldest, so that its age is never underestimated.
	indexReadsStarted []time.Time
	// uncertainReads counts the index reads in flight that were started before a pause.
	uncertainReads int
	ownReading     *indexReading
	// failing reports whether the last own index read failed or was stale.
	failing bool
	// attempted reports whether any own index read has ended, successfully or not.
	attempted   bool
	listedReads tokenBucket
	otherReads  tokenBucket
	// inFlight counts this node's value reads in flight.
	inFlight int
}

// onPause resets the state of reads in flight. Their responses may have waited through
// the pause, so they cannot confirm anything.
func (p *configReadState) onPause() {
	p.uncertainReads = len(p.indexReadsStarted)
	p.ownReading = nil
	p.inFlight = 0
}

// responseExpectedSoon reports whether an index read started less than responseWait ago.
func (p *configReadState) responseExpectedSoon(now time.Time) bool {
	n := len(p.indexReadsStarted)
	return n > 0 && now.Sub(p.indexReadsStarted[n-1]) < responseWait
}

// expireReads fails the reads whose result was not reported in time.
func (c *Controller) expireReads() {
	p := &c.configReads
	for len(p.indexReadsStarted) > 0 && c.now.Sub(p.indexReadsStarted[0]) >= readExpiry {
		c.indexReadFailed(errReadExpired)
	}
	for _, f := range c.fetches.list {
		if f.reading && !c.now.Before(f.deadline) {
			c.valueReadFailed(f.name)
		}
	}
}

// popIndexRead removes the oldest index read. It returns its start, and whether the
// response cannot have waited through a pause.
func (p *configReadState) popIndexRead() (startedAt time.Time, certain bool) {
	if len(p.indexReadsStarted) == 0 {
		return time.Time{}, false
	}
	startedAt = p.indexReadsStarted[0]
	p.indexReadsStarted = p.indexReadsStarted[1:]
	if p.uncertainReads > 0 {
		p.uncertainReads--
		return startedAt, false
	}
	return startedAt, true
}

func (c *Controller) readIndex() {
	c.configReads.indexReadsStarted = append(c.configReads.indexReadsStarted, c.now)
	c.emit(control.ReadIndex{})
}

// indexRead handles the index, the list of published versions. A response that may have
// waited through a pause counts as an attempt but confirms nothing.
func (c *Controller) indexRead(versions []model.BundleVersion) {
	startedAt, certain := c.configReads.popIndexRead()
	stale := c.staleEntry(versions, startedAt)
	switch {
	case !certain:
		c.timer.ReadDone(c.now, false)
	case stale != "":
		c.counters.StaleIndexes++
		c.finishIndexRead(false)
		c.record(event.ConfigStale, "", stale, nil)
	default:
		c.finishIndexRead(true)
		c.configReads.ownReading = &indexReading{at: startedAt}
	}
	c.fetchMissing(versions)
}

// indexReadFailed handles a failed index read.
func (c *Controller) indexReadFailed(err error) {
	c.configReads.popIndexRead()
	c.counters.IndexFailures++
	c.finishIndexRead(false)
	c.record(event.ConfigUnreachable, "", "", err)
}

func (c *Controller) finishIndexRead(ok bool) {
	c.timer.ReadDone(c.now, ok)
	c.configReads.attempted = true
	if ok && c.configReads.failing {
		c.log.reset(event.ConfigUnreachable, "")
		c.log.reset(event.ConfigStale, "")
		c.record(event.ConfigRecovered, "", "", nil)
	}
	c.configReads.failing = !ok
}

// staleEntry describes an entry of the index that is older than what this node had in
// force when the read began; empty if there is none.
func (c *Controller) staleEntry(versions []model.BundleVersion, startedAt time.Time) string {
	indexed := make(map[model.BundleName]uint64, len(versions))
	for _, v := range versions {
		indexed[v.Name] = max(indexed[v.Name], v.Version)
	}
	for _, it := range c.inForce.inOrder() {
		if it.since.After(startedAt) || indexed[it.bundle.Name] >= it.bundle.Version {
			continue
		}
		if indexed[it.bundle.Name] == 0 {
			return it.bundle.VersionID().String() + " is in force, but missing from the index"
		}
		older := model.BundleVersion{Name: it.bundle.Name, Version: indexed[it.bundle.Name]}
		return it.bundle.VersionID().String() + " is in force, but the index lists " + older.String()
	}
	return ""
}

// fetchMissing starts fetching the versions in the index that this node is missing. A
// ready node fetches at once, or spread over a short time if they are many; a node that
// is not ready tries ready peers first.
func (c *Controller) fetchMissing(versions []model.BundleVersion) {
	var missing []model.BundleVersion
	for _, v := range versions {
		if withinBounds(v) && c.inForce.version(v.Name) < v.Version && !c.refused.holds(c.now, v) {
			missing = append(missing, v)
		}
	}
	if c.configReads.ownReading != nil && c.configReads.ownReading.missing == nil {
		c.configReads.ownReading.missing = append(c.configReads.ownReading.missing, missing...)
	}
	maxDelay := time.Duration(0)
	if len(missing) > listedReadsBurst {
		maxDelay = listedReadsSpread
	}
	if !c.startup.ready {
		maxDelay = startupReadDelay
	}
	for _, v := range missing {
		c.fetchListed(v, maxDelay)
	}
}

// fetchListed starts fetching a version that this node found in the index itself.
func (c *Controller) fetchListed(v model.BundleVersion, maxDelay time.Duration) {
	f := c.fetchFor(v)
	if f == nil {
		return
	}
	at := c.now.Add(c.jitter(maxDelay))
	if !c.startup.ready && c.links.comparedLinks(true) > 0 {
		at = c.now.Add(c.peerFirstDelay())
	}
	if !f.listed || f.tries == 0 {
		f.readAfter = earlier(f.readAfter, at)
	}
	f.listed = true
	if f.idle() && f.tries == 0 {
		f.nextTry = earlier(f.nextTry, f.readAfter)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// readValueWhenDue reads a value when it is due and the limits allow it.
func (c *Controller) readValueWhenDue(f *fetch) {
	if c.now.Before(f.readAfter) || c.configReads.inFlight >= maxValueReads || !c.allowValueRead(f) {
		return
	}
	c.configReads.inFlight++
	c.counters.ValueReads++
	f.reading = true
	f.deadline = c.now.Add(readExpiry)
	c.emit(control.ReadValue{Name: f.name})
}

// allowValueRead draws on the token bucket that fits the state of this node and the
// fetch.
func (c *Controller) allowValueRead(f *fetch) bool {
	p := &c.configReads
	share := fleetReadsPerSecond / float64(c.assumedFleet())
	switch {
	case f.listed && c.startup.ready:
		return p.listedReads.takeAt(c.now, listedReadsPerSecond, listedReadsBurst)
	case f.listed && len(c.links.list) > 0 && c.links.comparedLinks(true) == 0:
		return p.listedReads.takeAt(c.now, max(share, startupReadsPerSecond), startupReadsBurst)
	}
	return p.otherReads.takeAt(c.now, share, otherReadsBurst)
}

// assumedFleet returns the fleet size used for rate limits: a young node that knows no
// other node assumes a large fleet.
func (c *Controller) assumedFleet() int {
	n := c.fleetSize()
	if n <= 1 && c.now.Sub(c.startup.startedAt) < unknownFleetPeriod {
		return unknownFleetSize
	}
	return n
}

// valueRead handles a value from the configuration service.
func (c *Controller) valueRead(name model.BundleName, raw []byte) {
	f := c.finishValueRead(name)
	v := model.BundleVersion{Name: name, Version: c.fetches.target(name)}
	got := rejected
	if c.refused.same(name, raw) {
		c.counters.RefusedAgain++
	} else {
		got = c.acceptOrRefuse(&receivedBody{name: name, raw: raw, superseded: f == nil})
	}
	if got == accepted {
		return
	}
	if got == rejected && f != nil && f.listed {
		c.refused.add(c.now, v, raw)
	}
	c.postponeRead(c.fetches.byName[name])
}

// valueReadFailed handles a failed value read.
func (c *Controller) valueReadFailed(name model.BundleName) {
	c.postponeRead(c.finishValueRead(name))
}

// finishValueRead returns the fetch whose value was being read; nil for none.
func (c *Controller) finishValueRead(name model.BundleName) *fetch {
	f := c.fetches.byName[name]
	if f == nil || !f.reading {
		return nil
	}
	if c.configReads.inFlight > 0 {
		c.configReads.inFlight--
	}
	f.cancelPending(c.now)
	return f
}

// postponeRead delays the next read of a fetch's value; peers that announce the version
// are still asked at once. A fetch whose value was refused is dropped unless a peer holds
// the version.
func (c *Controller) postponeRead(f *fetch) {
	if f == nil {
		return
	}
	v := model.BundleVersion{Name: f.name, Version: f.target}
	if c.refused.holds(c.now, v) && len(f.holders) == 0 {
		c.fetches.remove(f.name)
		return
	}
	wait := valueRetryDelay << min(f.tries, maxValueRetryShift)
	f.tries++
	f.readAfter = c.now.Add(wait + c.jitter(wait))
}
