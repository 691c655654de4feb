// Package worker simulates an upstream's worker for tests and demonstrations: an HTTP
// server with a bounded number of slots, service times drawn from distributions, answers
// that a caller can verify (package answer), injectable faults, and a ledger that counts
// every run by request id.
package worker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/fake/listen"
	"gypsumstand/internal/finding"
)

// Defaults of unset settings.
const (
	DefaultSlots      = 20
	defaultQueueMs    = 1000
	defaultQueueLimit = 64
	// MaxCallDepth bounds the length of a chain of nested calls.
	MaxCallDepth = 10
)

// Paths of the health and load probes; every other path is work.
const (
	HealthPath = "/health"
	LoadPath   = "/load"
)

// Config holds the settings that stay fixed for a worker's lifetime.
type Config struct {
	// Slots is the number of requests that run concurrently; zero means DefaultSlots.
	Slots int
	// QueueLimit and QueueMs bound the requests that wait for a slot, by number and by
	// waiting time in milliseconds; a request over either bound is shed. Zero means the
	// default; a negative QueueLimit sheds every request that finds no free slot.
	QueueLimit int
	QueueMs    int64
	// Profiles define how requests are served, by path prefix; the longest prefix wins. A
	// request that matches none gets the zero profile: no service time and a minimal
	// answer.
	Profiles []Profile
	// Seed makes service times and randomly drawn faults reproducible.
	Seed uint64
	// Ledger counts runs; nil creates a private one. Several workers may share one.
	Ledger *Ledger
	// Node is the "ip:port" of the node that receives the calls to other services; empty
	// disables such calls.
	Node string
	// Transport carries the calls to Node; nil means plain TCP.
	Transport http.RoundTripper
	// CrashOn, when not nil, selects requests that crash the worker's process CrashDelay
	// after their run starts: the port and all connections close until the worker
	// restarts. It requires the server of NewServer.
	CrashOn func(answer.Request) bool
	// CrashDelay is the time from the start of a crashing run to the crash, RestartDelay
	// the time from the crash until the worker accepts connections again.
	CrashDelay, RestartDelay time.Duration
}

// Worker simulates one worker process. Its methods are safe for concurrent use.
type Worker struct {
	cfg    Config
	ledger *Ledger
	client *http.Client
	slots  *slots

	faultsMu sync.Mutex // serialises fault changes; acquired before mu

	mu              sync.Mutex
	rng             *rand.Rand
	faults          Faults
	paused          chan struct{} // closed when the pause ends; nil when not paused
	counters        Counters
	measuringSecond secondCount
	history         history
	previous        previousAnswer
	listener        *listen.Listener
}

// New returns a worker without faults. An invalid cfg yields a finding.List with every
// invalid field.
func New(cfg Config) (*Worker, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.fillDefaults()
	w := &Worker{
		cfg:    cfg,
		ledger: cfg.Ledger,
		client: newClient(cfg.Transport),
		rng:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	w.slots = newSlots(cfg.Slots, cfg.QueueLimit, w.recordReport)
	w.recordReport()
	return w, nil
}

func (c *Config) check() error {
	var findings finding.List
	if c.Slots < 0 {
		findings.Add(finding.Finding{Key: "slots", Message: "must not be negative"})
	}
	if c.QueueMs < 0 {
		findings.Add(finding.Finding{Key: "queue_ms", Message: "must not be negative"})
	}
	for i := range c.Profiles {
		c.Profiles[i].Check(func(field, message string) {
			findings.Add(finding.Finding{Key: fmt.Sprintf("profile[%d].%s", i, field), Message: message})
		})
	}
	return findings.Err()
}

func (c *Config) fillDefaults() {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = defaultQueueLimit
	}
	c.QueueLimit = max(c.QueueLimit, 0)
	if c.QueueMs == 0 {
		c.QueueMs = defaultQueueMs
	}
	if c.Ledger == nil {
		c.Ledger = NewLedger(0)
	}
}

// Ledger returns the ledger that counts this worker's runs.
func (w *Worker) Ledger() *Ledger { return w.ledger }

// Handler returns the worker's HTTP handler. Faults that close reused connections require
// the server of NewServer.
func (w *Worker) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.Path(HealthPath).HandlerFunc(w.serveHealth)
	r.Path(LoadPath).HandlerFunc(w.serveLoad)
	r.NotFoundHandler = http.HandlerFunc(w.serveWork)
	return r
}

// Timeouts of the worker's server.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// NewServer returns a server with timeouts set. With a nil l, a cold worker aborts
// requests instead of refusing connections on l. The caller runs Serve with that listener
// and shuts the server down.
func (w *Worker) NewServer(l *listen.Listener) *http.Server {
	w.mu.Lock()
	w.listener = l
	w.mu.Unlock()
	return &http.Server{
		Handler:           w.Handler(),
		ConnContext:       countRequests,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}
