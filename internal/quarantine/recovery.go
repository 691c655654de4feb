package quarantine

import "time"

// Bounds and weights for the expected recovery time.
const (
	// initialRecovery is expected before any recovery was observed: the start-up time of a
	// typical process.
	initialRecovery = 3 * time.Second
	// maxRecovery is the longest recovery that is averaged: a worker that is down for
	// longer was replaced by an operator.
	maxRecovery = time.Minute
	// recoveryWeight is the weight of a new observation in the average.
	recoveryWeight = 0.5
)

// recovery estimates how long this node's worker takes to recover from a crash. The zero
// value has no observations.
type recovery struct {
	// crashedAt is when the worker crashed, zero while it is up; lastReport is the latest
	// report of that crash.
	crashedAt, lastReport time.Time
	mean                  time.Duration
}

// crashed records that the worker has crashed or is still down.
func (r *recovery) crashed(now time.Time) {
	r.lastReport = now
	if r.crashedAt.IsZero() {
		r.crashedAt = now
	}
}

// recovered records that the worker responds.
func (r *recovery) recovered(now time.Time) {
	if r.crashedAt.IsZero() {
		return
	}
	took := now.Sub(r.crashedAt)
	r.crashedAt = time.Time{}
	switch {
	case took > maxRecovery:
	case r.mean == 0:
		r.mean = took
	default:
		r.mean += time.Duration(recoveryWeight * float64(took-r.mean))
	}
}

// expected returns how long a worker of the service is expected to be down.
func (r *recovery) expected() time.Duration {
	if r.mean == 0 {
		return initialRecovery
	}
	return r.mean
}

// remaining returns how much longer a worker is expected to be down; sinceCrash is the time
// since its crash.
func (r *recovery) remaining(sinceCrash time.Duration) time.Duration {
	return max(r.expected()-sinceCrash, 0)
}
