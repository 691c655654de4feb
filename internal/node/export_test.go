package node

import (
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// Start runs f as the node runs its own parts.
func (n *Node) Start(f func()) { n.start(f) }

// FailPort makes a port's listener fail as it does when its socket is lost.
func (n *Node) FailPort(name string) {
	switch name {
	case "caller":
		n.ports.caller.Close()
	case "peer":
		n.ports.peer.Close()
	case "operator":
		n.ports.operator.Close()
	}
}

// See tells the node of a version that a call carried.
func (n *Node) See(v model.BundleVersion) { n.seen("peer", v) }

// FillQueue fills the queue of the core's events.
func (n *Node) FillQueue() {
	for {
		select {
		case n.events <- control.Tick{}:
		default:
			return
		}
	}
}
