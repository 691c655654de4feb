package core

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/wire"
)

// Limits of the probes of owners whose load estimates traffic does not keep fresh.
const (
	// defaultProbeAge is the age of a load report beyond which its owner is probed.
	defaultProbeAge = 2 * time.Second
	// probesPerTick bounds the probes sent in one tick.
	probesPerTick = 16
)

// probe probes owners without a recent report, limited by the measuring budget of their
// bundles. Services that this node does not call are not probed, since the response to the
// first call carries a report.
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
