package route

import (
	"time"

	"gypsumstand/internal/model"
)

// unreachableTTL is how long an owner is excluded after this node last failed to connect to
// it. Probes renew it several times a second; if they stop, a request tries the owner after
// this time.
const unreachableTTL = 2 * time.Second

// MarkUnreachable excludes an owner from choices for unreachableTTL, as this node cannot
// connect to it. It reports whether the owner is known at that address. Only the reach
// controller calls it.
func (t *Table) MarkUnreachable(now time.Time, owner model.Instance) bool {
	p := t.picker.Load()
	u := p.byID[owner.ID]
	if u == nil || u.instance.PeerAddress != owner.PeerAddress {
		return false
	}
	u.cell.unreachableUntil.Store(p.nanos(now) + int64(unreachableTTL))
	return true
}

// MarkReachable revokes MarkUnreachable, as a connection succeeded.
func (t *Table) MarkReachable(id model.InstanceID) {
	if u := t.picker.Load().byID[id]; u != nil {
		u.cell.unreachableUntil.Store(0)
	}
}

// ReportedWithin reports whether a report of the owner was received within the last age.
func (t *Table) ReportedWithin(now time.Time, id model.InstanceID, age time.Duration) bool {
	p := t.picker.Load()
	u := p.byID[id]
	if u == nil {
		return false
	}
	last := u.cell.lastReport.Load()
	return last != nil && last != retiredReport && p.nanos(now)-last.receivedAt < int64(age)
}

// Owner returns an instance of the fleet; ok is false if it is unknown or leaving.
func (t *Table) Owner(id model.InstanceID) (owner model.Instance, ok bool) {
	u := t.picker.Load().byID[id]
	if u == nil || u.instance.State >= model.StateLeaving {
		return model.Instance{}, false
	}
	return u.instance, true
}

// SilentOwners returns the owners with attempts of this node in flight that have been
// silent (see cell.silentSince) for age and for silentFactor times the expected latency. It
// covers the services called within recentCallAge.
func (t *Table) SilentOwners(now time.Time, age time.Duration) []model.Instance {
	p := t.picker.Load()
	nanos := p.nanos(now)
	var out []model.Instance
	for _, svc := range p.services {
		if last := svc.stats.lastCalled.Load(); last == 0 || nanos-last >= recentCallAge {
			continue
		}
		for _, u := range svc.all {
			if t.isSilent(u, nanos, age) {
				out = append(out, u.instance)
			}
		}
	}
	return out
}

// silentFactor is how many times the expected latency an owner must be silent for
// SilentOwners.
const silentFactor = 2

func (t *Table) isSilent(u *upstream, now int64, age time.Duration) bool {
	if u.cell.inFlight.Load() == 0 || u.cell.isUnreachable(now) {
		return false
	}
	silence := now - u.cell.silentSince.Load()
	if silence < int64(age) {
		return false
	}
	e := t.estimate(u, now, 0, 0)
	return float64(silence) >= silentFactor*(e.latency()-e.overdue)
}

// isUnreachable reports whether the owner counts as unreachable.
func (c *cell) isUnreachable(now int64) bool { return now < c.unreachableUntil.Load() }
