package worker

import (
	"time"

	"gypsumstand/internal/fake/listen"
)

// Counters count requests since the worker was created, by outcome.
type Counters struct {
	// Received counts all requests except health and load probes.
	Received uint64 `json:"received"`
	// Started counts runs; each ends as one of Finished, Cancelled, Expired or Failed.
	Started uint64 `json:"started"`
	// Finished runs were answered, possibly with an answer that a fault altered or
	// dropped.
	Finished uint64 `json:"finished"`
	// Cancelled runs were aborted because the caller disconnected.
	Cancelled uint64 `json:"cancelled"`
	// Expired runs were aborted at the request's deadline.
	Expired uint64 `json:"expired"`
	// Failed runs were answered with an error, by the fail-fast fault or because a nested
	// call failed.
	Failed uint64 `json:"failed"`
	// Shed requests were rejected without being run.
	Shed uint64 `json:"shed"`
	// LeftQueue counts requests that were cancelled or timed out while they waited for a
	// slot.
	LeftQueue uint64 `json:"left_queue"`
	// BrokenBody counts requests whose headers were invalid or whose body did not arrive
	// completely; they did not run.
	BrokenBody uint64 `json:"broken_body"`
	// OverSlots counts requests that found no free slot.
	OverSlots uint64 `json:"over_slots"`
	// PeakRunning is the largest number of requests that ran concurrently.
	PeakRunning int `json:"peak_running"`
	// Cut, Crossed and Closed count answers that faults truncated, replaced by another
	// request's, and dropped by closing the connection.
	Cut     uint64 `json:"cut"`
	Crossed uint64 `json:"crossed"`
	Closed  uint64 `json:"closed"`
	// Refused counts requests aborted while the worker refused connections (ColdRefuse).
	Refused uint64 `json:"refused"`
	// Calls and CallsFailed count calls to other services.
	Calls       uint64 `json:"calls"`
	CallsFailed uint64 `json:"calls_failed"`
	// Measuring counts calls to the health and load endpoints, MeasuringPeak the most of
	// them within one second of the clock.
	Measuring     uint64 `json:"measuring"`
	MeasuringPeak uint64 `json:"measuring_peak"`
	// Connections counts connections; it is zero without a listener.
	Connections listen.Counts `json:"connections"`
}

// Counters returns a snapshot of the counters.
func (w *Worker) Counters() Counters {
	w.mu.Lock()
	out, l := w.counters, w.listener
	w.mu.Unlock()
	if l != nil {
		out.Connections = l.Counts()
	}
	return out
}

func (w *Worker) count(counter *uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*counter++
}

// secondCount counts the health and load probes of the current second.
type secondCount struct {
	second int64
	calls  uint64
}

func (w *Worker) countProbe() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := time.Now().Unix(); s != w.measuringSecond.second {
		w.measuringSecond = secondCount{second: s}
	}
	w.measuringSecond.calls++
	w.counters.Measuring++
	w.counters.MeasuringPeak = max(w.counters.MeasuringPeak, w.measuringSecond.calls)
}
