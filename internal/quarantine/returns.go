package quarantine

import "time"

// Times until a worker that ended is back.
const (
	// firstReturn is expected before any return was seen: the start of a usual process.
	firstReturn = 3 * time.Second
	// longestReturn is the longest that counts: a worker that is away for longer was replaced
	// by people.
	longestReturn = time.Minute
	// returnWeight is the part of a new observation in what is expected.
	returnWeight = 0.5
)

// returns learns how long the own worker takes to be back after an end. The zero value knows
// of none.
type returns struct {
	// ended is when the worker ended; zero while it is there. told is the last word of it.
	ended, told time.Time
	mean        time.Duration
}

// end takes that the worker has ended, or is still away.
func (r *returns) end(now time.Time) {
	r.told = now
	if r.ended.IsZero() {
		r.ended = now
	}
}

// back takes that the worker answers.
func (r *returns) back(now time.Time) {
	if r.ended.IsZero() {
		return
	}
	took := now.Sub(r.ended)
	r.ended = time.Time{}
	switch {
	case took > longestReturn:
	case r.mean == 0:
		r.mean = took
	default:
		r.mean += time.Duration(returnWeight * float64(took-r.mean))
	}
}

// expected returns how long a worker of the service is expected to be away.
func (r *returns) expected() time.Duration {
	if r.mean == 0 {
		return firstReturn
	}
	return r.mean
}

// left returns how much longer one that ended an age ago is expected to be away.
func (r *returns) left(age time.Duration) time.Duration { return max(r.expected()-age, 0) }
