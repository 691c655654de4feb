package route

import (
	"time"

	"gypsumstand/internal/model"
)

// unreachedMemory is how long an owner is left out after this node last failed to
// connect to it. Probes renew it several times a second; should they stop, a request
// tries the owner again after this time.
const unreachedMemory = 2 * time.Second

// Unreachable leaves an owner out of Pick's choices for unreachedMemory, as this node
// cannot connect to it. It tells whether the owner is known at that address. Called
// by the reach controller only.
func (t *Table) MarkUnreachable(now time.Time, owner model.Instance) bool {
	p := t.picker.Load()
	u := p.byID[owner.ID]
	if u == nil || u.instance.PeerAddress != owner.PeerAddress {
		return false
	}
	u.cell.unreachedUntil.Store(p.nanos(now) + int64(unreachedMemory))
	return true
}

// MarkReachable takes Unreached back: a connection could be had.
func (t *Table) MarkReachable(id model.InstanceID) {
	if u := t.picker.Load().byID[id]; u != nil {
		u.cell.unreachedUntil.Store(0)
	}
}

// ReportedWithin tells whether a report of the owner's was heard in the last age.
func (t *Table) ReportedWithin(now time.Time, id model.InstanceID, age time.Duration) bool {
	p := t.picker.Load()
	u := p.byID[id]
	if u == nil {
		return false
	}
	h := u.cell.heard.Load()
	return h != nil && h != retired && p.nanos(now)-h.at < int64(age)
}

// Owner returns the owner of an upstream that may be chosen.
func (t *Table) Owner(id model.InstanceID) (owner model.Instance, ok bool) {
	u := t.picker.Load().byID[id]
	if u == nil || u.instance.State >= model.StateLeaving {
		return model.Instance{}, false
	}
	return u.instance, true
}

// SilentOwners returns the owners with attempts of this node of which nothing was heard for
// age, nor for twice the time in which an answer was expected. It looks at the
// services called in the last ten seconds.
func (t *Table) SilentOwners(now time.Time, age time.Duration) []model.Instance {
	p := t.picker.Load()
	nanos := p.nanos(now)
	var out []model.Instance
	for _, svc := range p.services {
		if last := svc.stats.lastCalled.Load(); last == 0 || nanos-last >= recentCall {
			continue
		}
		for _, u := range svc.all {
			if t.silent(u, nanos, age) {
				out = append(out, u.instance)
			}
		}
	}
	return out
}

// overdue is how many times the expected latency an owner must be silent for Silent.
const overdue = 2

func (t *Table) silent(u *upstream, now int64, age time.Duration) bool {
	if u.cell.inFlight.Load() == 0 || u.cell.unreached(now) {
		return false
	}
	quiet := now - u.cell.silentSince.Load()
	if quiet < int64(age) {
		return false
	}
	e := t.estimate(u, now, 0, 0)
	return float64(quiet) >= overdue*(e.latency()-e.silence)
}

// unreached tells whether no connection to the owner can be had.
func (c *cell) unreached(now int64) bool { return now < c.unreachedUntil.Load() }
