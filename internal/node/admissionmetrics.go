package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// admission exports the admission of classes where a bundle asks for it.
func (c collector) admission(ch chan<- prometheus.Metric, now time.Time) {
	for _, s := range c.node.core.Engine.AdmissionStates(now) {
		gauge(ch, descAdmittedShare, s.Admitted, string(s.Service), string(s.Class))
		gauge(ch, descServedShare, s.Served, string(s.Service), string(s.Class))
	}
	counter(ch, descMalformedOutcomes, c.node.core.Engine.MalformedOutcomes())
	for _, o := range c.node.core.Owner.Report(now).ClassOutcomes {
		gauge(ch, descOwnerServed, o.ServedShare(), string(o.Class))
	}
}
