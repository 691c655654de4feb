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
	// suspectsPath is where a node takes what a peer tells of requests under which workers
	// end.
	suspectsPath = "/v1/suspects"
	// tellTimeout bounds telling a peer: some times the longest way between two regions
	// (70 ms and back). An open connection may be silent for good; the next round opens
	// another.
	tellTimeout = 500 * time.Millisecond
)

// tellSuspects tells a peer, over the connections that calls use, and once more when its
// answer shows that it lacks something. What does not arrive is told by a later round, and
// others are told in the peer's place.
func (n *Node) tellSuspects(a control.SendSuspectUpdate) {
	reply, err := n.postSuspects(a.To, a.Update)
	if err != nil {
		n.untold(a)
		return
	}
	more, differ := n.core.Quarantine.HandleReply(time.Now(), reply)
	if !differ {
		return
	}
	if _, err := n.postSuspects(a.To, more); err != nil {
		n.untold(a)
	}
}

func (n *Node) untold(a control.SendSuspectUpdate) {
	n.tellsFailed.Add(1)
	n.core.Quarantine.SendFailed(time.Now(), a)
}

func (n *Node) postSuspects(to model.Instance, news wire.SuspectUpdate) (wire.SuspectUpdate, error) {
	data, err := wire.EncodeSuspects(&news)
	if err != nil {
		return wire.SuspectUpdate{}, err
	}
	ctx, cancel := context.WithTimeout(n.ctx, tellTimeout)
	defer cancel()
	answer, err := n.forwarder.Post(ctx, to.PeerAddress, suspectsPath, data, wire.MaxSuspectBytes)
	if err != nil {
		return wire.SuspectUpdate{}, err
	}
	return wire.DecodeSuspects(answer)
}

// serveSuspects takes a peer's news and answers with what the peer lacks.
func (n *Node) serveSuspects(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxSuspectBytes+1))
	if err != nil {
		// The peer has gone; it tells again.
		return
	}
	news, err := wire.DecodeSuspects(data)
	if err != nil {
		event.Log(&n.log, event.SuspectsMalformed).Str("subject", r.RemoteAddr).Err(err).Send()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := n.core.Quarantine.HandleUpdate(time.Now(), news)
	data, err = wire.EncodeSuspects(&reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A peer that is gone asks again.
	_, _ = w.Write(data)
}
