package node

import (
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// attemptUnanswered handles an owner that did not reply to an attempt.
func (n *Node) attemptUnanswered(owner model.Instance, reason model.Reason) {
	if !n.calls.firstUnanswered(owner.ID) {
		return
	}
	n.hint(control.OwnerUnresponsive{
		Owner:           owner,
		NoConnection:    reason == model.ReasonWorkerUnreachable || reason == model.ReasonOwnerAbsent,
		NotAcknowledged: reason == model.ReasonNotAcknowledged,
	})
}

// probeReachability checks whether an owner's node responds.
func (n *Node) probeReachability(owner model.Instance) {
	err := n.forwarder.Probe(n.ctx, owner.PeerAddress)
	n.sink(control.ReachabilityProbed{Owner: owner, Err: err})
}

// unreachableOwners returns owners that this node cannot connect to, a rotating selection
// if there are too many for one message.
func (n *Node) unreachableOwners() []model.InstanceID {
	unreachable := n.core.Board.Unreachable.Get()
	if unreachable == nil {
		return nil
	}
	if len(*unreachable) <= wire.MaxUnreachable {
		return *unreachable
	}
	out := make([]model.InstanceID, wire.MaxUnreachable)
	first := int(n.unreachableOffset.Add(wire.MaxUnreachable) % uint64(len(*unreachable)))
	for i := range out {
		out[i] = (*unreachable)[(first+i)%len(*unreachable)]
	}
	return out
}

// ownersReportedUnreachable handles the owners that a peer cannot connect to.
func (n *Node) ownersReportedUnreachable(ids []model.InstanceID) {
	var fresh []model.InstanceID
	for _, id := range ids {
		if n.calls.firstUnreachable(id) {
			fresh = append(fresh, id)
		}
	}
	if len(fresh) > 0 {
		n.hint(control.OwnersReportedUnreachable{Owners: fresh})
	}
}
