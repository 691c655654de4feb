package spread

import (
	"errors"
	"fmt"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/packed"
)

// badPeerPeriod is how long no body is requested from a peer that sent a bad one.
const badPeerPeriod = 30 * time.Second

// configSource names the configuration service in logs.
const configSource = "configuration service"

// receivedBody is a bundle body that has not been checked yet.
type receivedBody struct {
	name model.BundleName
	raw  []byte
	// packed is the form that is sent to peers; nil until it is made.
	packed []byte
	// peer is the sender; empty for the configuration service.
	peer model.InstanceID
	// superseded reports whether another source delivered first. A newer version in force
	// then does not indicate that this source is stale.
	superseded bool
}

func (b *receivedBody) source() string {
	if b.peer == "" {
		return configSource
	}
	return "peer " + string(b.peer)
}

// acceptResult is the outcome of checking a received body.
type acceptResult uint8

const (
	accepted acceptResult = iota
	duplicate
	rejected
)

// acceptOrRefuse checks a body and either puts it in force or refuses it.
func (c *Controller) acceptOrRefuse(body *receivedBody) acceptResult {
	got, err := c.checkBody(string(body.name), body.raw)
	if err == nil && got.bundle.Name != body.name {
		err = &refusal{ReasonWrongName, fmt.Errorf("name %q: %w", got.bundle.Name, errWrongName)}
	}
	if err != nil {
		c.recordRefusal(body, err)
		return rejected
	}
	old := c.inForce.items[body.name]
	switch {
	case old == nil || old.bundle.Version < got.bundle.Version:
		c.putInForce(body, got)
		return accepted
	case old.bundle.Version > got.bundle.Version && !body.superseded:
		c.recordOlder(body, got.bundle.VersionID(), old.bundle.Version)
		return rejected
	case old.bundle.Version == got.bundle.Version && old.content != got.content:
		c.recordConflict(got.bundle.VersionID(), body.source())
		return rejected
	}
	c.counters.Duplicates++
	return duplicate
}

func (c *Controller) putInForce(body *receivedBody, got checkedBundle) {
	if body.packed == nil {
		body.packed = c.packOrNil(body.raw)
	}
	id := got.bundle.VersionID()
	it := &item{bundle: got.bundle, content: got.content, packed: body.packed, since: c.now}
	if !c.inForce.put(it) {
		c.record(event.BundleNotForwarded, id.String(), "", nil)
	}
	c.confirmation.setDigest(c.inForce.digest)
	c.emit(control.Record{Event: event.BundleInForce, Subject: id.String(), Detail: "from " + body.source()})
	c.announceVersion(id, body.peer)
	c.completeFetch(id)
	c.dirty = true
}

// packOrNil returns nil if packing fails; the bundle is then in force but not forwarded.
func (c *Controller) packOrNil(raw []byte) []byte {
	out, err := packed.Pack(raw)
	if err != nil {
		return nil
	}
	return out
}

func (c *Controller) recordRefusal(body *receivedBody, err error) {
	reason := ReasonMalformed
	var r *refusal
	if errors.As(err, &r) {
		reason = r.reason
	}
	c.counters.Refused[reason]++
	subject := model.BundleVersion{Name: body.name, Version: c.fetches.target(body.name)}
	c.record(event.BundleRefused, subject.String(), reason.String()+", from "+body.source(), err)
}

func (c *Controller) recordOlder(body *receivedBody, got model.BundleVersion, inForce uint64) {
	c.counters.Refused[ReasonOlder]++
	detail := fmt.Sprintf("received from %s, but version %d is in force", body.source(), inForce)
	c.record(event.BundleOlder, got.String(), detail, nil)
}

// recordConflict raises the alert about two different bundles signed under one version.
func (c *Controller) recordConflict(v model.BundleVersion, source string) {
	c.counters.Refused[ReasonConflict]++
	c.record(event.BundleConflict, v.String(), source+" has different content; the version received first stays in force", nil)
}
