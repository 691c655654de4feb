// Package load is an open-loop load generator. It sends requests at times drawn in
// advance, regardless of the progress of earlier ones, and measures latency from the
// intended time, so that a stalled server cannot hide its stall (coordinated omission).
// It checks that every response is complete and belongs to its request, counts outcomes,
// and can compare the outcomes that callers received with the runs that workers counted.
// Every run is limited in duration, in requests and in requests in flight.
package load

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/registry"
)

// PickPolicy selects the target of a request.
type PickPolicy string

// The target selection policies.
const (
	PickRoundRobin PickPolicy = "round-robin"
	PickRandom     PickPolicy = "random"
)

// Limits and defaults of a plan.
const (
	MaxDurationMs      = 3_600_000
	MaxRequests        = 10_000_000
	maxRate            = 1_000_000
	maxInFlight        = 100_000
	maxTimeoutMs       = 600_000
	maxBodyBytes       = 16 << 20
	maxResend          = 100
	maxDepth           = 10
	maxStreams         = 1000
	maxSteps           = 1000
	defaultDurationMs  = 10_000
	defaultMaxRequests = 1_000_000
	defaultMaxInFlight = 2000
	defaultTimeoutMs   = 1000
	defaultSlackMs     = 1000
	defaultSettleMs    = 1000
	defaultBodyBytes   = 64
	// Range of a burst's length in milliseconds.
	defaultBurstMinMs = 5
	defaultBurstMaxMs = 20
)

// Plan describes a run.
type Plan struct {
	// Targets are the caller addresses of nodes, each "ip:port".
	Targets []string `toml:"targets"`
	// Pick selects the target of each request; empty means PickRoundRobin.
	Pick PickPolicy `toml:"pick"`
	// Direct is set when the targets are workers: their responses carry no outcome, and
	// the worker's own not-run header is trusted.
	Direct bool `toml:"direct"`
	// DurationMs is the period in which requests are sent, in milliseconds.
	DurationMs int64 `toml:"duration_ms"`
	// MaxRequests limits the number of requests, copies and resends excluded.
	MaxRequests int `toml:"max_requests"`
	// MaxInFlight limits the requests in flight. At the limit, requests are sent late but
	// still measured from their intended time.
	MaxInFlight int `toml:"max_in_flight"`
	// SlackMs is how long a caller waits for an outcome beyond the request's timeout, in
	// milliseconds.
	SlackMs int64 `toml:"slack_ms"`
	// SettleMs is the time between the last response and the count of runs, in
	// milliseconds.
	SettleMs int64 `toml:"settle_ms"`
	// Seed makes arrival times and random choices repeatable.
	Seed    uint64   `toml:"seed"`
	Streams []Stream `toml:"stream"`
	Steps   []Step   `toml:"step"`
}

// Stream is a flow of similar requests.
type Stream struct {
	// Class and Tenant label the results; a non-empty Tenant is also sent.
	Class  model.ClassName  `toml:"class"`
	Tenant model.TenantName `toml:"tenant"`
	// Worth is the value of one response within the deadline.
	Worth float64 `toml:"worth"`
	// RatePerSecond is the mean rate outside bursts. Arrivals are Poisson.
	RatePerSecond float64 `toml:"rate_per_second"`
	Burst         Burst   `toml:"burst"`
	Method        string  `toml:"method"`
	Path          string  `toml:"path"`
	// TimeoutMs is the deadline, counted from the intended time, in milliseconds. The
	// remaining time is sent with the request.
	TimeoutMs int64 `toml:"timeout_ms"`
	// NotIdempotent marks the requests as not idempotent whatever their method. Methods
	// that are not idempotent by RFC 9110 need no mark.
	NotIdempotent bool `toml:"not_idempotent"`
	// Keyed sends an Idempotency-Key with idempotent requests too, so that their runs can
	// be counted.
	Keyed bool `toml:"keyed"`
	// BodyBytes is the body size for methods that have a body.
	BodyBytes int `toml:"body_bytes"`
	// Depth is the length of the chain of nested calls that workers make for a request.
	Depth int `toml:"depth"`
	// Resend is the number of times that a request reported as not run is sent again.
	Resend int `toml:"resend"`
	// CopyShare is the share of the non-idempotent requests that a second caller sends at
	// the same time, with the same id, to another target.
	CopyShare float64 `toml:"copy_share"`
}

// Burst periodically raises a stream's rate for a short time.
type Burst struct {
	// EveryMs is the time between the starts of two bursts, in milliseconds; zero
	// disables bursts.
	EveryMs int64 `toml:"every_ms"`
	// MinMs and MaxMs are the range of a burst's length, which is drawn for each burst.
	MinMs int64 `toml:"min_ms"`
	MaxMs int64 `toml:"max_ms"`
	// Factor multiplies the rate during a burst.
	Factor float64 `toml:"factor"`
}

// Step is an HTTP request sent once, AtMs after the start of the run, usually to inject a
// fault into a stand-in.
type Step struct {
	AtMs   int64  `toml:"at_ms"`
	Method string `toml:"method"`
	URL    string `toml:"url"`
	Body   string `toml:"body"`
}

// NewPlan returns a plan with defaults and without targets and streams.
func NewPlan() Plan {
	return Plan{
		Pick:        PickRoundRobin,
		DurationMs:  defaultDurationMs,
		MaxRequests: defaultMaxRequests,
		MaxInFlight: defaultMaxInFlight,
		SlackMs:     defaultSlackMs,
		SettleMs:    defaultSettleMs,
	}
}

// fillDefaults sets the missing fields of streams and steps.
func (p *Plan) fillDefaults() {
	for i := range p.Streams {
		s := &p.Streams[i]
		setDefault(&s.Method, http.MethodGet)
		setDefault(&s.TimeoutMs, defaultTimeoutMs)
		setDefault(&s.BodyBytes, defaultBodyBytes)
		if s.Burst.EveryMs > 0 {
			setDefault(&s.Burst.MinMs, defaultBurstMinMs)
			setDefault(&s.Burst.MaxMs, defaultBurstMaxMs)
		}
	}
	for i := range p.Steps {
		setDefault(&p.Steps[i].Method, http.MethodPatch)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// findingAdder reports a fault of the plan at a dotted key.
type findingAdder func(key, format string, args ...any)

// check reports every fault of p.
func (p *Plan) check(add findingAdder) {
	if len(p.Targets) == 0 {
		add("targets", "missing")
	}
	for i, t := range p.Targets {
		if err := registry.CheckAddress(t); err != nil {
			add("targets", "element %d: %v", i, err)
		}
	}
	if p.Pick != PickRoundRobin && p.Pick != PickRandom {
		add("pick", "%q must be %q or %q", p.Pick, PickRoundRobin, PickRandom)
	}
	checkRange(add, "duration_ms", p.DurationMs, 1, MaxDurationMs)
	checkRange(add, "max_requests", p.MaxRequests, 1, MaxRequests)
	checkRange(add, "max_in_flight", p.MaxInFlight, 1, maxInFlight)
	checkRange(add, "slack_ms", p.SlackMs, 0, maxTimeoutMs)
	checkRange(add, "settle_ms", p.SettleMs, 0, maxTimeoutMs)
	if n := len(p.Streams); n == 0 || n > maxStreams {
		add("stream", "%d streams, must be from 1 to %d", n, maxStreams)
	}
	for i := range p.Streams {
		p.Streams[i].check("stream["+strconv.Itoa(i)+"].", add)
	}
	if n := len(p.Steps); n > maxSteps {
		add("step", "%d steps, must be at most %d", n, maxSteps)
	}
	for i := range p.Steps {
		p.Steps[i].check("step["+strconv.Itoa(i)+"].", p.DurationMs, add)
	}
}

// checkRange reports a fault unless low <= value <= high. NaN is a fault.
func checkRange[T int | int64 | float64](add findingAdder, key string, value, low, high T) {
	if !(value >= low && value <= high) {
		add(key, "%v must be from %v to %v", value, low, high)
	}
}

func (s *Stream) check(key string, add findingAdder) {
	if s.Class == "" {
		add(key+"class", "missing")
	}
	checkRange(add, key+"worth", s.Worth, 0, 1e9)
	checkRange(add, key+"rate_per_second", s.RatePerSecond, 0.001, maxRate)
	checkRange(add, key+"timeout_ms", s.TimeoutMs, 1, maxTimeoutMs)
	checkRange(add, key+"body_bytes", s.BodyBytes, 1, maxBodyBytes)
	checkRange(add, key+"depth", s.Depth, 0, maxDepth)
	checkRange(add, key+"resend", s.Resend, 0, maxResend)
	checkRange(add, key+"copy_share", s.CopyShare, 0, 1)
	if s.CopyShare > 0 && s.idempotent() {
		add(key+"copy_share", "is only allowed for requests that are not idempotent")
	}
	if _, err := http.NewRequest(s.Method, "http://target/", nil); err != nil {
		add(key+"method", "%q is not a method", s.Method)
	}
	if u, err := url.ParseRequestURI(s.Path); err != nil || !strings.HasPrefix(s.Path, "/") || u.RawQuery != "" || u.Host != "" {
		add(key+"path", "%q must be a path from / without a query", s.Path)
	}
	s.Burst.check(key+"burst.", add)
}

func (b *Burst) check(key string, add findingAdder) {
	if *b == (Burst{}) {
		return
	}
	checkRange(add, key+"every_ms", b.EveryMs, 1, MaxDurationMs)
	checkRange(add, key+"min_ms", b.MinMs, 1, MaxDurationMs)
	checkRange(add, key+"max_ms", b.MaxMs, b.MinMs, max(b.EveryMs, b.MinMs))
	checkRange(add, key+"factor", b.Factor, 1, 1000)
}

func (s *Step) check(key string, durationMs int64, add findingAdder) {
	checkRange(add, key+"at_ms", s.AtMs, 0, durationMs)
	u, err := url.Parse(s.URL)
	if err != nil || u.Scheme != "http" || registry.CheckAddress(u.Host) != nil {
		add(key+"url", "%q must be http://ip:port/path", s.URL)
	}
	if _, err := http.NewRequest(s.Method, "http://target/", nil); err != nil {
		add(key+"method", "%q is not a method", s.Method)
	}
}

// idempotent reports whether the stream's requests are idempotent, by NotIdempotent and
// by RFC 9110, section 9.2.2.
func (s *Stream) idempotent() bool {
	if s.NotIdempotent {
		return false
	}
	switch s.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// hasBody reports whether the stream's requests carry a body.
func (s *Stream) hasBody() bool {
	switch s.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete:
		return false
	}
	return true
}

func (s *Stream) timeout() time.Duration { return milliseconds(s.TimeoutMs) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
