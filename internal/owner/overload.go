package owner

import "time"

// overloadGap is the longest time between two refusals for load of the same overload.
const overloadGap = 300 * time.Millisecond

// overloadSpan tracks how long an owner has been refusing for load. An overload that has
// lasted for some time is expected to last as long again: callers that retry sooner are
// mostly refused again, and have spent one of their few retries. Times are on the owner's
// clock.
type overloadSpan struct {
	since, last time.Duration
}

// recordRefusal records a refusal for load and returns how long the overload has lasted.
func (o *overloadSpan) recordRefusal(t time.Duration) time.Duration {
	if t-o.last > overloadGap {
		o.since = t
	}
	o.last = t
	return t - o.since
}
