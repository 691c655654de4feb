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

// Rules of readiness. A fresh node publishes nothing before it is ready. It is ready once
// it holds every version that was named to it (except unconfirmed listings) and one of
// these conditions holds:
//
//   - Enough ready peers have completed a comparison with it: peerQuorum, or all linked
//     peers once peerWait has passed, or one once quorumWait has passed. In addition, the
//     configuration service has been read by this node or a peer, or a read has failed,
//     or configWait has passed.
//   - No ready peer has compared within noPeerWait, and the versions of the configuration
//     service are in force, read by this node or another fresh one. If no peer compared
//     at all, the node is ready without peers, and Confirmed stays zero until one has.
//
// With neither peers nor the configuration service, it never becomes ready.
const (
	peerQuorum = 3
	peerWait   = 2 * time.Second
	quorumWait = 5 * time.Second
	configWait = 3 * time.Second
	noPeerWait = 5 * time.Second
	// firstReadDelay is the minimum time, and half the maximum, for which a fresh node
	// leaves index reads to others. Its links open meanwhile, so that of many nodes
	// starting together only a few read.
	firstReadDelay = 1500 * time.Millisecond
	// unconfirmedListingTries is the number of failed attempts after which a version that
	// no peer has named no longer delays readiness.
	unconfirmedListingTries = 2
)

// startupState tracks the startup from the first event to readiness.
type startupState struct {
	startedAt time.Time
	ready     bool
	readyAt   time.Time
	// readyWithoutPeers reports whether the node became ready before any peer compared
	// with it.
	readyWithoutPeers bool
}

// startOnce initializes the controller at its first event.
func (c *Controller) startOnce() {
	if !c.startup.startedAt.IsZero() {
		return
	}
	c.startup.startedAt = c.now
	c.nextCompare = c.now.Add(c.jitter(compareInterval))
	c.confirmation.setDigest(c.inForce.digest)
	c.timer.Postpone(c.now, firstReadDelay)
}

func (c *Controller) becomeReady() {
	if c.startup.ready || len(c.NotReadyReasons()) > 0 {
		return
	}
	c.startup.ready = true
	c.startup.readyAt = c.now
	c.startup.readyWithoutPeers = c.links.comparedLinks(false) == 0
	c.dirty = true
	if c.startup.readyWithoutPeers && c.fleetSize() > 1 {
		c.record(event.BundlesReadyUnconfirmed, "", fmt.Sprintf("%d bundles", len(c.inForce.items)), nil)
		return
	}
	c.record(event.BundlesReady, "", fmt.Sprintf("%d bundles", len(c.inForce.items)), nil)
}

// NotReadyReasons describes what keeps this node from being ready; empty when it is ready.
func (c *Controller) NotReadyReasons() []string {
	if c.startup.ready {
		return nil
	}
	var out []string
	for _, f := range c.fetches.list {
		if c.unconfirmedListing(f) {
			continue
		}
		out = append(out, "bundle "+model.BundleVersion{Name: f.name, Version: f.target}.String())
	}
	if c.links.comparedLinks(true) > 0 {
		return append(out, c.pendingWithPeers()...)
	}
	return append(out, c.pendingWithoutPeers()...)
}

// unconfirmedListing reports whether a version is known from the index alone, could not
// be obtained, and was named by no peer. It must not keep a fresh node from serving what
// ready peers serve during an outage of the configuration service. A version that a peer
// has named is waited for, even if that peer becomes silent.
func (c *Controller) unconfirmedListing(f *fetch) bool {
	return !f.namedByPeer && f.tries >= unconfirmedListingTries && c.links.comparedLinks(true) > 0
}

// pendingWithPeers returns what is missing when a ready peer has compared.
func (c *Controller) pendingWithPeers() []string {
	var out []string
	age := c.now.Sub(c.startup.startedAt)
	ready, compared := c.links.comparedLinks(true), c.links.comparedLinks(false)
	all := compared == len(c.links.list) && age >= peerWait
	if ready < peerQuorum && !all && age < quorumWait {
		out = append(out, fmt.Sprintf("peers: %d of %d have compared bundles", compared, len(c.links.list)))
	}
	if !c.configReads.attempted && c.confirmation.at.IsZero() && age < configWait {
		out = append(out, "configuration service: not read yet")
	}
	return out
}

// pendingWithoutPeers returns what is missing when no ready peer has compared.
func (c *Controller) pendingWithoutPeers() []string {
	var out []string
	if c.confirmation.at.IsZero() {
		out = append(out, "configuration: received from neither a ready peer nor the configuration service")
	}
	if c.now.Sub(c.startup.startedAt) < noPeerWait {
		out = append(out, "peers: no ready peer has replied yet")
	}
	return out
}

// comparedLinks counts the links whose peers have completed a comparison; with onlyReady,
// only peers that were ready.
func (t *linkTable) comparedLinks(onlyReady bool) int {
	n := 0
	for _, l := range t.list {
		if l.compared && (l.wasReady || !onlyReady) {
			n++
		}
	}
	return n
}

// publish writes the bundles in force to the blackboard, at most once a tick.
func (c *Controller) publish() {
	if !c.dirty || !c.startup.ready || c.now.Sub(c.publishedAt) < control.TickInterval {
		return
	}
	c.dirty = false
	c.publishedAt = c.now
	bundles := c.inForce.bundles()
	for _, f := range bundle.CheckSet(bundles) {
		c.counters.Contradictions++
		c.record(event.BundlesContradict, f.File, f.Key, errors.New(f.Message))
	}
	c.board.Bundles.Put(bundle.NewSet(bundles))
}
