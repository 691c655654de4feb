package spread

import (
	"errors"
	"fmt"
	"gypsumstand/internal/packed"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// badPeerPause is how long a peer that sent a bad body is not asked.
const badPeerPause = 30 * time.Second

// platformSource names the configuration service in logs.
const platformSource = "configuration service"

// offered is a body as it came.
type offered struct {
	name model.BundleName
	raw  []byte
	// packed is the form that peers are sent; nil when it has yet to be made.
	packed []byte
	// peer is the sender; empty for the configuration service.
	peer model.InstanceID
	// late says that another source was faster, so that a newer version in force
	// is no sign of a stale source.
	late bool
}

func (o *offered) source() string {
	if o.peer == "" {
		return platformSource
	}
	return "peer " + string(o.peer)
}

// verdict is what became of an offered body.
type verdict uint8

const (
	accepted verdict = iota
	duplicate
	rejected
)

// take checks a body and puts it in force, or refuses it and keeps what is.
func (c *Controller) take(o *offered) verdict {
	got, err := c.open(string(o.name), o.raw)
	if err == nil && got.bundle.Name != o.name {
		err = &refusal{ReasonWrongName, fmt.Errorf("name %q: %w", got.bundle.Name, errWrongName)}
	}
	if err != nil {
		c.refuseBody(o, err)
		return rejected
	}
	old := c.held.items[o.name]
	switch {
	case old == nil || old.bundle.Version < got.bundle.Version:
		c.putInForce(o, got)
		return accepted
	case old.bundle.Version > got.bundle.Version && !o.late:
		c.refuseOlder(o, got.bundle.VersionID(), old.bundle.Version)
		return rejected
	case old.bundle.Version == got.bundle.Version && old.content != got.content:
		c.conflict(got.bundle.VersionID(), o.source())
		return rejected
	}
	c.counters.Duplicates++
	return duplicate
}

func (c *Controller) putInForce(o *offered, got opened) {
	if o.packed == nil {
		o.packed = c.packed(o.raw)
	}
	id := got.bundle.VersionID()
	it := &item{bundle: got.bundle, content: got.content, packed: o.packed, since: c.now}
	if !c.held.put(it) {
		c.record(event.BundleNotForwarded, id.String(), "", nil)
	}
	c.confirm.holds(c.held.digest)
	c.do(control.Record{Event: event.BundleInForce, Subject: id.String(), Detail: "from " + o.source()})
	c.announceVersion(id, o.peer)
	c.satisfy(id)
	c.dirty = true
}

// packed returns nil on a fault, so the bundle is in force but not passed on.
func (c *Controller) packed(raw []byte) []byte {
	out, err := packed.Pack(raw)
	if err != nil {
		return nil
	}
	return out
}

func (c *Controller) refuseBody(o *offered, err error) {
	reason := ReasonMalformed
	var r *refusal
	if errors.As(err, &r) {
		reason = r.reason
	}
	c.counters.Refused[reason]++
	subject := model.BundleVersion{Name: o.name, Version: c.wants.target(o.name)}
	c.record(event.BundleRefused, subject.String(), reason.String()+", from "+o.source(), err)
}

func (c *Controller) refuseOlder(o *offered, got model.BundleVersion, inForce uint64) {
	c.counters.Refused[ReasonOlder]++
	detail := fmt.Sprintf("%s offered it, version %d is in force", o.source(), inForce)
	c.record(event.BundleOlder, got.String(), detail, nil)
}

// conflict raises the alarm about two sign-offs of one version.
func (c *Controller) conflict(v model.BundleVersion, source string) {
	c.counters.Refused[ReasonConflict]++
	c.record(event.BundleConflict, v.String(), source+" holds other bytes; the first stays in force here", nil)
}
