package core

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/wire"
)

// Probes go where traffic left an estimate too old.
const (
	// defaultProbeAge is the age of a report beyond which its owner is probed.
	defaultProbeAge = 2 * time.Second
	// probesPerTick bounds the probes of one tick.
	probesPerTick = 16
)

// probe asks the owners of which this node has heard nothing for long, of
// services that it calls, within the measuring budget of their bundles. Services
// that it does not call are not worth a message: their first call learns.
func (n *Node) probe(now time.Time, ev control.Event, out *Output) {
	if _, tick := ev.(control.Tick); !tick {
		return
	}
	age := n.cfg.ProbeAge
	if age == 0 {
		age = defaultProbeAge
	}
	set := n.Board.Bundles.Get()
	nodes := n.member.FleetSize()
	for _, to := range n.Table.StaleUpstreams(now, age, probesPerTick) {
		_, b := set.Service(to.Service)
		if b == nil || to.ID == n.cfg.Self.ID || !n.Table.CalledRecently(now, to.Service) {
			continue
		}
		if n.EntryLimiter.Allow(now, to.ID, b.Measuring, nodes) {
			out.Actions = append(out.Actions, control.SendDirect{To: to, Message: wire.LoadProbe{}})
		}
	}
}
