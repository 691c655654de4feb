package core

import (
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
)

// derived identifies the snapshots that the derived state was built from.
type derived struct {
	fleet   uint64
	bundles uint64
}

// deriveIntervalPerInstance is the shortest time between two rebuilds of derived state, per
// known instance. A rebuild takes about 0.7 us an instance (docs/CAPACITY.md), so bursts of
// changes, such as the start of a data centre, use 1.4% of a core at most. Changes are
// delayed by up to half a second at 10,000 instances and not noticeably at 11.
const deriveIntervalPerInstance = 50 * time.Microsecond

// minDeriveInterval returns the shortest time between two rebuilds for a fleet.
func minDeriveInterval(fleet *model.Fleet) time.Duration {
	return time.Duration(len(fleet.Instances)) * deriveIntervalPerInstance
}

// derive rebuilds the state that depends on changed sections, now or at a later event.
func (n *Node) derive(now time.Time) []owner.Decision {
	seen := derived{fleet: n.Board.Fleet.Changes(), bundles: n.Board.Bundles.Changes()}
	if seen == n.derived {
		return nil
	}
	fleet, set := n.Board.Fleet.Get(), n.Board.Bundles.Get()
	if now.Before(n.derivedAt.Add(minDeriveInterval(fleet))) {
		return nil
	}
	n.derived = seen
	n.derivedAt = now
	n.Table.Update(now, fleet, set)
	self := n.ownListing(fleet)
	if self.Worker != "" {
		n.lastWorker.Store(&self.Worker)
	}
	ds := n.applyIncarnation(now, self.WorkerIncarnation())
	n.Owner.SetWorker(now, self.Worker)
	n.Owner.SetWithdrawn(now, self.State == model.StateLeaving)
	n.Owner.SetEvacuated(now, fleet.IsEvacuated(n.cfg.Self.DataCentre))
	if n.directory != nil {
		n.Owner.SetUnlisted(now, n.workerUnlisted())
	}
	n.Engine.SetEntryNodes(n.member.FleetSize())
	svc, b := set.Service(n.cfg.Self.Service)
	if svc == nil {
		return ds
	}
	n.OwnerLimiter.Configure(now, b.Measuring)
	return append(ds, n.Owner.Configure(now, b, withSlots(svc, self.Slots), liveUpstreams(fleet, n.cfg.Self.Service))...)
}

// workerUnlisted reports whether the directory lists no worker that this node may use: none
// on this node, or one that is no longer there. While the directory is unavailable the
// present worker may belong to another service, so nothing is sent to it.
func (n *Node) workerUnlisted() bool {
	listed, known := n.directory.Listed()
	if !known {
		return false
	}
	return !listed || n.workerReplaced()
}

// workerReplaced reports whether this node's worker gives another ID than the listed one.
func (n *Node) workerReplaced() bool {
	listed := n.Worker()
	return listed != "" && n.reportedWorker != "" && n.reportedWorker != listed
}

// applyReportedWorker updates the owner with the ID that its worker gives for itself: until
// the directory lists a new worker, attempts that name the old one would only be refused.
func (n *Node) applyReportedWorker(now time.Time) []control.Action {
	if n.directory == nil {
		return nil
	}
	n.Owner.SetUnlisted(now, n.workerUnlisted())
	if !n.workerReplaced() {
		return nil
	}
	return []control.Action{control.Record{
		Event: event.WorkerReplaced, Subject: string(n.reportedWorker), Detail: "listed: " + string(n.Worker()),
	}}
}

// applyIncarnation notifies the owner when another incarnation of its worker is listed. A
// worker that is unlisted for a while may come back as the same incarnation.
func (n *Node) applyIncarnation(now time.Time, incarnation model.WorkerIncarnation) []owner.Decision {
	before := n.incarnation
	if incarnation == (model.WorkerIncarnation{}) || incarnation == before {
		return nil
	}
	n.incarnation = incarnation
	// The reported ID belongs to the previous incarnation or equals the listed one.
	n.reportedWorker = ""
	if before == (model.WorkerIncarnation{}) {
		return nil
	}
	n.noteWorkerChange(now, true)
	return n.Owner.WorkerRestarted(now)
}

// noteWorkerChange records a crash if this node's worker has changed. A worker that left as
// planned did not crash under its requests.
func (n *Node) noteWorkerChange(now time.Time, changed bool) {
	if changed && !n.Owner.Draining() {
		n.Quarantine.WorkerCrashed(now)
	}
}

// withSlots returns svc with the number of slots that a worker announces for itself.
func withSlots(svc *bundle.Service, slots int) *bundle.Service {
	if slots <= 0 {
		return svc
	}
	own := *svc
	own.Slots = slots
	return &own
}

// Worker returns the ID of this node's worker in the fleet's view, or the last one if none is
// listed: an attempt that was admitted for it must not run at another worker that has been
// given its address. It is empty if none was ever listed. It is safe for concurrent use.
func (n *Node) Worker() model.WorkerID {
	if self := n.ownListing(n.Board.Fleet.Get()); self.Worker != "" {
		return self.Worker
	}
	if last := n.lastWorker.Load(); last != nil {
		return *last
	}
	return ""
}

// ownListing returns this node's instance in a view of the fleet; zero if it is not there, or
// with a worker of another service.
func (n *Node) ownListing(fleet *model.Fleet) model.Instance {
	self, _ := fleet.InstanceOf(n.cfg.Self.ID, n.cfg.Self.Service)
	return self
}

// liveUpstreams counts the instances of a service that are not leaving, at least 1.
func liveUpstreams(fleet *model.Fleet, service model.ServiceName) int {
	count := 0
	for i := range fleet.Instances {
		if in := &fleet.Instances[i]; in.Service == service && in.State < model.StateLeaving {
			count++
		}
	}
	return max(count, 1)
}
