// Package load is an open-loop load generator. It sends requests at times drawn
// beforehand, whatever became of the earlier ones, and measures each from its
// intended time, so that a stalled server can't hide its stall (coordinated
// omission). It checks that every answer is whole and its own request's, counts
// outcomes, and can hold what callers were told against the runs that workers
// counted. Every run is bounded in time, in requests and in requests in flight.
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

// PickPolicy says how the target of a request is picked.
type PickPolicy string

// The ways of picking.
const (
	PickRoundRobin PickPolicy = "round-robin"
	PickRandom     PickPolicy = "random"
)

// Bounds and defaults of a plan.
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
	// Bounds of a burst's length.
	defaultBurstMinMs = 5
	defaultBurstMaxMs = 20
)

// Plan is what a run does.
type Plan struct {
	// Targets are the caller addresses of nodes, each "ip:port".
	Targets []string `toml:"targets"`
	// PickPolicy is the way of picking a target; empty means PickRoundRobin.
	Pick PickPolicy `toml:"pick"`
	// Direct says that the targets are workers, so that answers carry no outcome
	// and a worker's own word "not run" is taken for it.
	Direct bool `toml:"direct"`
	// DurationMs is the time over which requests are sent, in milliseconds.
	DurationMs int64 `toml:"duration_ms"`
	// MaxRequests bounds the number of requests, copies and resends excluded.
	MaxRequests int `toml:"max_requests"`
	// MaxInFlight bounds the requests in flight; over it, requests are sent late
	// but still measured from their intended time.
	MaxInFlight int `toml:"max_in_flight"`
	// SlackMs is how long a caller waits beyond a request's timeout for word of
	// what became of it, in milliseconds.
	SlackMs int64 `toml:"slack_ms"`
	// SettleMs is the time between the last answer and the count of runs.
	SettleMs int64 `toml:"settle_ms"`
	// Seed makes the times and choices repeatable.
	Seed    uint64   `toml:"seed"`
	Streams []Stream `toml:"stream"`
	Steps   []Step   `toml:"step"`
}

// Stream is a flow of like requests.
type Stream struct {
	// Class and Tenant label results; Tenant is sent too when present.
	Class  model.ClassName  `toml:"class"`
	Tenant model.TenantName `toml:"tenant"`
	// Worth of an answer in deadline.
	Worth float64 `toml:"worth"`
	// RatePerSecond is the mean rate outside bursts; arrivals are Poisson.
	RatePerSecond float64 `toml:"rate_per_second"`
	Burst         Burst   `toml:"burst"`
	Method        string  `toml:"method"`
	Path          string  `toml:"path"`
	// TimeoutMs is the deadline from the intended time, in milliseconds; it is
	// sent as the remaining time.
	TimeoutMs int64 `toml:"timeout_ms"`
	// NotIdempotent marks the requests, whatever the method. Requests of methods
	// that are not idempotent (RFC 9110) are so without it.
	NotIdempotent bool `toml:"not_idempotent"`
	// Keyed gives idempotent requests an Idempotency-Key as well, so that their
	// runs can be counted.
	Keyed bool `toml:"keyed"`
	// BodyBytes is the size of a body for methods that have one.
	BodyBytes int `toml:"body_bytes"`
	// Depth is the number of calls one below the other that workers are asked to
	// make for a request.
	Depth int `toml:"depth"`
	// Resend is how often a request that was not run is sent again.
	Resend int `toml:"resend"`
	// CopyShare is the share of the non-idempotent requests that a second caller
	// sends at the same time with the same id to another target.
	CopyShare float64 `toml:"copy_share"`
}

// Burst raises a stream's rate for a short time, again and again.
type Burst struct {
	// EveryMs is the time from start to start, in milliseconds; zero means none.
	EveryMs int64 `toml:"every_ms"`
	// MinMs and MaxMs bound the length, which is drawn for each burst.
	MinMs int64 `toml:"min_ms"`
	MaxMs int64 `toml:"max_ms"`
	// Factor multiplies the rate within a burst.
	Factor float64 `toml:"factor"`
}

// Step is an HTTP request sent once at a time of the run, to set a fault of a
// stand-in.
type Step struct {
	AtMs   int64  `toml:"at_ms"`
	Method string `toml:"method"`
	URL    string `toml:"url"`
	Body   string `toml:"body"`
}

// NewPlan returns a plan with defaults, without targets and streams.
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

// fillDefaults fills what is absent in streams and steps.
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

// adder takes a fault of the plan at a dotted key.
type adder func(key, format string, args ...any)

// check adds every fault of p.
func (p *Plan) check(add adder) {
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
	within(add, "duration_ms", p.DurationMs, 1, MaxDurationMs)
	within(add, "max_requests", p.MaxRequests, 1, MaxRequests)
	within(add, "max_in_flight", p.MaxInFlight, 1, maxInFlight)
	within(add, "slack_ms", p.SlackMs, 0, maxTimeoutMs)
	within(add, "settle_ms", p.SettleMs, 0, maxTimeoutMs)
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

// within adds a fault unless low <= value <= high; NaN is a fault.
func within[T int | int64 | float64](add adder, key string, value, low, high T) {
	if !(value >= low && value <= high) {
		add(key, "%v must be from %v to %v", value, low, high)
	}
}

func (s *Stream) check(key string, add adder) {
	if s.Class == "" {
		add(key+"class", "missing")
	}
	within(add, key+"worth", s.Worth, 0, 1e9)
	within(add, key+"rate_per_second", s.RatePerSecond, 0.001, maxRate)
	within(add, key+"timeout_ms", s.TimeoutMs, 1, maxTimeoutMs)
	within(add, key+"body_bytes", s.BodyBytes, 1, maxBodyBytes)
	within(add, key+"depth", s.Depth, 0, maxDepth)
	within(add, key+"resend", s.Resend, 0, maxResend)
	within(add, key+"copy_share", s.CopyShare, 0, 1)
	if s.CopyShare > 0 && s.idempotent() {
		add(key+"copy_share", "is for requests that are not idempotent")
	}
	if _, err := http.NewRequest(s.Method, "http://target/", nil); err != nil {
		add(key+"method", "%q is not a method", s.Method)
	}
	if u, err := url.ParseRequestURI(s.Path); err != nil || !strings.HasPrefix(s.Path, "/") || u.RawQuery != "" || u.Host != "" {
		add(key+"path", "%q must be a path from / without a query", s.Path)
	}
	s.Burst.check(key+"burst.", add)
}

func (b *Burst) check(key string, add adder) {
	if *b == (Burst{}) {
		return
	}
	within(add, key+"every_ms", b.EveryMs, 1, MaxDurationMs)
	within(add, key+"min_ms", b.MinMs, 1, MaxDurationMs)
	within(add, key+"max_ms", b.MaxMs, b.MinMs, max(b.EveryMs, b.MinMs))
	within(add, key+"factor", b.Factor, 1, 1000)
}

func (s *Step) check(key string, durationMs int64, add adder) {
	within(add, key+"at_ms", s.AtMs, 0, durationMs)
	u, err := url.Parse(s.URL)
	if err != nil || u.Scheme != "http" || registry.CheckAddress(u.Host) != nil {
		add(key+"url", "%q must be http://ip:port/path", s.URL)
	}
	if _, err := http.NewRequest(s.Method, "http://target/", nil); err != nil {
		add(key+"method", "%q is not a method", s.Method)
	}
}

// idempotent applies the stream's mark and RFC 9110, section 9.2.2.
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

// hasBody tells whether the stream's requests carry a body.
func (s *Stream) hasBody() bool {
	switch s.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodDelete:
		return false
	}
	return true
}

func (s *Stream) timeout() time.Duration { return milliseconds(s.TimeoutMs) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
