package spread

import (
	"math/rand/v2"
	"sort"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// maxBadPeers bounds the memory of peers that sent bad bodies.
const maxBadPeers = 256

// link is an open control link to a peer.
type link struct {
	id model.InstanceID
	// fresh says that what the peer says cannot have waited through a pause of
	// this node.
	fresh bool
	// told holds the newest times that the peer is known to know.
	told     beaconTimes
	beaconAt time.Time
	// busyUntil is when the peer may be asked again, by its own word.
	busyUntil time.Time
	// inFlight counts bodies asked of the peer.
	inFlight int
	// answered says that a comparison with the peer ended; settled that the peer
	// was ready then.
	answered bool
	settled  bool
	compare  comparison
	// compareAt is when a new link is compared over; zero for never.
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

// asks counts the bodies asked of all peers.
func (t *linkTable) asks() int {
	sum := 0
	for _, l := range t.list {
		sum += l.inFlight
	}
	return sum
}

// pick returns one of the links that fit, at random; nil when none does.
func (t *linkTable) pick(rng *rand.Rand, fits func(*link) bool) *link {
	var chosen *link
	seen := 0
	for _, l := range t.list {
		if !fits(l) {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = l
		}
	}
	return chosen
}

// distrust keeps a peer from being asked for bodies for a while.
func (t *linkTable) distrust(now time.Time, id model.InstanceID) {
	if len(t.bad) >= maxBadPeers {
		clear(t.bad)
	}
	t.bad[id] = now.Add(badPeerPause)
}

func (t *linkTable) isBad(now time.Time, id model.InstanceID) bool {
	until, known := t.bad[id]
	return known && now.Before(until)
}

// linkUp opens the talk with a peer: each tells the other its ages, and they
// compare what they hold, at once when this node is not ready and otherwise
// within the usual interval, so that parts of a split fleet join without a storm.
func (c *Controller) linkUp(id model.InstanceID) {
	l := c.links.add(id)
	l.told = beaconTimes{}
	l.beaconAt = time.Time{}
	if !c.start.ready {
		c.compareWith(l)
		return
	}
	l.compareAt = c.now.Add(c.jitter(compareInterval))
}

func (c *Controller) linkDown(id model.InstanceID) {
	c.links.remove(id)
	for _, w := range c.wants.list {
		w.dropPeer(id)
		if w.asked == id {
			w.release(c.now)
		}
	}
}

// received hands a message to its part.
func (c *Controller) received(from model.InstanceID, m wire.Message) {
	switch m := m.(type) {
	case wire.BundleBeacon:
		c.beacon(c.linkOf(from), m)
	case wire.BundleAnnouncement:
		c.notice(c.linkOf(from), m)
	case wire.BundleRequest:
		c.serve(from, m)
	case wire.BundleBody:
		c.body(c.linkOf(from), m)
	case wire.BundleDecline:
		c.declined(c.linkOf(from), m)
	case wire.BundleCompare:
		c.answerCompare(from, m)
	case wire.BundleCompareReply:
		c.compared(c.linkOf(from), m)
	case wire.BundleListRequest:
		c.answerList(from, m)
	case wire.BundleList:
		c.listed(c.linkOf(from), m)
	}
}

// linkOf returns the link to a peer. A message proves a link whose opening was
// not told, or whose end was told wrongly (a second one that could not be
// opened); the peer has to answer a question before its ages count.
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
