// Package worker is a stand-in for an upstream's worker: an HTTP server with a
// bounded number of slots, service times drawn from distributions, answers that
// a caller can check (package answer), settable faults, and a ledger that counts
// every run by request id. For tests and demonstrations.
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

// Defaults of absent settings.
const (
	DefaultSlots      = 20
	defaultQueueMs    = 1000
	defaultQueueLimit = 64
	// MaxCallDepth bounds a path of calls.
	MaxCallDepth = 10
)

// Paths that measure the worker; all others are work.
const (
	HealthPath = "/health"
	LoadPath   = "/load"
)

// Config is a worker's fixed setting.
type Config struct {
	// Slots is the number of requests that run at once; zero means DefaultSlots.
	Slots int
	// QueueLimit and QueueMs bound the requests over Slots in number and in
	// milliseconds of waiting; over a bound they are shed. Zero means the
	// default, a negative QueueLimit that all are shed at once.
	QueueLimit int
	QueueMs    int64
	// Profiles say how requests are served, by path prefix; the longest prefix
	// wins. Requests that none fits get the zero profile: at once, small answer.
	Profiles []Profile
	// Seed makes service times and drawn faults repeatable.
	Seed uint64
	// Ledger counts runs; nil means a ledger of its own. Workers may share one.
	Ledger *Ledger
	// Node is the "ip:port" of the node that calls to other services go to;
	// empty means that this worker makes none.
	Node string
	// Transport makes the calls to Node; nil means one for plain TCP.
	Transport http.RoundTripper
	// Deadly, when not nil, picks requests that end the worker's process some time after
	// it began to run one: its port closes with all connections, until it is back. The
	// worker needs the server of NewServer for it.
	CrashOn func(answer.Request) bool
	// CrashDelay is the time from a deadly run's start to the end, RestartDelay the time from
	// then until the worker is back.
	CrashDelay, RestartDelay time.Duration
}

// Worker is the stand-in. Its methods are safe for concurrent use.
type Worker struct {
	cfg    Config
	ledger *Ledger
	client *http.Client
	slots  *slots

	changing sync.Mutex // held while faults change, before mu

	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	paused   chan struct{} // closed when the pause ends; nil without a pause
	counters Counters
	second   secondCount
	history  history
	previous previousAnswer
	listener *listen.Listener
}

// New returns a worker without faults, or a finding.List with every fault of cfg.
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
	w.slots = newSlots(cfg.Slots, cfg.QueueLimit, w.record)
	w.record()
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

// Handler returns the worker's handler. Close faults on reused connections need
// the server of NewServer.
func (w *Worker) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.Path(HealthPath).HandlerFunc(w.serveHealth)
	r.Path(LoadPath).HandlerFunc(w.serveLoad)
	r.NotFoundHandler = http.HandlerFunc(w.serveWork)
	return r
}

// Bounds of the server.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// NewServer returns a server with bounds set. l may be nil; otherwise the
// worker's cold start refuses connections on it. The caller runs
// Serve with that listener and shuts the server down.
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
