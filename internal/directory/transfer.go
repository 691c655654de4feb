package directory

import (
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// A large configuration is transferred apart from all other changes, which must not wait for
// it: once to each node, at best from a peer, and passed on before it is decoded. The view's
// revision is that of the other changes; how far the configuration is known has its own.

// Parameters of transferring configurations.
const (
	// configReaders is about how many nodes of a fleet read one configuration from the
	// directory at a time. Some of them are dead, or on slow machines.
	configReaders = 32
	// configDrawInterval is how often a node that no peer offers the configuration decides
	// whether it is one of them, and how often at most while it may be unchanged.
	configDrawInterval = 500 * time.Millisecond
	// configPatience is how long a transfer from a peer may take before another is begun beside
	// it, twice as long for each one in progress: the peer may be starved or cut off. On a
	// link of 10 Mbit/s thousands of routes take 0.1 s.
	configPatience = time.Second
	// maxPeerTransfers bounds the transfers from peers in progress.
	maxPeerTransfers = 3
	// maxOffers bounds the peers that are remembered as holding a newer configuration.
	maxOffers = 8
)

// offer is a peer that holds a configuration.
type offer struct {
	peer    model.InstanceID
	version uint64
}

// configTransfer is the state of transferring and decoding the configuration.
type configTransfer struct {
	// knownTo is the revision in the view's era up to which no newer configuration exists
	// than the one held.
	knownTo uint64
	// changedBy is a revision by which a large change was seen.
	changedBy uint64
	// behindSince is when knownTo fell behind the view's revision; zero while it is not.
	behindSince time.Time
	// offers holds peers with newer configurations, the latest last.
	offers []offer
	// peers are those whose configurations are being transferred, the latest, since
	// requestedAt, last. reading reports a transfer from the directory.
	peers       []model.InstanceID
	requestedAt time.Time
	reading     bool
	// nextDraw is when this node next decides whether to read from the directory.
	// drawsCertain reports that it decides so about a configuration that has changed.
	nextDraw     time.Time
	drawsCertain bool
	// decoding reports that a configuration is being decoded; source names the origin of the
	// newest one.
	decoding bool
	source   string
}

// awaitsPeer reports whether a transfer from a peer has not taken too long.
func (t *configTransfer) awaitsPeer(now time.Time) bool {
	n := len(t.peers)
	return n == maxPeerTransfers || n > 0 && now.Sub(t.requestedAt) < configPatience<<(n-1)
}

// configBehind reports whether the directory may hold a newer configuration.
func (c *Controller) configBehind() bool { return c.transfer.knownTo < c.revision.Number }

// readAfter returns the revision after which an own read is to tell the changes: also those in
// which the configuration may have changed. A small result then shows that it has not.
func (c *Controller) readAfter() model.Revision {
	after := c.revision
	if c.transfer.knownTo > 0 && c.transfer.changedBy <= c.transfer.knownTo {
		after.Number = min(after.Number, c.transfer.knownTo)
	}
	return after
}

// noteConfig records what a read or a peer's reply says about the configuration, after its
// changes were applied.
func (c *Controller) noteConfig(now time.Time, r *control.DirectoryRead, from model.InstanceID) {
	t := &c.transfer
	knownBefore, changedBefore := t.knownTo, t.changedBy
	switch {
	case r.Separate != nil && r.Separate.Version > c.heldVersion():
		c.addOffer(from, r.Separate.Version)
	case r.Separate != nil:
		t.knownTo = max(t.knownTo, r.Separate.KnownTo)
	case from != "" || r.Full || r.After.Number <= t.knownTo:
		t.knownTo = max(t.knownTo, r.Revision)
	}
	switch {
	case r.Separate != nil && from != "":
		t.changedBy = max(t.changedBy, r.Separate.ChangedBy)
	case r.Separate != nil && !r.Full:
		t.changedBy = max(t.changedBy, r.Revision)
	}
	if t.knownTo != knownBefore || t.changedBy != changedBefore {
		c.publishConfigKnown()
	}
	if from == "" && r.Separate != nil && !t.reading {
		c.readOrAwaitConfig(now)
	}
	c.continueTransfer(now)
}

// readOrAwaitConfig reads a configuration that an own read left out, as this node may be the
// first to see its change. A node that has just started asks its peers first, which have it
// unless all have just started.
func (c *Controller) readOrAwaitConfig(now time.Time) {
	if c.config == nil && len(c.workers) > 1 {
		c.transfer.behindSince, c.transfer.nextDraw = now, now.Add(configDrawInterval)
		c.transfer.drawsCertain = true
		return
	}
	c.startConfigRead(now)
}

// continueTransfer requests a newer configuration from a peer that holds it. If none is known
// to, this node may be one of those that read it from the directory, or that read whether it
// has changed.
func (c *Controller) continueTransfer(now time.Time) {
	t := &c.transfer
	c.requestConfig(now)
	if !c.configBehind() {
		t.behindSince, t.drawsCertain = time.Time{}, false
		return
	}
	if t.behindSince.IsZero() {
		t.behindSince = now
	}
	certain := c.configChanged()
	if certain && !t.drawsCertain {
		t.drawsCertain, t.nextDraw = true, now
	}
	if t.reading || t.awaitsPeer(now) || now.Before(t.nextDraw) {
		return
	}
	t.nextDraw = now.Add(configDrawInterval)
	switch {
	case c.rng.IntN(max(1, c.estimateReaders(now)/configReaders)) > 0:
		return
	case certain:
		c.startConfigRead(now)
	case c.readsInProgress == 0:
		// The schedule of reads does not wait for this: a node that has just started confirms
		// the others' views by a read that cannot tell it.
		c.startRead(now, CauseConfig)
	}
}

// configChanged reports whether the directory holds a newer configuration, for certain or
// nearly so, or no read of changes can tell.
func (c *Controller) configChanged() bool {
	t := &c.transfer
	return t.changedBy > t.knownTo || t.knownTo == 0 || c.config == nil
}

func (c *Controller) startConfigRead(now time.Time) {
	c.transfer.reading = true
	c.transfer.nextDraw = now.Add(configDrawInterval)
	c.countRead(now, CauseConfig)
	c.emit(control.ReadConfig{})
}

// addOffer remembers that a peer holds a configuration.
func (c *Controller) addOffer(peer model.InstanceID, version uint64) {
	t := &c.transfer
	t.offers = slices.DeleteFunc(t.offers, func(o offer) bool { return o.peer == peer })
	t.offers = append(t.offers, offer{peer, version})
	if len(t.offers) > maxOffers {
		t.offers = t.offers[1:]
	}
}

// requestConfig requests the configuration of one of the peers that hold a newer one, unless one
// is awaited.
func (c *Controller) requestConfig(now time.Time) {
	t := &c.transfer
	t.offers = slices.DeleteFunc(t.offers, func(o offer) bool {
		_, listed := c.instance(o.peer)
		return o.version <= c.heldVersion() || !listed || slices.Contains(t.peers, o.peer)
	})
	if t.awaitsPeer(now) || len(t.offers) == 0 {
		return
	}
	peer := t.offers[c.rng.IntN(len(t.offers))].peer
	t.peers = append(t.peers, peer)
	t.requestedAt = now
	in, _ := c.instance(peer)
	c.emit(control.RequestPeerConfig{Peer: in})
}

// finishTransfer records the end of a transfer from a peer, or from the directory if from is
// empty.
func (c *Controller) finishTransfer(from model.InstanceID) {
	t := &c.transfer
	if from == "" {
		t.reading = false
		return
	}
	t.peers = slices.DeleteFunc(t.peers, func(peer model.InstanceID) bool { return peer == from })
	t.offers = slices.DeleteFunc(t.offers, func(o offer) bool { return o.peer == from })
}

// handleConfigReceived passes a newer configuration on and has it decoded.
func (c *Controller) handleConfigReceived(now time.Time, e control.ConfigReceived) {
	c.finishTransfer(e.From)
	sameEra := e.KnownTo.Era == c.revision.Era
	if sameEra {
		c.transfer.knownTo = max(c.transfer.knownTo, e.KnownTo.Number)
	}
	switch {
	case e.Raw != nil && e.Raw.Version > c.heldVersion():
		c.holdConfig(now, e)
	case sameEra:
		c.publishConfigKnown()
	}
	c.continueTransfer(now)
}

func (c *Controller) holdConfig(now time.Time, e control.ConfigReceived) {
	t := &c.transfer
	config := *e.Raw
	if e.KnownTo.Era != c.revision.Era {
		config.Revision = c.revision.Number
	}
	c.config = &config
	t.source = sourceName(e.From)
	if t.reading {
		t.reading = false
		c.emit(control.CancelConfigRead{})
	}
	c.publishForPeers()
	c.announceRevision(now)
	c.decodeConfig()
}

func (c *Controller) handleConfigFailed(now time.Time, e control.ConfigFailed) {
	c.finishTransfer(e.From)
	c.record(event.ConfigTransferFailed, sourceName(e.From), "", e.Err)
	// Earlier versions of nodes send their configuration only together with other changes.
	if in, ok := c.instance(e.From); ok && c.peers.mayRequest(now, e.From) {
		c.request(now, in)
	}
	c.continueTransfer(now)
}

// decodeConfig has the newest configuration decoded, unless one is being decoded.
func (c *Controller) decodeConfig() {
	if c.transfer.decoding {
		return
	}
	c.transfer.decoding = true
	c.emit(control.DecodeConfig{Raw: c.config})
}

// handleConfigDecoded puts a decoded configuration in force. If a newer one was received
// meanwhile, that is decoded next.
func (c *Controller) handleConfigDecoded(now time.Time, e control.ConfigDecoded) {
	c.transfer.decoding = false
	if e.Bundle == nil {
		c.refuseDecoded(e)
	} else {
		c.applyDecoded(now, e)
	}
	if c.configVersion() > max(e.Raw.Version, versionOf(c.decoded)) {
		c.decodeConfig()
	}
}

// applyDecoded puts a configuration in force unless a newer one came with other changes.
func (c *Controller) applyDecoded(now time.Time, e control.ConfigDecoded) {
	current := c.board.Bundles.Get().Bundle(e.Bundle.Name)
	if current != nil && current.Version >= e.Bundle.Version {
		return
	}
	c.decoded = e.Raw
	c.putInForce(now, e.Bundle, c.transfer.source)
}

// refuseDecoded records a configuration that was passed on and cannot be decoded here.
func (c *Controller) refuseDecoded(e control.ConfigDecoded) {
	if c.config != nil && c.config.Version == e.Raw.Version {
		c.config = c.decoded
	}
	c.recordRefused(e.Raw, e.Err, c.transfer.source)
	c.publishForPeers()
}

// sourceName names the origin of a read or a configuration in log lines.
func sourceName(from model.InstanceID) string {
	if from == "" {
		return "an own read"
	}
	return "peer " + string(from)
}
