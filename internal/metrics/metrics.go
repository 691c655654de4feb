// Package metrics holds the node's Prometheus collectors. Label values come
// from bundles only (services, classes, tenants) and from fixed lists, never
// from a request, so their number is bounded.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gypsumstand/internal/server"
)

const namespace = "gypsum"

// latencyBuckets cover 0.2 ms to 13 s by factors of two, in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.0002, 2, 17)

// addedBuckets cover 50 µs to 100 ms by factors of two, in seconds; the target
// is 1.5 ms at the 99th percentile.
var addedBuckets = []float64{0.00005, 0.0001, 0.0002, 0.0004, 0.0008, 0.0015, 0.003, 0.006, 0.012, 0.025, 0.05, 0.1}

// Metrics implements server.Recorder.
type Metrics struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec
	attempts *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	queued   *prometheus.HistogramVec
	added    *prometheus.HistogramVec
}

var _ server.Recorder = (*Metrics)(nil)

// New returns collectors in a registry of their own, with the process's and
// Go's.
func New() *Metrics {
	by := []string{"class", "tenant"}
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "calls_total",
			Help: "Callers' requests by outcome and reason."}, []string{"service", "class", "tenant", "outcome", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "attempts_total",
			Help: "Attempts made for callers' requests."}, by),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "call_seconds",
			Help: "Time from a request's arrival to its answer.", Buckets: latencyBuckets}, by),
		queued: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "queue_seconds",
			Help: "Time in the owner's queue of answered requests.", Buckets: latencyBuckets}, by),
		added: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "added_seconds",
			Help: "Time to the answer's head that was spent neither in the owner's queue nor at the worker.", Buckets: addedBuckets}, by),
	}
	m.registry.MustRegister(m.calls, m.attempts, m.latency, m.queued, m.added)
	return m
}

// Registry returns the registry to serve.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Call implements server.Recorder.
func (m *Metrics) Call(c server.CallRecord) {
	class, tenant := string(c.Class), string(c.Tenant)
	m.calls.WithLabelValues(string(c.Service), class, tenant, c.Outcome.String(), c.Reason.String()).Inc()
	m.attempts.WithLabelValues(class, tenant).Add(float64(c.Attempts))
	m.latency.WithLabelValues(class, tenant).Observe(seconds(c.Latency))
	if c.Added > 0 {
		m.added.WithLabelValues(class, tenant).Observe(seconds(c.Added))
		m.queued.WithLabelValues(class, tenant).Observe(seconds(c.Queued))
	}
}

func seconds(d time.Duration) float64 { return d.Seconds() }
