package worker

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"gypsumstand/internal/model"
)

// Report is the JSON body of the health and load endpoints.
type Report struct {
	// State is "cold", "live" or "leaving" (names of model.UpstreamState).
	State string `json:"state"`
	Slots int    `json:"slots"`
	// Running and Waiting are the numbers of requests that run and that wait for a slot.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Bounds of the report history: one report per step, up to historySize steps.
const (
	historyStep = 10 * time.Millisecond
	historySize = 8192
)

// MaxReportLag is the longest lag for which the history holds a report.
const MaxReportLag = historySize * historyStep / 2

type sample struct {
	at     time.Time
	report Report
}

// history holds the reports of at least the last MaxReportLag, oldest first.
type history struct{ samples []sample }

func (h *history) add(now time.Time, r Report) {
	n := len(h.samples)
	if n > 0 && now.Sub(h.samples[n-1].at) < historyStep {
		h.samples[n-1].report = r
		return
	}
	if n >= historySize {
		h.samples = append([]sample(nil), h.samples[n/2:]...)
	}
	h.samples = append(h.samples, sample{at: now, report: r})
}

// asOf returns the newest report made no later than at, or else the oldest.
func (h *history) asOf(at time.Time) Report {
	n := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].at.After(at) })
	return h.samples[max(n-1, 0)].report
}

// recordReport adds the worker's current report to the history, for lagging endpoints.
func (w *Worker) recordReport() {
	running, waiting := w.slots.load()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.add(time.Now(), w.currentReport(running, waiting))
}

// currentReport returns a report without lag or overrides; the caller holds w.mu.
func (w *Worker) currentReport(running, waiting int) Report {
	state := model.StateLive
	switch {
	case w.faults.Cold != ColdNone:
		state = model.StateCold
	case w.faults.Draining:
		state = model.StateLeaving
	}
	return Report{State: state.String(), Slots: w.cfg.Slots, Running: running, Waiting: waiting}
}

// report returns what the endpoints show, with the active lag and overrides applied.
func (w *Worker) report() Report {
	running, waiting := w.slots.load()
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.currentReport(running, waiting)
	if lag := time.Duration(w.faults.ReportLagMs) * time.Millisecond; lag > 0 {
		out = w.history.asOf(time.Now().Add(-lag))
	}
	if healthy := w.faults.LieHealthy; healthy != nil {
		out.State = model.StateCold.String()
		if *healthy {
			out.State = model.StateLive.String()
		}
	}
	if w.faults.LieRunning != nil {
		out.Running = *w.faults.LieRunning
	}
	return out
}

// serveHealth responds with 200 if the report's state is live, else with 503.
func (w *Worker) serveHealth(rw http.ResponseWriter, r *http.Request) {
	w.handleProbe(r)
	report := w.report()
	status := http.StatusOK
	if report.State != model.StateLive.String() {
		status = http.StatusServiceUnavailable
	}
	writeJSON(rw, status, report)
}

func (w *Worker) serveLoad(rw http.ResponseWriter, r *http.Request) {
	w.handleProbe(r)
	writeJSON(rw, http.StatusOK, w.report())
}

// handleProbe counts a health or load probe and applies the faults that delay or abort
// it.
func (w *Worker) handleProbe(r *http.Request) {
	w.countProbe()
	countOnConnection(r)
	w.waitForPause()
	if w.Faults().Cold == ColdRefuse {
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v) // fails only if the reader disconnected
}
