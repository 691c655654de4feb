package core

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

// handOverKeys sends the records of callers' request ids to their next home nodes when this
// node begins to leave, so that a planned stop loses none. It runs before membership
// announces that the node is leaving.
func (n *Node) handOverKeys(now time.Time) []control.Action {
	var batches []*handoverBatch
	byHome := map[model.InstanceID]*handoverBatch{}
	for _, rec := range n.Owner.ExportKeys(now) {
		home, ok := n.nextHome(now, rec.Request, rec.Regions)
		if !ok {
			continue
		}
		b := byHome[home.ID]
		if b == nil || len(b.keys) == wire.MaxHandoverKeys {
			b = &handoverBatch{to: home}
			byHome[home.ID] = b
			batches = append(batches, b)
		}
		b.keys = append(b.keys, rec)
	}
	out := make([]control.Action, len(batches))
	for i, b := range batches {
		out[i] = control.SendDirect{To: b.to, Message: wire.KeyHandover{Keys: b.keys}}
	}
	return out
}

// handoverBatch is one message of a handover.
type handoverBatch struct {
	to   model.Instance
	keys []wire.KeyRecord
}

// nextHome returns the home node of a request id once this node has left.
func (n *Node) nextHome(now time.Time, id model.RequestID, regions model.Regions) (model.Instance, bool) {
	self := []model.InstanceID{n.cfg.Self.ID}
	home, ok := n.Table.NextHome(now, &route.Query{Service: n.cfg.Self.Service, Regions: regions}, id, self)
	return home.Instance, ok
}

// forwardResult forwards a KeyResult received by a leaving home node to the next one.
func (n *Node) forwardResult(now time.Time, r wire.KeyResult) []control.Action {
	if n.Board.Self.Get().Instance.State != model.StateLeaving {
		return nil
	}
	home, ok := n.nextHome(now, r.Request, r.Regions)
	if !ok {
		return nil
	}
	return []control.Action{control.SendDirect{To: home, Message: r}}
}
