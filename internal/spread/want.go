package spread

import (
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Bounds of the pursuit of versions.
const (
	maxWants       = 4096
	maxWantSources = 4
	// maxAsks and maxAsksPerPeer bound the bodies asked of peers at once.
	maxAsks        = 32
	maxAsksPerPeer = 8
	// maxNameBytes bounds a bundle's name in messages.
	maxNameBytes = 128
	// askTimeout is the wait for a body, jittered by up to askJitter. The first
	// steadyAsks tries wait so long, later ones double it up to maxAskShift times.
	// A body that comes later is taken all the same.
	askTimeout  = 400 * time.Millisecond
	askJitter   = 200 * time.Millisecond
	steadyAsks  = 10
	maxAskShift = 4
	// askElsewhere bounds the wait before a peer that gave no notice is asked.
	askElsewhere = 500 * time.Millisecond
	// platformGrace is how long peers are tried before the platform, plus a random
	// part of platformSpread per node of the fleet, so that a fleet that lacks a
	// body reads at most 1/platformSpread times a second.
	platformGrace  = 2 * time.Second
	platformSpread = 2 * time.Millisecond
	// wantLife is how long a version is pursued since it was last named anew.
	wantLife = time.Minute
)

// want is a version that others have and this node lacks.
type want struct {
	name model.BundleName
	// target is the greatest version heard of; any version above the one in
	// force is welcome, so a false target blocks nothing.
	target uint64
	// peers have said that they hold a newer version.
	peers []model.InstanceID
	// named says that a peer or a call named a version above the one in force,
	// listed that this node's own index reading did.
	named  bool
	listed bool
	// since is when target was last raised.
	since time.Time
	// platformAt is when the platform may be asked.
	platformAt time.Time
	// nextTry is when an idle want may be asked for again.
	nextTry time.Time
	tries   int
	// asked is the peer whose answer is awaited until deadline; reading says that
	// the platform's is.
	asked    model.InstanceID
	reading  bool
	deadline time.Time
}

func (w *want) idle() bool { return w.asked == "" && !w.reading }

// release ends the wait for an answer.
func (w *want) release(now time.Time) {
	w.asked = ""
	w.reading = false
	w.nextTry = now
}

// addPeer notes a source; the oldest gives way to a new one.
func (w *want) addPeer(id model.InstanceID) {
	for _, p := range w.peers {
		if p == id {
			return
		}
	}
	if len(w.peers) == maxWantSources {
		w.peers = append(w.peers[:0], w.peers[1:]...)
	}
	w.peers = append(w.peers, id)
}

func (w *want) dropPeer(id model.InstanceID) {
	for i, p := range w.peers {
		if p == id {
			w.peers = append(w.peers[:i], w.peers[i+1:]...)
			return
		}
	}
}

// wantList holds the wants in a fixed order, so that equal seeds give equal runs.
type wantList struct {
	byName map[model.BundleName]*want
	list   []*want
}

func newWantList() *wantList { return &wantList{byName: map[model.BundleName]*want{}} }

func (l *wantList) target(name model.BundleName) uint64 {
	if w := l.byName[name]; w != nil {
		return w.target
	}
	return 0
}

func (l *wantList) add(w *want) {
	l.byName[w.name] = w
	l.list = append(l.list, w)
}

func (l *wantList) remove(name model.BundleName) {
	w := l.byName[name]
	if w == nil {
		return
	}
	delete(l.byName, name)
	for i := range l.list {
		if l.list[i] == w {
			l.list = append(l.list[:i], l.list[i+1:]...)
			return
		}
	}
}

// plausible bounds what a message may name.
func plausible(v model.BundleVersion) bool {
	return v.Name != "" && len(v.Name) <= maxNameBytes && v.Version > 0
}

// want returns the want for v, or nil when v is in force or there are too many.
func (c *Controller) want(v model.BundleVersion) *want {
	if c.held.version(v.Name) >= v.Version {
		return nil
	}
	w := c.wants.byName[v.Name]
	if w == nil {
		if len(c.wants.list) >= maxWants {
			c.counters.FetchesDropped++
			return nil
		}
		w = &want{name: v.Name, platformAt: c.now.Add(c.platformWait())}
		c.wants.add(w)
	}
	if w.target < v.Version {
		w.target = v.Version
		w.since = c.now
	}
	return w
}

// platformWait is how long peers are tried before the platform.
func (c *Controller) platformWait() time.Duration {
	return platformGrace + c.jitter(time.Duration(c.assumedFleet())*platformSpread)
}

// wantFrom pursues a version that a peer holds.
func (c *Controller) wantFrom(v model.BundleVersion, peer model.InstanceID) {
	w := c.want(v)
	if w == nil {
		return
	}
	w.addPeer(peer)
	w.named = true
	if w.idle() {
		w.nextTry = c.now
	}
}

// expireAsks gives up on answers that took too long.
func (c *Controller) expireAsks() {
	for _, w := range c.wants.list {
		if w.asked == "" || c.now.Before(w.deadline) {
			continue
		}
		c.counters.RequestTimeouts++
		w.dropPeer(w.asked)
		c.unask(w)
	}
}

// satisfy ends the want that v fulfils, or lets a greater target be asked for.
func (c *Controller) satisfy(v model.BundleVersion) {
	w := c.wants.byName[v.Name]
	if w == nil {
		return
	}
	c.unask(w)
	if w.target <= v.Version {
		c.wants.remove(v.Name)
	}
}

// unask ends a wait for an answer.
func (c *Controller) unask(w *want) {
	if l := c.links.byID[w.asked]; l != nil && l.inFlight > 0 {
		l.inFlight--
	}
	w.release(c.now)
}

// expireWants drops what nobody has sent for long. One value that cannot be read
// keeps neither a fresh node from being ready nor the rest from being confirmed.
func (c *Controller) expireWants() {
	for i := len(c.wants.list) - 1; i >= 0; i-- {
		w := c.wants.list[i]
		if c.now.Sub(w.since) < wantLife || !w.idle() {
			continue
		}
		c.counters.FetchesDropped++
		v := model.BundleVersion{Name: w.name, Version: w.target}
		c.record(event.BundleUnobtainable, v.String(), "", nil)
		if w.listed {
			c.refused.add(c.now, v, nil)
		}
		c.wants.remove(w.name)
	}
}

// askForWants sends a bounded number of questions. It starts at a random want,
// so that nodes which lack the same versions ask for different ones first and
// can serve each other.
func (c *Controller) askForWants() {
	n := len(c.wants.list)
	if n == 0 {
		return
	}
	free := maxAsks - c.links.asks()
	first := c.rng.IntN(n)
	asks := map[model.InstanceID][]model.BundleVersion{}
	for i := range n {
		w := c.wants.list[(first+i)%n]
		if !w.idle() || c.now.Before(w.nextTry) {
			continue
		}
		if l := c.choosePeer(w); l != nil {
			if free > 0 {
				free--
				c.ask(w, l)
				asks[l.id] = append(asks[l.id], model.BundleVersion{Name: w.name, Version: c.held.version(w.name) + 1})
			}
			continue
		}
		c.askPlatform(w)
	}
	for _, l := range c.links.list {
		if len(asks[l.id]) > 0 {
			c.do(send(l.id, wire.BundleRequest{Versions: asks[l.id]}))
		}
	}
}

// choosePeer returns a link to ask: one whose peer gave notice, or else, after a
// failed try or with no notice at all, any other before the platform is due.
func (c *Controller) choosePeer(w *want) *link {
	noticed := c.links.pick(c.rng, func(l *link) bool { return c.usable(l) && contains(w.peers, l.id) })
	if noticed != nil {
		return noticed
	}
	if c.anyUp(w.peers) || w.listed || !c.now.Before(w.platformAt) {
		return nil
	}
	return c.links.pick(c.rng, c.usable)
}

func (c *Controller) anyUp(peers []model.InstanceID) bool {
	for _, id := range peers {
		if c.links.byID[id] != nil && !c.links.isBad(c.now, id) {
			return true
		}
	}
	return false
}

func (c *Controller) usable(l *link) bool {
	return l.inFlight < maxAsksPerPeer && !c.now.Before(l.busyUntil) && !c.links.isBad(c.now, l.id)
}

func (c *Controller) ask(w *want, l *link) {
	c.counters.Requests++
	l.inFlight++
	w.asked = l.id
	shift := min(max(w.tries-steadyAsks+1, 0), maxAskShift)
	w.deadline = c.now.Add(askTimeout<<shift + c.jitter(askJitter))
	w.tries++
}

func contains(ids []model.InstanceID, id model.InstanceID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}
