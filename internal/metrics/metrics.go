// Package metrics holds the node's Prometheus collectors for calls. Label values come only
// from bundles (services, classes, tenants) and from fixed lists, never from a request, so
// the number of series is bounded.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gypsumstand/internal/server"
)

const namespace = "gypsum"

// latencyBuckets cover 0.2 ms to 13 s in factors of two, in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.0002, 2, 17)

// addedBuckets cover 50 µs to 100 ms in steps of about a factor of two, in seconds. They
// include 1.5 ms, the target for the 99th percentile.
var addedBuckets = []float64{0.00005, 0.0001, 0.0002, 0.0004, 0.0008, 0.0015, 0.003, 0.006, 0.012, 0.025, 0.05, 0.1}

// Metrics collects call metrics. It implements server.Recorder and is safe for concurrent
// use.
type Metrics struct {
	registry *prometheus.Registry
	calls    *prometheus.CounterVec
	attempts *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	queued   *prometheus.HistogramVec
	added    *prometheus.HistogramVec
	// workerCalls counts requests that name a parent, where a bundle enables inheritance.
	workerCalls *prometheus.CounterVec

	reservations *prometheus.HistogramVec

	notAdmitted *prometheus.CounterVec
	// relocated counts requests that owners gave up after they had queued them.
	relocated *prometheus.CounterVec
}

var (
	_ server.Recorder            = (*Metrics)(nil)
	_ server.ReservationRecorder = (*Metrics)(nil)
)

// New returns collectors registered in a new registry.
func New() *Metrics {
	labels := []string{"class", "tenant"}
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "calls_total",
			Help: "Callers' requests by outcome and reason."}, []string{"service", "class", "tenant", "outcome", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "attempts_total",
			Help: "Attempts made for callers' requests."}, labels),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "call_seconds",
			Help: "Time from a request's arrival to its answer.", Buckets: latencyBuckets}, labels),
		queued: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "queue_seconds",
			Help: "Time in the owner's queue of answered requests.", Buckets: latencyBuckets}, labels),
		added: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "added_seconds",
			Help: "Time to the answer's head that was spent neither in the owner's queue nor at the worker.", Buckets: addedBuckets}, labels),
		reservations: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "body_reservation_seconds",
			Help: "Time to the owner's reply to a reservation of a large body, and of the body's transfer, by class and result.", Buckets: latencyBuckets}, []string{"class", "result"}),
		notAdmitted: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "calls_not_admitted_total",
			Help: "Callers' requests refused at this entry, as most of their class are not served."}, []string{"service", "class"}),
	}
	m.workerCalls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "worker_calls_total",
		Help: "Requests that name a run for which they are made, by whether it is running at this node's worker."},
		[]string{"service", "class", "parent"})
	m.relocated = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "relocated_calls_total",
		Help: "Callers' requests that an owner gave up after it had queued them, by how they ended."}, []string{"class", "outcome", "reason"})
	m.registry.MustRegister(m.calls, m.attempts, m.latency, m.queued, m.added, m.workerCalls, m.reservations, m.notAdmitted, m.relocated)
	return m
}

// Registry returns the registry that holds the collectors.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Call records one completed call. It implements server.Recorder.
func (m *Metrics) Call(c server.CallRecord) {
	class, tenant := string(c.Class), string(c.Tenant)
	m.calls.WithLabelValues(string(c.Service), class, tenant, c.Outcome.String(), c.Reason.String()).Inc()
	m.attempts.WithLabelValues(class, tenant).Add(float64(c.Attempts))
	m.latency.WithLabelValues(class, tenant).Observe(seconds(c.Latency))
	if c.NotAdmitted {
		m.notAdmitted.WithLabelValues(string(c.Service), class).Inc()
	}
	if c.Relocations > 0 {
		m.relocated.WithLabelValues(class, c.Outcome.String(), c.Reason.String()).Inc()
	}
	if c.Added > 0 {
		m.added.WithLabelValues(class, tenant).Observe(seconds(c.Added))
		m.queued.WithLabelValues(class, tenant).Observe(seconds(c.Queued))
	}
	if c.Parent != server.ParentNone {
		m.workerCalls.WithLabelValues(string(c.Service), class, c.Parent.String()).Inc()
	}
}

// Reservation records one reservation at its owner; the class must be that of a bundle, or
// empty. It implements server.ReservationRecorder.
func (m *Metrics) Reservation(r server.ReservationRecord) {
	m.reservations.WithLabelValues(string(r.Class), r.Result).Observe(seconds(r.Took))
}

func seconds(d time.Duration) float64 { return d.Seconds() }
