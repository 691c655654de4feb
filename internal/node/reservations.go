package node

import (
	"gypsumstand/internal/model"
	"gypsumstand/internal/server"
)

// reservationRecorder records reservations in the metrics. The class comes from another node;
// one that no bundle in force names is recorded as empty, so that the number of series stays
// bounded.
type reservationRecorder struct{ n *Node }

// Reservation implements server.ReservationRecorder.
func (r reservationRecorder) Reservation(record server.ReservationRecord) {
	if !r.n.knowsClass(record.Class) {
		record.Class = ""
	}
	r.n.metrics.Reservation(record)
}

// knowsClass reports whether the bundle that governs this node's service names the class.
func (n *Node) knowsClass(name model.ClassName) bool {
	_, b := n.core.Board.Bundles.Get().Service(n.cfg.Service)
	return b != nil && b.Class(name) != nil
}
