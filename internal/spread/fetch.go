package spread

import (
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Limits on fetching versions.
const (
	maxFetches = 4096
	// maxHolders bounds the peers that are stored as sources of one fetch.
	maxHolders = 4
	// maxRequests and maxRequestsPerPeer bound the bodies requested from peers and not
	// received yet.
	maxRequests        = 32
	maxRequestsPerPeer = 8
	// maxNameBytes bounds a bundle's name in messages.
	maxNameBytes = 128
	// requestTimeout is the wait for a body, plus up to requestJitter. It applies to the
	// first steadyRequests attempts; later ones double it up to maxRequestShift times. A
	// body that arrives later is still used.
	requestTimeout  = 400 * time.Millisecond
	requestJitter   = 200 * time.Millisecond
	steadyRequests  = 10
	maxRequestShift = 4
	// otherPeerDelay is the mean delay before a peer that did not announce the version is
	// asked because another one declined.
	otherPeerDelay = 500 * time.Millisecond
	// peersFirst is how long peers are tried before the configuration service. A random
	// part of up to peersFirstPerNode per node of the fleet is added, so that a fleet
	// that is missing a body reads it at most 1/peersFirstPerNode times a second.
	peersFirst        = 2 * time.Second
	peersFirstPerNode = 2 * time.Millisecond
	// fetchExpiry is how long a fetch lasts after its target was last raised.
	fetchExpiry = time.Minute
)

// fetch is a version that other nodes hold and this node is missing.
type fetch struct {
	name model.BundleName
	// target is the greatest version named. Any version above the one in force is
	// accepted, so a false target blocks nothing.
	target uint64
	// holders are peers that announced a newer version.
	holders []model.InstanceID
	// namedByPeer reports whether a peer or a call named a version above the one in
	// force; listed whether this node's own index read did.
	namedByPeer bool
	listed      bool
	// targetRaisedAt is when target was last raised.
	targetRaisedAt time.Time
	// readAfter is the earliest time to read from the configuration service.
	readAfter time.Time
	// nextTry is the earliest time to request an idle fetch again.
	nextTry time.Time
	tries   int
	// requestedFrom is the peer whose response is awaited until deadline; reading reports
	// whether a read of the configuration service is in flight.
	requestedFrom model.InstanceID
	reading       bool
	deadline      time.Time
}

func (f *fetch) idle() bool { return f.requestedFrom == "" && !f.reading }

// cancelPending stops waiting for a response.
func (f *fetch) cancelPending(now time.Time) {
	f.requestedFrom = ""
	f.reading = false
	f.nextTry = now
}

// addHolder adds a source; the oldest one is dropped if there are too many.
func (f *fetch) addHolder(id model.InstanceID) {
	for _, p := range f.holders {
		if p == id {
			return
		}
	}
	if len(f.holders) == maxHolders {
		f.holders = append(f.holders[:0], f.holders[1:]...)
	}
	f.holders = append(f.holders, id)
}

func (f *fetch) removeHolder(id model.InstanceID) {
	for i, p := range f.holders {
		if p == id {
			f.holders = append(f.holders[:i], f.holders[i+1:]...)
			return
		}
	}
}

// fetchList holds the fetches in a fixed order, so that equal seeds give equal runs.
type fetchList struct {
	byName map[model.BundleName]*fetch
	list   []*fetch
}

func newFetchList() *fetchList { return &fetchList{byName: map[model.BundleName]*fetch{}} }

func (l *fetchList) target(name model.BundleName) uint64 {
	if f := l.byName[name]; f != nil {
		return f.target
	}
	return 0
}

func (l *fetchList) add(f *fetch) {
	l.byName[f.name] = f
	l.list = append(l.list, f)
}

func (l *fetchList) remove(name model.BundleName) {
	f := l.byName[name]
	if f == nil {
		return
	}
	delete(l.byName, name)
	for i := range l.list {
		if l.list[i] == f {
			l.list = append(l.list[:i], l.list[i+1:]...)
			return
		}
	}
}

// withinBounds reports whether a version in a message is valid and within its limits.
func withinBounds(v model.BundleVersion) bool {
	return v.Name != "" && len(v.Name) <= maxNameBytes && v.Version > 0
}

// fetchFor returns the fetch for v; nil when v is in force or there are too many fetches.
func (c *Controller) fetchFor(v model.BundleVersion) *fetch {
	if c.inForce.version(v.Name) >= v.Version {
		return nil
	}
	f := c.fetches.byName[v.Name]
	if f == nil {
		if len(c.fetches.list) >= maxFetches {
			c.counters.FetchesDropped++
			return nil
		}
		f = &fetch{name: v.Name, readAfter: c.now.Add(c.peerFirstDelay())}
		c.fetches.add(f)
	}
	if f.target < v.Version {
		f.target = v.Version
		f.targetRaisedAt = c.now
	}
	return f
}

// peerFirstDelay returns how long peers are tried before the configuration service.
func (c *Controller) peerFirstDelay() time.Duration {
	return peersFirst + c.jitter(time.Duration(c.assumedFleet())*peersFirstPerNode)
}

// fetchFrom starts fetching a version that a peer holds.
func (c *Controller) fetchFrom(v model.BundleVersion, peer model.InstanceID) {
	f := c.fetchFor(v)
	if f == nil {
		return
	}
	f.addHolder(peer)
	f.namedByPeer = true
	if f.idle() {
		f.nextTry = c.now
	}
}

// expireRequests gives up on responses that took too long.
func (c *Controller) expireRequests() {
	for _, f := range c.fetches.list {
		if f.requestedFrom == "" || c.now.Before(f.deadline) {
			continue
		}
		c.counters.RequestTimeouts++
		f.removeHolder(f.requestedFrom)
		c.cancelRequest(f)
	}
}

// completeFetch ends the fetch that v satisfies, or allows the next request if its target
// is greater.
func (c *Controller) completeFetch(v model.BundleVersion) {
	f := c.fetches.byName[v.Name]
	if f == nil {
		return
	}
	c.cancelRequest(f)
	if f.target <= v.Version {
		c.fetches.remove(v.Name)
	}
}

// cancelRequest stops waiting for a peer's response.
func (c *Controller) cancelRequest(f *fetch) {
	if l := c.links.byID[f.requestedFrom]; l != nil && l.requestsInFlight > 0 {
		l.requestsInFlight--
	}
	f.cancelPending(c.now)
}

// expireFetches drops fetches that no source has satisfied for fetchExpiry. One
// unobtainable value must prevent neither a fresh node from becoming ready nor the other
// bundles from being confirmed.
func (c *Controller) expireFetches() {
	for i := len(c.fetches.list) - 1; i >= 0; i-- {
		f := c.fetches.list[i]
		if c.now.Sub(f.targetRaisedAt) < fetchExpiry || !f.idle() {
			continue
		}
		c.counters.FetchesDropped++
		v := model.BundleVersion{Name: f.name, Version: f.target}
		c.record(event.BundleUnobtainable, v.String(), "", nil)
		if f.listed {
			c.refused.add(c.now, v, nil)
		}
		c.fetches.remove(f.name)
	}
}

// requestMissing sends a bounded number of requests. It starts at a random fetch, so that
// nodes that are missing the same versions request different ones first and can serve
// each other.
func (c *Controller) requestMissing() {
	n := len(c.fetches.list)
	if n == 0 {
		return
	}
	remaining := maxRequests - c.links.requestsInFlight()
	first := c.rng.IntN(n)
	requests := map[model.InstanceID][]model.BundleVersion{}
	for i := range n {
		f := c.fetches.list[(first+i)%n]
		if !f.idle() || c.now.Before(f.nextTry) {
			continue
		}
		if l := c.choosePeer(f); l != nil {
			if remaining > 0 {
				remaining--
				c.request(f, l)
				requests[l.id] = append(requests[l.id], model.BundleVersion{Name: f.name, Version: c.inForce.version(f.name) + 1})
			}
			continue
		}
		c.readValueWhenDue(f)
	}
	for _, l := range c.links.list {
		if len(requests[l.id]) > 0 {
			c.emit(send(l.id, wire.BundleRequest{Versions: requests[l.id]}))
		}
	}
}

// choosePeer returns a link to request a fetch from: one to a holder if possible. Any other
// link is chosen only if no usable holder is known, no index read of this node listed the
// version, and the configuration service may not be read yet. nil means none.
func (c *Controller) choosePeer(f *fetch) *link {
	holder := c.links.pick(c.rng, func(l *link) bool { return c.canRequest(l) && contains(f.holders, l.id) })
	if holder != nil {
		return holder
	}
	if c.anyUsable(f.holders) || f.listed || !c.now.Before(f.readAfter) {
		return nil
	}
	return c.links.pick(c.rng, c.canRequest)
}

func (c *Controller) anyUsable(peers []model.InstanceID) bool {
	for _, id := range peers {
		if c.links.byID[id] != nil && !c.links.isBad(c.now, id) {
			return true
		}
	}
	return false
}

func (c *Controller) canRequest(l *link) bool {
	return l.requestsInFlight < maxRequestsPerPeer && !c.now.Before(l.busyUntil) && !c.links.isBad(c.now, l.id)
}

func (c *Controller) request(f *fetch, l *link) {
	c.counters.Requests++
	l.requestsInFlight++
	f.requestedFrom = l.id
	shift := min(max(f.tries-steadyRequests+1, 0), maxRequestShift)
	f.deadline = c.now.Add(requestTimeout<<shift + c.jitter(requestJitter))
	f.tries++
}

func contains(ids []model.InstanceID, id model.InstanceID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}
