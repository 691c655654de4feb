package spread

import (
	"math/rand/v2"
	"sort"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// maxBadPeers bounds the stored peers that sent bad bodies.
const maxBadPeers = 256

// link is an open control link to a peer.
type link struct {
	id model.InstanceID
	// fresh reports whether the peer's messages cannot have waited through a pause of
	// this node.
	fresh bool
	// knownTimes holds the newest times that the peer has sent or been sent.
	knownTimes beaconTimes
	beaconAt   time.Time
	// busyUntil is when the peer may be asked again, as it requested itself.
	busyUntil time.Time
	// requestsInFlight counts bodies requested from the peer.
	requestsInFlight int
	// compared reports whether a comparison with the peer has ended; wasReady whether the
	// peer was ready then.
	compared bool
	wasReady bool
	compare  comparison
	// compareAt is when to compare over a new link; zero for never.
	compareAt time.Time
}

// linkTable holds the open links, sorted so that equal seeds give equal runs.
type linkTable struct {
	byID map[model.InstanceID]*link
	list []*link
	bad  map[model.InstanceID]time.Time
}

func newLinkTable() *linkTable {
	return &linkTable{byID: map[model.InstanceID]*link{}, bad: map[model.InstanceID]time.Time{}}
}

func (t *linkTable) add(id model.InstanceID) *link {
	if l := t.byID[id]; l != nil {
		return l
	}
	l := &link{id: id, fresh: true}
	t.byID[id] = l
	at := t.search(id)
	t.list = append(t.list, nil)
	copy(t.list[at+1:], t.list[at:])
	t.list[at] = l
	return l
}

func (t *linkTable) remove(id model.InstanceID) {
	if t.byID[id] == nil {
		return
	}
	delete(t.byID, id)
	at := t.search(id)
	t.list = append(t.list[:at], t.list[at+1:]...)
}

func (t *linkTable) search(id model.InstanceID) int {
	return sort.Search(len(t.list), func(i int) bool { return t.list[i].id >= id })
}

// requestsInFlight counts the bodies requested from all peers.
func (t *linkTable) requestsInFlight() int {
	sum := 0
	for _, l := range t.list {
		sum += l.requestsInFlight
	}
	return sum
}

// pick returns a random link that matches; nil when none does.
func (t *linkTable) pick(rng *rand.Rand, match func(*link) bool) *link {
	var chosen *link
	seen := 0
	for _, l := range t.list {
		if !match(l) {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = l
		}
	}
	return chosen
}

// markBad excludes a peer from requests for badPeerPeriod.
func (t *linkTable) markBad(now time.Time, id model.InstanceID) {
	if len(t.bad) >= maxBadPeers {
		clear(t.bad)
	}
	t.bad[id] = now.Add(badPeerPeriod)
}

func (t *linkTable) isBad(now time.Time, id model.InstanceID) bool {
	until, known := t.bad[id]
	return known && now.Before(until)
}

// linkUp starts the exchange with a peer: each sends its ages, and they compare versions.
// A node that is not ready compares at once; otherwise the comparison falls within the
// usual interval, so that the parts of a healed partition do not all compare at the same
// time.
func (c *Controller) linkUp(id model.InstanceID) {
	l := c.links.add(id)
	l.knownTimes = beaconTimes{}
	l.beaconAt = time.Time{}
	if !c.startup.ready {
		c.compareWith(l)
		return
	}
	l.compareAt = c.now.Add(c.jitter(compareInterval))
}

func (c *Controller) linkDown(id model.InstanceID) {
	c.links.remove(id)
	for _, f := range c.fetches.list {
		f.removeHolder(id)
		if f.requestedFrom == id {
			f.cancelPending(c.now)
		}
	}
}

// received dispatches a message to its handler.
func (c *Controller) received(from model.InstanceID, m wire.Message) {
	switch m := m.(type) {
	case wire.BundleBeacon:
		c.receiveBeacon(c.linkOf(from), m)
	case wire.BundleAnnouncement:
		c.receiveAnnouncement(c.linkOf(from), m)
	case wire.BundleRequest:
		c.serveRequest(from, m)
	case wire.BundleBody:
		c.receiveBody(c.linkOf(from), m)
	case wire.BundleDecline:
		c.receiveDecline(c.linkOf(from), m)
	case wire.BundleCompare:
		c.replyCompare(from, m)
	case wire.BundleCompareReply:
		c.receiveCompareReply(c.linkOf(from), m)
	case wire.BundleListRequest:
		c.replyList(from, m)
	case wire.BundleList:
		c.receiveList(c.linkOf(from), m)
	}
}

// linkOf returns the link to a peer. A message proves a link whose opening was not
// reported, or whose end was reported wrongly because a second link failed to open. The
// peer must then reply to a comparison before its ages count.
func (c *Controller) linkOf(id model.InstanceID) *link {
	if l := c.links.byID[id]; l != nil {
		return l
	}
	l := c.links.add(id)
	l.fresh = false
	c.compareWith(l)
	return l
}

func send(to model.InstanceID, m wire.Message) control.Send {
	return control.Send{To: to, Message: m}
}
