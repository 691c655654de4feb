package route

import (
	"time"

	"gypsumstand/internal/model"
)

// unreachedMemory is how long an owner is left out after this node last failed to
// connect to it. Probes renew it several times a second; should they stop, a request
// tries the owner again after this time.
const unreachedMemory = 2 * time.Second

// Unreached leaves an owner out of Pick's choices for unreachedMemory, as this node
// cannot connect to it. It tells whether the owner is known at that address. Called
// by the reach controller only.
func (t *Table) Unreached(now time.Time, owner model.Instance) bool {
	p := t.picker.Load()
	u := p.byID[owner.ID]
	if u == nil || u.instance.PeerAddress != owner.PeerAddress {
		return false
	}
	u.cell.unreachedUntil.Store(p.nanos(now) + int64(unreachedMemory))
	return true
}

// Reached takes Unreached back: a connection could be had.
func (t *Table) Reached(_ time.Time, id model.InstanceID) {
	if u := t.picker.Load().byID[id]; u != nil {
		u.cell.unreachedUntil.Store(0)
	}
}

// HeardWithin tells whether a report of the owner's was heard in the last age.
func (t *Table) HeardWithin(now time.Time, id model.InstanceID, age time.Duration) bool {
	p := t.picker.Load()
	u := p.byID[id]
	if u == nil {
		return false
	}
	h := u.cell.heard.Load()
	return h != nil && h != retired && p.nanos(now)-h.at < int64(age)
}

// unreached tells whether no connection to the owner can be had.
func (c *cell) unreached(now int64) bool { return now < c.unreachedUntil.Load() }
