package worker

import (
	"fmt"
	"math"
	"time"

	"gypsumstand/internal/finding"
)

// ColdMode is how a starting worker rejects work.
type ColdMode uint8

// The cold modes.
const (
	// ColdNone is a warm worker, which serves normally.
	ColdNone ColdMode = iota
	// ColdRefuse refuses connections, as a process does before it opens its port;
	// entering it resets open connections.
	ColdRefuse
	// ColdShed answers requests with 503 and does not run them.
	ColdShed
)

var coldNames = [...]string{"none", "refuse", "shed"}

// String returns the name that MarshalText writes.
func (c ColdMode) String() string {
	if int(c) < len(coldNames) {
		return coldNames[c]
	}
	return "invalid"
}

// MarshalText implements encoding.TextMarshaler.
func (c ColdMode) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *ColdMode) UnmarshalText(text []byte) error {
	for i, name := range coldNames {
		if name == string(text) {
			*c = ColdMode(i)
			return nil
		}
	}
	return fmt.Errorf("cold %q: want one of %q", text, coldNames)
}

// Faults are the injected faults; the zero value injects none. A share is the
// probability, from 0 to 1, that the fault hits a request.
type Faults struct {
	Cold ColdMode `json:"cold"`
	// Draining answers new requests with 503 and does not run them, finishes the admitted
	// ones, and shows in the health endpoint.
	Draining bool `json:"draining"`
	// ShedShare of the requests are answered with 503 and not run.
	ShedShare float64 `json:"shed_share"`
	// FailShare of the requests are answered with 500 at once; they count as run.
	FailShare float64 `json:"fail_share"`
	// SlowFactor multiplies service times; zero means 1.
	SlowFactor float64 `json:"slow_factor"`
	// CutShare of the answers end in the middle of their body.
	CutShare float64 `json:"cut_share"`
	// CrossedShare of the answers are another request's, attempt echo included.
	CrossedShare float64 `json:"crossed_share"`
	// CrossedBodyShare of the answers have the right attempt echo and another request's
	// body.
	CrossedBodyShare float64 `json:"crossed_body_share"`
	// CloseShare of the requests are read completely and counted as run, and their
	// connection is closed without an answer.
	CloseShare float64 `json:"close_share"`
	// CloseReusedShare is CloseShare for requests that are not the first on their
	// connection, which is when net/http replays a request.
	CloseReusedShare float64 `json:"close_reused_share"`
	// IgnoreCancel and IgnoreDeadline let runs complete after a cancellation or past the
	// deadline.
	IgnoreCancel   bool `json:"ignore_cancel"`
	IgnoreDeadline bool `json:"ignore_deadline"`
	// ReportLagMs is the delay, in milliseconds, after which the health and load
	// endpoints show a change.
	ReportLagMs int64 `json:"report_lag_ms"`
	// LieHealthy and LieRunning, when not nil, override what the endpoints report.
	LieHealthy *bool `json:"lie_healthy"`
	LieRunning *int  `json:"lie_running"`
}

// check returns a finding.List with every invalid field of f.
func (f Faults) check() error {
	var findings finding.List
	shares := []struct {
		key   string
		value float64
	}{
		{"shed_share", f.ShedShare}, {"fail_share", f.FailShare}, {"cut_share", f.CutShare},
		{"crossed_share", f.CrossedShare}, {"crossed_body_share", f.CrossedBodyShare},
		{"close_share", f.CloseShare}, {"close_reused_share", f.CloseReusedShare},
	}
	for _, s := range shares {
		if !(s.value >= 0 && s.value <= 1) {
			findings.Add(finding.Finding{Key: s.key, Message: "must be from 0 to 1"})
		}
	}
	if !(f.SlowFactor >= 0) || math.IsInf(f.SlowFactor, 0) {
		findings.Add(finding.Finding{Key: "slow_factor", Message: "must be a number from 0"})
	}
	if f.ReportLagMs < 0 {
		findings.Add(finding.Finding{Key: "report_lag_ms", Message: "must not be negative"})
	}
	if int(f.Cold) >= len(coldNames) {
		findings.Add(finding.Finding{Key: "cold", Message: "is not a cold mode"})
	}
	return findings.Err()
}

// clone returns a deep copy of f.
func (f Faults) clone() Faults {
	if f.LieHealthy != nil {
		f.LieHealthy = new(*f.LieHealthy)
	}
	if f.LieRunning != nil {
		f.LieRunning = new(*f.LieRunning)
	}
	return f
}

// Faults returns a copy of the active faults.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.clone()
}

// ChangeFaults edits a copy of the active faults with change and activates it if it is
// valid. The error is a finding.List or the listener's. change must not call the worker.
func (w *Worker) ChangeFaults(change func(*Faults)) error {
	w.faultsMu.Lock()
	defer w.faultsMu.Unlock()
	w.mu.Lock()
	next := w.faults.clone()
	change(&next)
	if err := next.check(); err != nil {
		w.mu.Unlock()
		return err
	}
	before := w.faults
	w.faults = next
	w.mu.Unlock()
	w.recordReport()
	if before.Cold == next.Cold {
		return nil
	}
	return w.applyCold(next.Cold)
}

// applyCold opens or closes the worker's listener, if it has one.
func (w *Worker) applyCold(cold ColdMode) error {
	w.mu.Lock()
	l := w.listener
	w.mu.Unlock()
	if l == nil {
		return nil
	}
	if cold != ColdRefuse {
		return l.Allow()
	}
	err := l.Refuse()
	l.ResetAll()
	return err
}

// Pause suspends the worker for d like a stopped process: requests wait, runs make no
// progress, and endpoints don't respond. Requests that arrive meanwhile are served
// afterwards as if they had just arrived. A pause during a pause is ignored.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused != nil || d <= 0 {
		return
	}
	ended := make(chan struct{})
	w.paused = ended
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.paused = nil
		close(ended)
	})
}

// waitForPause blocks while the worker is paused.
func (w *Worker) waitForPause() {
	w.mu.Lock()
	ended := w.paused
	w.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// drawFault reports whether a fault of the given share hits this request.
func (w *Worker) drawFault(share func(*Faults) float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := share(&w.faults)
	return s > 0 && w.rng.Float64() < s
}
