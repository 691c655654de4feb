package worker

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"gypsumstand/internal/model"
)

// Report is the JSON of the health and load endpoints.
type Report struct {
	// State is "cold", "live" or "leaving" (names of model.UpstreamState).
	State string `json:"state"`
	Slots int    `json:"slots"`
	// Running and Waiting are the numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Bounds of the remembered reports: the newest per step of time.
const (
	historyStep = 10 * time.Millisecond
	historySize = 8192
)

// MaxReportLag is how late a report can be made.
const MaxReportLag = historySize * historyStep / 2

type sample struct {
	at     time.Time
	report Report
}

// history holds the reports of the last MaxReportLag at least, oldest first.
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

// asOf returns the newest report from at or before, or the oldest there is.
func (h *history) asOf(at time.Time) Report {
	n := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].at.After(at) })
	return h.samples[max(n-1, 0)].report
}

// record remembers the worker's state for late reports.
func (w *Worker) record() {
	running, waiting := w.slots.load()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.add(time.Now(), w.reportOf(running, waiting))
}

// reportOf makes a true report; the caller holds the lock.
func (w *Worker) reportOf(running, waiting int) Report {
	state := model.StateLive
	switch {
	case w.faults.Cold != ColdNone:
		state = model.StateCold
	case w.faults.Draining:
		state = model.StateLeaving
	}
	return Report{State: state.String(), Slots: w.cfg.Slots, Running: running, Waiting: waiting}
}

// report returns what the endpoints say: late, and with the lies in force.
func (w *Worker) report() Report {
	running, waiting := w.slots.load()
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.reportOf(running, waiting)
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

// serveHealth answers 200 when the report says live, else 503.
func (w *Worker) serveHealth(rw http.ResponseWriter, r *http.Request) {
	w.measure(r)
	report := w.report()
	status := http.StatusOK
	if report.State != model.StateLive.String() {
		status = http.StatusServiceUnavailable
	}
	writeJSON(rw, status, report)
}

func (w *Worker) serveLoad(rw http.ResponseWriter, r *http.Request) {
	w.measure(r)
	writeJSON(rw, http.StatusOK, w.report())
}

// measure counts a measuring call and plays the faults that keep it from being
// answered.
func (w *Worker) measure(r *http.Request) {
	w.countMeasuring()
	countOnConnection(r)
	w.awaitPause()
	if w.Faults().Cold == ColdRefuse {
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v) // the reader is gone when this fails
}
