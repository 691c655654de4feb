package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/directory"
	"gypsumstand/internal/model"
	"gypsumstand/internal/spread"
	"gypsumstand/internal/task"
)

// collector exports the node's blackboard and counters to Prometheus, read at each
// scrape.
type collector struct{ node *Node }

var _ prometheus.Collector = collector{}

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("gypsum_"+name, help, labels, nil)
}

var (
	descReady                = describe("ready", "1 when the node serves callers.")
	descBundle               = describe("bundle_version", "Version in force.", "bundle")
	descInstances            = describe("instances", "Known instances by service and state.", "service", "state")
	descSourceAge            = describe("source_age_seconds", "Time since the source was last confirmed, by this node or a peer; absent when never.", "source")
	descReads                = describe("platform_reads_total", "This node's own reads of the platform.", "source")
	descViewStatus           = describe("directory_lag", "1 for the reason why the view of the directory is late, or in-time.", "reason")
	descBehind               = describe("directory_revisions_behind", "Revisions of the directory that were heard of and are not known.")
	descDirectoryReads       = describe("directory_readings_total", "This node's own readings of the directory, by cause.", "cause")
	descConfigCopies         = describe("directory_configuration_copies_total", "Copies of the directory's configuration received, and sent to peers.", "direction")
	descLimit                = describe("owner_limit", "Requests that the owner runs at once now.")
	descInFlight             = describe("owner_in_flight", "Requests at the worker.")
	descQueued               = describe("owner_queued", "Requests that wait at the owner.")
	descRateLimit            = describe("owner_rate_limit_per_second", "Requests a second that the worker says it takes; absent while it names no limit.")
	descBodiesInTransit      = describe("bodies_in_transit", "Large request bodies that the owner has let entries send and that have not arrived.")
	descBodiesWaiting        = describe("body_reservations_waiting", "Reservations of large bodies that wait at the owner.")
	descBodyMemory           = describe("body_memory_bytes", "Bytes of large request bodies in transit or in memory.")
	descBodiesExpired        = describe("body_reservations_expired_total", "Granted reservations whose attempt never arrived.")
	descStarts               = describe("owner_starts_total", "Attempts that the owner started.")
	descRelocated            = describe("owner_relocated_total", "Queued attempts that the owner gave up because another one is expected to answer them sooner, by class and cause: slow machine, or long queue.", "class", "cause")
	descRelocatedGain        = describe("owner_relocated_gain_seconds_total", "Sum of the time that these attempts were expected to gain.", "class")
	descService              = describe("owner_service_seconds", "Smoothed time of the worker per request.")
	descFailures             = describe("owner_failure_ratio", "Smoothed share of the worker's answers that failed.")
	descRunsCallRefused      = describe("runs_call_refused_total", "Requests that the worker answered with a server error after a call that it made for them was refused for load or got no response.", "class")
	descMeasuring            = describe("measuring_messages_total", "Messages that only measure, by kind: polls and probes of this node's worker, probes sent.", "kind")
	descBudget               = describe("measuring_budget_per_second", "The bundle's budget for this node's upstream.")
	descLinks                = describe("links", "Open peer links.")
	descLinkEvents           = describe("link_messages_total", "Messages on control links.", "kind")
	descLinkBytes            = describe("link_bytes_total", "Bytes on control links.", "direction")
	descSuspects             = describe("suspect_requests", "Requests under which workers ended, by state: suspect, or put aside.", "state")
	descCrashes              = describe("worker_ends_total", "Ends of this node's own worker, not as planned, with requests in hand.")
	descSuspectUpdatesFailed = describe("suspect_tells_failed_total", "Messages about such requests that did not reach a peer.")
	descHandover             = describe("request_ids_handed_over_total", "Records of callers' request ids of a leaving home node, by whether their next home node had acknowledged them.", "result")
	descRefused              = describe("bundles_refused_total", "Bundles refused, by reason.", "reason")
	descAdmittedShare        = describe("admitted_share", "Share of a class's requests that this entry admits by their outcomes; 1 is all.", "service", "class")
	descServedShare          = describe("served_share", "Smoothed share of a class's admitted requests that owners reported as served.", "service", "class")
	descMalformedOutcomes    = describe("class_outcomes_malformed_total", "Load reports whose list of class outcomes was malformed and ignored.")
	descOwnerServed          = describe("owner_served_share", "Smoothed share of a class's requests that this owner served; absent while nearly all are.", "class")
)

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, ch) }

// Collect implements prometheus.Collector. The registry calls it in a separate goroutine.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	if err := task.Do(func() { c.collect(ch) }); err != nil {
		c.node.componentFailed(err)
		ch <- prometheus.NewInvalidMetric(descReady, err)
	}
}

func (c collector) collect(ch chan<- prometheus.Metric) {
	c.board(ch)
	c.directory(ch)
	c.owner(ch)
	c.admission(ch, time.Now())
	c.measuring(ch)
	c.links(ch)
	c.bundles(ch)
	c.suspects(ch)
}

func (c collector) suspects(ch chan<- prometheus.Metric) {
	counts := c.node.core.Quarantine.Counts()
	gauge(ch, descSuspects, float64(counts.Suspects-counts.Quarantined), "suspect")
	gauge(ch, descSuspects, float64(counts.Quarantined), "put-aside")
	counter(ch, descCrashes, counts.Crashes)
	counter(ch, descSuspectUpdatesFailed, c.node.suspectUpdatesFailed.Load())
}

func gauge(ch chan<- prometheus.Metric, d *prometheus.Desc, v float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func counter(ch chan<- prometheus.Metric, d *prometheus.Desc, v uint64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

func (c collector) board(ch chan<- prometheus.Metric) {
	board := c.node.core.Board
	ready := 0.0
	if r := board.Readiness.Get(); r != nil && r.Ready {
		ready = 1
	}
	gauge(ch, descReady, ready)
	for _, b := range board.Bundles.Get().All() {
		gauge(ch, descBundle, float64(b.Version), string(b.Name))
	}
	for key, n := range countInstances(board.Fleet.Get()) {
		gauge(ch, descInstances, float64(n), string(key.service), key.state.String())
	}
	if s := board.Sources.Get(); s != nil {
		c.sources(ch, s)
	}
}

// instanceKey is the key by which instances are counted.
type instanceKey struct {
	service model.ServiceName
	state   model.UpstreamState
}

func countInstances(f *model.Fleet) map[instanceKey]int {
	out := map[instanceKey]int{}
	for i := range f.Instances {
		in := &f.Instances[i]
		out[instanceKey{in.Service, in.State}]++
	}
	return out
}

func (c collector) sources(ch chan<- prometheus.Metric, s *blackboard.Sources) {
	now := time.Now()
	if !s.ConfigConfirmed.IsZero() {
		gauge(ch, descSourceAge, now.Sub(s.ConfigConfirmed).Seconds(), "config")
	}
	if !s.ListConfirmed.IsZero() {
		gauge(ch, descSourceAge, now.Sub(s.ListConfirmed).Seconds(), "list")
	}
	counter(ch, descReads, s.ConfigReads, "config")
	counter(ch, descReads, s.ListReads, "list")
}

func (c collector) directory(ch chan<- prometheus.Metric) {
	s := c.node.core.Stats.Get()
	if s == nil || s.Directory == nil {
		return
	}
	v := s.Directory
	for _, status := range directory.ViewStatuses {
		value := 0.0
		if v.Status == status {
			value = 1
		}
		gauge(ch, descViewStatus, value, string(status))
	}
	gauge(ch, descBehind, float64(v.RevisionsBehind()))
	for _, cause := range directory.ReadCauses {
		counter(ch, descDirectoryReads, v.Reads[cause], string(cause))
	}
	counter(ch, descConfigCopies, c.node.configCopiesReceived.Load(), "received")
	counter(ch, descConfigCopies, c.node.configCopiesSent.Load(), "sent")
}

func (c collector) owner(ch chan<- prometheus.Metric) {
	r := c.node.core.Owner.Report(time.Now())
	gauge(ch, descLimit, float64(r.Limit))
	gauge(ch, descInFlight, float64(r.InFlight))
	gauge(ch, descQueued, float64(r.Queued))
	if perSecond, named := c.node.core.Owner.RateLimit(); named {
		gauge(ch, descRateLimit, perSecond)
	}
	c.bodies(ch)
	counter(ch, descStarts, c.node.core.Owner.Starts())
	for _, n := range c.node.core.Owner.Relocations() {
		counter(ch, descRelocated, n.Slow, string(n.Class), "slow")
		counter(ch, descRelocated, n.Total-n.Slow, string(n.Class), "queue")
		ch <- prometheus.MustNewConstMetric(descRelocatedGain, prometheus.CounterValue, n.Gain.Seconds(), string(n.Class))
	}
	counter(ch, descHandover, c.node.core.Handover.Acknowledged.Load(), "acknowledged")
	counter(ch, descHandover, c.node.core.Handover.Unacknowledged.Load(), "unacknowledged")
	gauge(ch, descService, r.ServiceTime.Seconds())
	gauge(ch, descFailures, r.FailureShare())
	c.callRefusedRuns(ch)
}

// callRefusedRuns exports the classes that the bundle names, as a label must not come from
// a message.
func (c collector) callRefusedRuns(ch chan<- prometheus.Metric) {
	_, b := c.node.core.Board.Bundles.Get().Service(c.node.cfg.Service)
	if b == nil {
		return
	}
	runs := c.node.executor.CallRefusedRuns()
	for i := range b.Classes {
		if n := runs[b.Classes[i].Name]; n > 0 {
			counter(ch, descRunsCallRefused, n, string(b.Classes[i].Name))
		}
	}
}

func (c collector) bodies(ch chan<- prometheus.Metric) {
	counts := c.node.core.Owner.ReservationCounts()
	gauge(ch, descBodiesInTransit, float64(counts.InTransit))
	gauge(ch, descBodiesWaiting, float64(counts.Waiting))
	gauge(ch, descBodyMemory, float64(counts.MemoryBytes))
	counter(ch, descBodiesExpired, counts.Expired)
}

func (c collector) measuring(ch chan<- prometheus.Metric) {
	ownerCounts, entryCounts := c.node.core.OwnerLimiter.Counts(), c.node.core.EntryLimiter.Counts()
	counter(ch, descMeasuring, ownerCounts.PollsSent, "poll")
	counter(ch, descMeasuring, ownerCounts.PollsDeferred, "poll-deferred")
	counter(ch, descMeasuring, ownerCounts.ProbesAnswered, "probe-taken")
	counter(ch, descMeasuring, ownerCounts.ProbesRefused, "probe-refused")
	counter(ch, descMeasuring, entryCounts.Sent, "probe-sent")
	if _, b := c.node.core.Board.Bundles.Get().Service(c.node.cfg.Service); b != nil {
		gauge(ch, descBudget, b.Measuring.PerUpstreamPerSecond)
	}
}

func (c collector) links(ch chan<- prometheus.Metric) {
	l := &c.node.links.Counters
	if s := c.node.core.Stats.Get(); s != nil {
		gauge(ch, descLinks, float64(len(s.Links)))
	}
	counter(ch, descLinkEvents, l.MessagesIn.Load(), "in")
	counter(ch, descLinkEvents, l.MessagesOut.Load(), "out")
	counter(ch, descLinkEvents, l.Dropped.Load(), "dropped")
	counter(ch, descLinkEvents, l.Unknown.Load(), "unknown")
	counter(ch, descLinkEvents, l.Malformed.Load(), "malformed")
	counter(ch, descLinkBytes, l.BytesIn.Load(), "in")
	counter(ch, descLinkBytes, l.BytesOut.Load(), "out")
}

func (c collector) bundles(ch chan<- prometheus.Metric) {
	s := c.node.core.Stats.Get()
	if s == nil {
		return
	}
	for reason, n := range s.Spread.Refused {
		counter(ch, descRefused, n, spread.Reason(reason).String())
	}
}
