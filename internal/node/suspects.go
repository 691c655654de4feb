package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// suspectsPath is where a node receives peers' updates on suspect requests.
	suspectsPath = "/v1/suspects"
	// suspectTimeout bounds sending an update to a peer: several times the longest round
	// trip between two regions (70 ms). An open connection may be dead; the next round
	// opens another.
	suspectTimeout = 500 * time.Millisecond
)

// sendSuspects sends an update to a peer over the connections that calls use, and a
// second one if the reply shows that the peer is missing something. A failed update is
// sent again by a later round, and to other peers instead.
func (n *Node) sendSuspects(a control.SendSuspectUpdate) {
	reply, err := n.postSuspects(a.To, a.Update)
	if err != nil {
		n.updateFailed(a)
		return
	}
	more, differ := n.core.Quarantine.HandleReply(time.Now(), reply)
	if !differ {
		return
	}
	if _, err := n.postSuspects(a.To, more); err != nil {
		n.updateFailed(a)
	}
}

func (n *Node) updateFailed(a control.SendSuspectUpdate) {
	n.suspectUpdatesFailed.Add(1)
	n.core.Quarantine.SendFailed(time.Now(), a)
}

func (n *Node) postSuspects(to model.Instance, update wire.SuspectUpdate) (wire.SuspectUpdate, error) {
	data, err := wire.EncodeSuspects(&update)
	if err != nil {
		return wire.SuspectUpdate{}, err
	}
	ctx, cancel := context.WithTimeout(n.ctx, suspectTimeout)
	defer cancel()
	reply, err := n.forwarder.Post(ctx, to.PeerAddress, suspectsPath, data, wire.MaxSuspectBytes)
	if err != nil {
		return wire.SuspectUpdate{}, err
	}
	return wire.DecodeSuspects(reply)
}

// serveSuspects handles a peer's update and responds with what the peer is missing.
func (n *Node) serveSuspects(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxSuspectBytes+1))
	if err != nil {
		// The peer has gone; it will send the update again.
		return
	}
	update, err := wire.DecodeSuspects(data)
	if err != nil {
		event.Log(&n.log, event.SuspectsMalformed).Str("subject", r.RemoteAddr).Err(err).Send()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := n.core.Quarantine.HandleUpdate(time.Now(), update)
	data, err = wire.EncodeSuspects(&reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A peer that has gone will ask again.
	_, _ = w.Write(data)
}
