package spread

import (
	"errors"
	"fmt"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// Rules of readiness. A fresh node publishes nothing before it is ready, and is
// ready once it holds every version that anybody named to it (but see hearsay) and
//
//   - enough ready peers have told it what they hold: peerQuorum, or all that are
//     linked once peerWait has passed, or one once quorumWait has passed; and the
//     platform has been read, by this node or a peer, or has failed, or
//     sourceWait has passed; or
//   - no ready peer has answered by aloneWait and the platform's word is in force
//     (its own reading or another fresh node's). When nobody at all answered, the
//     node is ready alone: Confirmed stays zero until a peer has compared.
//
// With neither peers nor the platform it is not ready, for as long as that lasts.
const (
	peerQuorum = 3
	peerWait   = 2 * time.Second
	quorumWait = 5 * time.Second
	sourceWait = 3 * time.Second
	aloneWait  = 5 * time.Second
	// freshHold is how long a fresh node at least, and twice as long at most,
	// leaves the index to others: its links open meanwhile, so that of many nodes
	// that start together a few read.
	freshHold = 1500 * time.Millisecond
	// hearsayTries is how often a version that no peer holds is tried in vain.
	hearsayTries = 2
)

// startState is the way from the first event to readiness.
type startState struct {
	begun   time.Time
	ready   bool
	readyAt time.Time
	// alone says that no peer has compared with this node yet.
	alone bool
}

// begin notes the time of the first event.
func (c *Controller) begin() {
	if !c.start.begun.IsZero() {
		return
	}
	c.start.begun = c.now
	c.nextCompare = c.now.Add(c.jitter(compareInterval))
	c.confirm.holds(c.held.digest)
	c.timer.Postpone(c.now, freshHold)
}

func (c *Controller) becomeReady() {
	if c.start.ready || len(c.Missing()) > 0 {
		return
	}
	c.start.ready = true
	c.start.readyAt = c.now
	c.start.alone = c.links.answers(false) == 0
	c.dirty = true
	if c.start.alone && c.fleetSize() > 1 {
		c.record(event.BundlesReadyUnconfirmed, "", fmt.Sprintf("%d bundles", len(c.held.items)), nil)
		return
	}
	c.record(event.BundlesReady, "", fmt.Sprintf("%d bundles", len(c.held.items)), nil)
}

// Missing says in words what keeps this node from being ready; nothing when it
// is.
func (c *Controller) Missing() []string {
	if c.start.ready {
		return nil
	}
	var out []string
	for _, w := range c.wants.list {
		if c.hearsay(w) {
			continue
		}
		out = append(out, "bundle "+model.BundleVersion{Name: w.name, Version: w.target}.String())
	}
	if c.links.answers(true) > 0 {
		return append(out, c.missingBesidePeers()...)
	}
	return append(out, c.missingAlone()...)
}

// hearsay tells whether a version is known by the index alone, cannot be had, and
// was named by no peer: it must not keep a fresh node from serving what ready
// peers serve for as long as the platform is down. A version that a peer has
// named is waited for, also when that peer falls silent.
func (c *Controller) hearsay(w *want) bool {
	return !w.named && w.tries >= hearsayTries && c.links.answers(true) > 0
}

// missingBesidePeers is what is missing when ready peers answer.
func (c *Controller) missingBesidePeers() []string {
	var out []string
	age := c.now.Sub(c.start.begun)
	settled, answered := c.links.answers(true), c.links.answers(false)
	all := answered == len(c.links.list) && age >= peerWait
	if settled < peerQuorum && !all && age < quorumWait {
		out = append(out, fmt.Sprintf("peers: %d of %d have told their bundles", answered, len(c.links.list)))
	}
	if !c.platform.tried && c.confirm.at.IsZero() && age < sourceWait {
		out = append(out, "configuration service: not read yet")
	}
	return out
}

// missingAlone is what is missing when no ready peer has answered.
func (c *Controller) missingAlone() []string {
	var out []string
	if c.confirm.at.IsZero() {
		out = append(out, "configuration: neither a ready peer nor the configuration service has told it")
	}
	if c.now.Sub(c.start.begun) < aloneWait {
		out = append(out, "peers: none that is ready has answered yet")
	}
	return out
}

// answers counts the links whose peers have told what they hold; with settled,
// only those that were ready.
func (t *linkTable) answers(settled bool) int {
	n := 0
	for _, l := range t.list {
		if l.answered && (l.settled || !settled) {
			n++
		}
	}
	return n
}

// publish puts what is in force on the blackboard, at most once a tick.
func (c *Controller) publish() {
	if !c.dirty || !c.start.ready || c.now.Sub(c.publishedAt) < control.TickInterval {
		return
	}
	c.dirty = false
	c.publishedAt = c.now
	bundles := c.held.bundles()
	for _, f := range bundle.CheckSet(bundles) {
		c.counters.Contradictions++
		c.record(event.BundlesContradict, f.File, f.Key, errors.New(f.Message))
	}
	c.board.Bundles.Put(bundle.NewSet(bundles))
}
