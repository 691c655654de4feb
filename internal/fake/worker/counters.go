package worker

import (
	"time"

	"gypsumstand/internal/fake/listen"
)

// Counters count requests since the start, by what became of them.
type Counters struct {
	// Received counts all requests for work.
	Received uint64 `json:"received"`
	// Started counts runs; each ends as one of Finished, Cancelled, Expired,
	// Failed.
	Started uint64 `json:"started"`
	// Finished runs were answered (whole or not, as faults had it).
	Finished uint64 `json:"finished"`
	// Cancelled runs ended because the caller gave up.
	Cancelled uint64 `json:"cancelled"`
	// Expired runs ended because their remaining time did.
	Expired uint64 `json:"expired"`
	// Failed runs were answered with an error: fail fast or a broken call to
	// another service.
	Failed uint64 `json:"failed"`
	// Shed requests were answered not run.
	Shed uint64 `json:"shed"`
	// LeftQueue counts requests that were cancelled or expired before they ran.
	LeftQueue uint64 `json:"left_queue"`
	// BrokenBody counts requests whose body did not arrive whole; they did not run.
	BrokenBody uint64 `json:"broken_body"`
	// OverSlots counts requests that found all slots taken.
	OverSlots uint64 `json:"over_slots"`
	// PeakRunning is the largest number of requests that ran at once.
	PeakRunning int `json:"peak_running"`
	// Cut, Crossed and Closed count answers spoilt by faults.
	Cut     uint64 `json:"cut"`
	Crossed uint64 `json:"crossed"`
	Closed  uint64 `json:"closed"`
	// Refused counts requests that met a cold worker's closed connections.
	Refused uint64 `json:"refused"`
	// Calls and CallsFailed count calls to other services.
	Calls       uint64 `json:"calls"`
	CallsFailed uint64 `json:"calls_failed"`
	// Measuring counts calls to the health and load endpoints, and
	// MeasuringPeak the most within one second.
	Measuring     uint64 `json:"measuring"`
	MeasuringPeak uint64 `json:"measuring_peak"`
	// Connections counts connections; zero without a listener.
	Connections listen.Counts `json:"connections"`
}

// Counters returns the counters as they stand.
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

// secondCount counts the measuring calls of the current second.
type secondCount struct {
	second int64
	calls  uint64
}

func (w *Worker) countMeasuring() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := time.Now().Unix(); s != w.second.second {
		w.second = secondCount{second: s}
	}
	w.second.calls++
	w.counters.Measuring++
	w.counters.MeasuringPeak = max(w.counters.MeasuringPeak, w.second.calls)
}
