package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds, and their precision in significant digits.
const (
	minLatencyUs  = 1
	maxLatencyUs  = int64(30 * time.Minute / time.Microsecond)
	latencyDigits = 3
)

// latencyHistogram is a latency histogram that is safe for concurrent use.
type latencyHistogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{hist: hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits)}
}

// add records d, clamped to the range of the histogram.
func (l *latencyHistogram) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	us := min(max(d.Microseconds(), minLatencyUs), maxLatencyUs)
	_ = l.hist.RecordValue(us) // us is within the range
}

func (l *latencyHistogram) merge(from *latencyHistogram) { l.hist.Merge(from.hist) }

// Quantiles describes a latency histogram, in microseconds.
type Quantiles struct {
	Count  int64   `json:"count"`
	MeanUs float64 `json:"mean_us"`
	P50Us  int64   `json:"p50_us"`
	P90Us  int64   `json:"p90_us"`
	P99Us  int64   `json:"p99_us"`
	P999Us int64   `json:"p999_us"`
	MaxUs  int64   `json:"max_us"`
}

func (l *latencyHistogram) quantiles() Quantiles {
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

// Counts counts requests by their result.
type Counts struct {
	// Sent counts each request once; it is the sum of the counts from Answered to Unsent.
	Sent int64 `json:"sent"`
	// Answered counts complete responses that belong to their request.
	Answered int64 `json:"answered"`
	// WorkerErrors counts errors of workers themselves, passed through as responses.
	WorkerErrors int64 `json:"worker_errors"`
	NotRun       int64 `json:"not_run"`
	Unknown      int64 `json:"unknown"`
	// Broken counts requests without a response or with one that was visibly interrupted.
	Broken int64 `json:"broken"`
	// Unreachable counts requests whose connection could not be established.
	Unreachable int64 `json:"unreachable"`
	// Wrong counts responses that belong to another request or were altered, which
	// violates a guarantee.
	Wrong int64 `json:"wrong"`
	// Truncated counts responses that ended early although their framing looked complete,
	// which violates a guarantee.
	Truncated int64 `json:"cut"`
	// Malformed counts responses whose outcome is missing or contradicts the status.
	Malformed int64 `json:"malformed"`
	// Unsent counts requests whose timeout expired while they waited for the limit on
	// requests in flight.
	Unsent int64 `json:"unsent"`

	// InDeadline counts the requests answered within the timeout from the intended time.
	InDeadline int64 `json:"in_deadline"`
	// Worth is the total worth of the requests in InDeadline, WorthSent that of all
	// requests.
	Worth     float64 `json:"worth"`
	WorthSent float64 `json:"worth_sent"`
	// Resends counts submissions repeated after the outcome not-run.
	Resends int64 `json:"resends"`
	// Copies counts the submissions of second callers, CopiesCorrupted those whose
	// response was wrong or truncated, which violates a guarantee.
	Copies          int64 `json:"copies"`
	CopiesCorrupted int64 `json:"copies_spoilt"`
}

// counter returns the counter of a result kind.
func (c *Counts) counter(kind resultKind) *int64 {
	return [resultKindCount]*int64{
		resultAnswered:    &c.Answered,
		resultWorkerError: &c.WorkerErrors,
		resultNotRun:      &c.NotRun,
		resultUnknown:     &c.Unknown,
		resultBroken:      &c.Broken,
		resultUnreachable: &c.Unreachable,
		resultWrong:       &c.Wrong,
		resultTruncated:   &c.Truncated,
		resultMalformed:   &c.Malformed,
		resultUnsent:      &c.Unsent,
	}[kind]
}

func (c *Counts) add(o Counts) {
	c.Sent += o.Sent
	for v := range resultKindCount {
		*c.counter(v) += *o.counter(v)
	}
	c.InDeadline += o.InDeadline
	c.Worth += o.Worth
	c.WorthSent += o.WorthSent
	c.Resends += o.Resends
	c.Copies += o.Copies
	c.CopiesCorrupted += o.CopiesCorrupted
}

// recorder collects the measurements of one or more streams.
type recorder struct {
	mu     sync.Mutex
	counts Counts
	// answered holds the latencies of correct responses, all those of every request
	// whatever its result.
	answered *latencyHistogram
	all      *latencyHistogram
	// fromSend holds the latencies of correct responses, counted from the first
	// submission.
	fromSend *latencyHistogram
}

func newRecorder() *recorder {
	return &recorder{answered: newLatencyHistogram(), all: newLatencyHistogram(), fromSend: newLatencyHistogram()}
}

// record counts a request that completed latency after its intended time; late is the
// delay of its first submission.
func (r *recorder) record(s *Stream, kind resultKind, latency, late time.Duration, resends int) {
	r.all.add(latency)
	if kind == resultAnswered {
		r.answered.add(latency)
		r.fromSend.add(latency - late)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
	*r.counts.counter(kind)++
	r.counts.WorthSent += s.Worth
	r.counts.Resends += int64(resends)
	if kind == resultAnswered && latency <= s.timeout() {
		r.counts.InDeadline++
		r.counts.Worth += s.Worth
	}
}

// recordCopy counts the submission of a second caller.
func (r *recorder) recordCopy(kind resultKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Copies++
	if kind == resultWrong || kind == resultTruncated {
		r.counts.CopiesCorrupted++
	}
}

// merge adds the measurements of from. Neither recorder may be in use.
func (r *recorder) merge(from *recorder) {
	r.counts.add(from.counts)
	r.answered.merge(from.answered)
	r.all.merge(from.all)
	r.fromSend.merge(from.fromSend)
}
