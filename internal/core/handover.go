package core

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/handover"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

const (
	// handoverLimit bounds a handover: fifteen transmissions of a message, so that less than
	// 2% of messages are lost on a link that loses half in each direction.
	handoverLimit = 3 * time.Second
	// workerHandoverLimit is the bound if the worker itself leaves, as its requests are
	// refused meanwhile.
	workerHandoverLimit = time.Second
	// sealBeforeEnd is how long before its end a handover that is not acknowledged stops the
	// registration of ids, so that the last ones can be sent and acknowledged. A shorter
	// handover reserves half of its time.
	sealBeforeEnd = 500 * time.Millisecond
)

// leave is a handover of request ids in progress, during which no other node may learn that
// this one leaves.
type leave struct {
	transfer *handover.Transfer
	// delayed is the event that is handled when the handover ends, at until at the latest.
	delayed control.SelfStateChanged
	until   time.Time
	// sealAt is when the registration of ids ends at the latest.
	sealAt time.Time
	sealed bool
	// now is the time of the current event.
	now time.Time
}

// HandoverCounters counts the records of request ids that this node handed over.
type HandoverCounters struct {
	// Acknowledged by their next home node.
	Acknowledged atomic.Uint64
	// Unacknowledged by their next home node when the handover ended.
	Unacknowledged atomic.Uint64
}

// beginLeave begins to leave. It returns true if the event is handled when the handover of
// request ids has ended, and false if there is nothing to hand over.
func (n *Node) beginLeave(now time.Time, e control.SelfStateChanged, out *Output) (delayed bool) {
	if n.leave != nil {
		return true
	}
	limit := workerHandoverLimit
	if !e.HandoverUntil.IsZero() {
		limit = min(handoverLimit, e.HandoverUntil.Sub(now))
	}
	records := n.Owner.BeginKeyTransfer(now, !e.HandoverUntil.IsZero())
	l := &leave{delayed: e, until: now.Add(limit), sealAt: now.Add(limit - min(sealBeforeEnd, limit/2)), now: now}
	l.transfer = handover.New(handover.Config{
		NextHome: func(r *wire.KeyRecord, skipped []model.InstanceID) (model.Instance, bool) {
			return n.nextHome(l.now, r, skipped)
		},
		Serving:     func(id model.InstanceID) bool { return n.Table.IsHome(l.now, n.cfg.Self.Service, id) },
		Self:        n.cfg.Self.ID,
		FirstNumber: uint64(max(now.UnixMicro(), 1)),
	})
	n.leave = l
	l.transfer.Add(records)
	return !n.stepLeave(now, out)
}

// stepLeave continues the handover; it returns true when it has ended and this node's state
// may change.
func (n *Node) stepLeave(now time.Time, out *Output) (ended bool) {
	l := n.leave
	l.now = now
	n.sealKeys(now)
	l.transfer.Add(n.Owner.ChangedKeys(now))
	for _, m := range l.transfer.Step(now) {
		out.Actions = append(out.Actions, control.SendDirect{To: m.To, Message: m.Body})
	}
	if !now.Before(l.until) || l.sealed && l.transfer.Done() {
		n.endLeave(now, out)
		return true
	}
	return false
}

// sealKeys ends the registration of ids when all records that were sent have been acknowledged
// and few have changed since, or when the time is nearly over.
func (n *Node) sealKeys(now time.Time) {
	l := n.leave
	nearlyDone := l.transfer.Done() && n.Owner.KeyChanges() <= wire.MaxHandoverKeys
	if !l.sealed && (nearlyDone || !now.Before(l.sealAt)) {
		l.sealed = true
		n.Owner.SealKeys()
	}
}

// endLeave ends the handover: from then on this node tells others that it leaves.
func (n *Node) endLeave(now time.Time, out *Output) {
	result := n.leave.transfer.Result()
	lost := result.HeldLater + result.Missing
	n.Handover.Acknowledged.Add(uint64(result.Acknowledged))
	n.Handover.Unacknowledged.Add(uint64(lost))
	if lost > 0 {
		out.Actions = append(out.Actions, control.Record{
			Event: event.RequestIDsNotHandedOver, Subject: strconv.Itoa(lost),
			Detail: fmt.Sprintf("acknowledged %d, held by a later home node only %d, missing %d", result.Acknowledged, result.HeldLater, result.Missing),
		})
	}
	n.leave = nil
	out.Decisions = append(out.Decisions, n.setState(now, model.StateLeaving)...)
	n.Owner.EndKeyTransfer()
}

// continueLeave continues a handover at each event. When it has ended, it handles the event
// that was delayed.
func (n *Node) continueLeave(now time.Time, out *Output) {
	if n.leave == nil {
		return
	}
	delayed := n.leave.delayed
	if !n.stepLeave(now, out) {
		return
	}
	rest := n.handle(now, delayed)
	out.Actions = append(out.Actions, rest.Actions...)
	out.Decisions = append(out.Decisions, rest.Decisions...)
}

// importKeys stores the records of a home node that leaves, and acknowledges them.
func (n *Node) importKeys(now time.Time, from model.InstanceID, m wire.KeyHandover) []control.Action {
	leaving := n.leave != nil || n.Board.Self.Get().Instance.State >= model.StateLeaving
	dropped := n.Owner.ImportKeys(now, from, m)
	if n.leave != nil {
		// Records of a node that leaves as well must not be sent back to it.
		n.leave.transfer.Skip(from)
	}
	if m.Number == 0 {
		return nil
	}
	return []control.Action{control.Send{To: from, Message: wire.KeyHandoverAck{Number: m.Number, Leaving: leaving, Dropped: dropped}}}
}

// handoverAcknowledged handles an acknowledgement of records; a late one is ignored.
func (n *Node) handoverAcknowledged(now time.Time, from model.InstanceID, ack wire.KeyHandoverAck) {
	if n.leave != nil {
		n.leave.transfer.Acknowledge(now, from, ack)
	}
}

// nextHome returns the home node of a record's request id without the given instances.
func (n *Node) nextHome(now time.Time, r *wire.KeyRecord, skipped []model.InstanceID) (model.Instance, bool) {
	q := route.Query{Service: n.cfg.Self.Service, Regions: r.Regions}
	home, ok := n.Table.NextHome(now, &q, r.Request, skipped)
	return home.Instance, ok
}

// forwardResult forwards a KeyResult received by a leaving home node to the next one. During
// the handover the changed record is sent instead.
func (n *Node) forwardResult(now time.Time, r wire.KeyResult) []control.Action {
	if n.Board.Self.Get().Instance.State != model.StateLeaving {
		return nil
	}
	home, ok := n.nextHome(now, &wire.KeyRecord{Request: r.Request, Regions: r.Regions}, []model.InstanceID{n.cfg.Self.ID})
	if !ok {
		return nil
	}
	return []control.Action{control.SendDirect{To: home, Message: r}}
}
