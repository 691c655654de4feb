package route

import (
	"time"

	"gypsumstand/internal/model"
)

// receivedReport is the last report received from an upstream's owner; it is immutable.
type receivedReport struct {
	report     model.LoadReport
	receivedAt int64
	// countedSends is the number of own sends that the report includes.
	countedSends uint64
}

// retiredReport marks the cell of an upstream that is in no picker any more.
var retiredReport = &receivedReport{}

// ownerClock returns a lower bound of the owner's clock at time now.
func (r *receivedReport) ownerClock(now int64) time.Duration {
	if r == retiredReport {
		return 0
	}
	passed := max(0, now-r.receivedAt)
	allowance := (passed + maxDriftInverse - 1) / maxDriftInverse
	return r.report.Clock + time.Duration(passed-allowance)
}

// contribution returns what a report adds to its service's statistics.
func (r *receivedReport) contribution() (reports, utilisation, serviceTime int64) {
	if r == nil || r == retiredReport || r.report.State != model.StateLive || r.report.Limit == 0 {
		return 0, 0, 0
	}
	if r.report.FailureRate > maxFailureForServiceTime || r.report.ServiceTime <= 0 {
		return 0, 0, 0
	}
	load := int64(r.report.InFlight) + int64(r.report.Queued)
	return 1, load * fixedPoint / int64(r.report.Limit), int64(r.report.ServiceTime)
}

// expectedOwnerTime is the expected time of an attempt at the owner when the report was
// made, in nanoseconds.
func (r *receivedReport) expectedOwnerTime() float64 {
	limit := float64(max(1, r.report.Limit))
	ahead := float64(r.report.InFlight) + float64(r.report.Queued) + 1 - limit
	return float64(r.report.ServiceTime) * (1 + max(0, ahead)/limit)
}
