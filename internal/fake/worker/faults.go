package worker

import (
	"fmt"
	"math"
	"time"

	"gypsumstand/internal/finding"
)

// ColdMode is how a worker that is starting behaves.
type ColdMode uint8

// The ways of being cold.
const (
	// ColdNone: the worker is warm.
	ColdNone ColdMode = iota
	// ColdRefuse: connections are refused, as by a process that has not yet
	// opened its port; going cold cuts the open ones.
	ColdRefuse
	// ColdShed: requests are answered 503, not run.
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

// Faults are the settable faults; the zero value has none. Shares are from 0 to
// 1 and drawn for each request.
type Faults struct {
	Cold ColdMode `json:"cold"`
	// Draining: requests that arrive are answered 503, not run; those that were
	// admitted are finished; the health endpoint says so.
	Draining bool `json:"draining"`
	// ShedShare of the requests are answered 503, not run.
	ShedShare float64 `json:"shed_share"`
	// FailShare of the requests are answered 500 at once; they count as run.
	FailShare float64 `json:"fail_share"`
	// SlowFactor multiplies service times; zero means 1.
	SlowFactor float64 `json:"slow_factor"`
	// CutShare of the answers end in the middle of their body.
	CutShare float64 `json:"cut_share"`
	// CrossedShare of the answers are another request's, echo included.
	CrossedShare float64 `json:"crossed_share"`
	// CrossedBodyShare of the answers have the right echo and another's body.
	CrossedBodyShare float64 `json:"crossed_body_share"`
	// CloseShare of the requests are read whole and counted as run, and their
	// connection is closed without an answer.
	CloseShare float64 `json:"close_share"`
	// CloseReusedShare is CloseShare for requests that are not the first on
	// their connection: what makes net/http replay them.
	CloseReusedShare float64 `json:"close_reused_share"`
	// IgnoreCancel and IgnoreDeadline make runs go on to their end.
	IgnoreCancel   bool `json:"ignore_cancel"`
	IgnoreDeadline bool `json:"ignore_deadline"`
	// ReportLagMs is how late the health and load endpoints show changes, in
	// milliseconds.
	ReportLagMs int64 `json:"report_lag_ms"`
	// LieHealthy and LieRunning, when present, are what the endpoints say.
	LieHealthy *bool `json:"lie_healthy"`
	LieRunning *int  `json:"lie_running"`
}

// check returns a finding.List with every fault of f itself.
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
		findings.Add(finding.Finding{Key: "cold", Message: "is not a way of being cold"})
	}
	return findings.Err()
}

// clone returns a copy that shares nothing with f.
func (f Faults) clone() Faults {
	if f.LieHealthy != nil {
		f.LieHealthy = new(*f.LieHealthy)
	}
	if f.LieRunning != nil {
		f.LieRunning = new(*f.LieRunning)
	}
	return f
}

// Faults returns the faults in force.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.clone()
}

// ChangeFaults lets change edit the faults in force and puts them in force when
// they pass. The error is a finding.List, or that of the listener. change must
// not call the worker.
func (w *Worker) ChangeFaults(change func(*Faults)) error {
	w.changing.Lock()
	defer w.changing.Unlock()
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
	w.record()
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

// Pause makes the worker do nothing at all for d, as a stopped process: requests
// wait, runs stand still, and endpoints don't answer. What arrived meanwhile is
// served afterwards as if it had just come. A pause within a pause is ignored.
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

// awaitPause returns at once unless the worker is paused, else after the pause.
func (w *Worker) awaitPause() {
	w.mu.Lock()
	ended := w.paused
	w.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// drawn tells whether a fault of that share strikes.
func (w *Worker) drawn(share func(*Faults) float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := share(&w.faults)
	return s > 0 && w.rng.Float64() < s
}
