package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms: microseconds, three significant digits.
const (
	lowestLatency  = 1
	highestLatency = int64(30 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// latencies is a histogram that is safe for concurrent use.
type latencies struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{hist: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

// add records d; what is over the histogram's bound counts as the bound.
func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	us := min(max(d.Microseconds(), lowestLatency), highestLatency)
	_ = l.hist.RecordValue(us) // within the bounds
}

func (l *latencies) merge(from *latencies) { l.hist.Merge(from.hist) }

// Quantiles describe a histogram of latencies in microseconds.
type Quantiles struct {
	Count  int64   `json:"count"`
	MeanUs float64 `json:"mean_us"`
	P50Us  int64   `json:"p50_us"`
	P90Us  int64   `json:"p90_us"`
	P99Us  int64   `json:"p99_us"`
	P999Us int64   `json:"p999_us"`
	MaxUs  int64   `json:"max_us"`
}

func (l *latencies) quantiles() Quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hist
	return Quantiles{
		Count:  h.TotalCount(),
		MeanUs: h.Mean(),
		P50Us:  h.ValueAtQuantile(50),
		P90Us:  h.ValueAtQuantile(90),
		P99Us:  h.ValueAtQuantile(99),
		P999Us: h.ValueAtQuantile(99.9),
		MaxUs:  h.Max(),
	}
}

// Counts count requests by what came of them.
type Counts struct {
	// Sent counts requests, each once; it is the sum of the counts up to Unsent.
	Sent int64 `json:"sent"`
	// Answered: the whole answer to this very request.
	Answered int64 `json:"answered"`
	// WorkerErrors: a worker's own error, passed through as answered.
	WorkerErrors int64 `json:"worker_errors"`
	NotRun       int64 `json:"not_run"`
	Unknown      int64 `json:"unknown"`
	// Broken: no answer, or one that visibly broke off.
	Broken int64 `json:"broken"`
	// Unreachable: no connection could be had.
	Unreachable int64 `json:"unreachable"`
	// Wrong: an answer that is another request's or altered. A broken promise.
	Wrong int64 `json:"wrong"`
	// Cut: an answer that ended as if whole but was not. A broken promise.
	Truncated int64 `json:"cut"`
	// Malformed: no outcome, or one that contradicts the status.
	Malformed int64 `json:"malformed"`
	// Unsent: the time ran out before the bound on requests in flight allowed
	// the sending.
	Unsent int64 `json:"unsent"`

	// InDeadline counts the answered within the timeout from the intended time.
	InDeadline int64 `json:"in_deadline"`
	// Worth is the sum of the worth of InDeadline, WorthSent of all requests.
	Worth     float64 `json:"worth"`
	WorthSent float64 `json:"worth_sent"`
	// Resends counts sendings after a not-run.
	Resends int64 `json:"resends"`
	// Copies counts sendings of a second caller, CopiesCorrupted those of them whose
	// answer was wrong or cut: a broken promise.
	Copies          int64 `json:"copies"`
	CopiesCorrupted int64 `json:"copies_spoilt"`
}

// of returns the counter of a verdict.
func (c *Counts) of(v verdict) *int64 {
	return [verdictCount]*int64{
		verdictAnswered:    &c.Answered,
		verdictWorkerError: &c.WorkerErrors,
		verdictNotRun:      &c.NotRun,
		verdictUnknown:     &c.Unknown,
		verdictBroken:      &c.Broken,
		verdictUnreachable: &c.Unreachable,
		verdictWrong:       &c.Wrong,
		verdictCut:         &c.Truncated,
		verdictMalformed:   &c.Malformed,
		verdictUnsent:      &c.Unsent,
	}[v]
}

func (c *Counts) add(o Counts) {
	c.Sent += o.Sent
	for v := range verdictCount {
		*c.of(v) += *o.of(v)
	}
	c.InDeadline += o.InDeadline
	c.Worth += o.Worth
	c.WorthSent += o.WorthSent
	c.Resends += o.Resends
	c.Copies += o.Copies
	c.CopiesCorrupted += o.CopiesCorrupted
}

// recorder holds the measurements of a stream, or of several.
type recorder struct {
	mu     sync.Mutex
	counts Counts
	// answered holds the latencies of right answers, all those of every request
	// up to whatever its end was.
	answered *latencies
	all      *latencies
	// fromSend holds the latencies of right answers from the first sending.
	fromSend *latencies
}

func newRecorder() *recorder {
	return &recorder{answered: newLatencies(), all: newLatencies(), fromSend: newLatencies()}
}

// record counts a request that ended after latency from its intended time; it
// was sent late by late.
func (r *recorder) record(s *Stream, v verdict, latency, late time.Duration, resends int) {
	r.all.add(latency)
	if v == verdictAnswered {
		r.answered.add(latency)
		r.fromSend.add(latency - late)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
	*r.counts.of(v)++
	r.counts.WorthSent += s.Worth
	r.counts.Resends += int64(resends)
	if v == verdictAnswered && latency <= s.timeout() {
		r.counts.InDeadline++
		r.counts.Worth += s.Worth
	}
}

// recordCopy counts a copy.
func (r *recorder) recordCopy(v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Copies++
	if v == verdictWrong || v == verdictCut {
		r.counts.CopiesCorrupted++
	}
}

// merge adds from's measurements; nobody may record meanwhile.
func (r *recorder) merge(from *recorder) {
	r.counts.add(from.counts)
	r.answered.merge(from.answered)
	r.all.merge(from.all)
	r.fromSend.merge(from.fromSend)
}
