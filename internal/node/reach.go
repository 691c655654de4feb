package node

import (
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// unanswered is told each owner that gave an attempt no answer.
func (n *Node) unanswered(owner model.Instance, reason model.Reason) {
	if !n.calls.firstUnanswered(owner.ID) {
		return
	}
	n.hint(control.OwnerUnresponsive{
		Owner:           owner,
		NoConnection:    reason == model.ReasonWorkerUnreachable || reason == model.ReasonOwnerAbsent,
		NotAcknowledged: reason == model.ReasonNotAcknowledged,
	})
}

// probeReach finds out whether an owner's node answers.
func (n *Node) probeReach(owner model.Instance) {
	err := n.forwarder.Probe(n.ctx, owner.PeerAddress)
	n.sink(control.ReachabilityProbed{Owner: owner, Err: err})
}

// tellLost returns some of the owners that this node cannot connect to, in turn.
func (n *Node) tellLost() []model.InstanceID {
	lost := n.core.Board.Unreachable.Get()
	if lost == nil {
		return nil
	}
	if len(*lost) <= wire.MaxUnreachable {
		return *lost
	}
	out := make([]model.InstanceID, wire.MaxUnreachable)
	first := int(n.lostTold.Add(wire.MaxUnreachable) % uint64(len(*lost)))
	for i := range out {
		out[i] = (*lost)[(first+i)%len(*lost)]
	}
	return out
}

// heardLost is told the owners that a peer cannot connect to.
func (n *Node) heardLost(ids []model.InstanceID) {
	var fresh []model.InstanceID
	for _, id := range ids {
		if n.calls.firstLost(id) {
			fresh = append(fresh, id)
		}
	}
	if len(fresh) > 0 {
		n.hint(control.OwnersReportedUnreachable{Owners: fresh})
	}
}
