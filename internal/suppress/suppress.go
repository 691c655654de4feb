// Package suppress decides when a node should read a platform source itself.
// All nodes want a source read about once a second, and none of them alone is
// in charge of it: whoever reads tells the others how long ago that was, which
// silences their timers. The loss of a reader, or a partition, only makes
// another timer fire. Design: docs/DESIGN.md, "Bundle spread".
//
// # Ages
//
// Nodes have no common clock, so times travel as ages. A node that passes an age
// on adds the time for which it held it, so an age only grows on its way. What a
// message waits in a buffer is not in its age; the receiver adds an upper bound
// of that wait when it has one (as for heartbeats with an echoed clock). Where
// it has none, an age may be too small by the wait, and a source is then read
// later by at most that wait. After a pause of d, messages that waited are taken
// to be older by d (see Paused).
//
// # Storms
//
// With no read heard of for more than the interval, each node fires at random at
// a rate that falls with the believed size of the fleet, so the fleet's total
// rate does not depend on its size. The rate doubles with further silence, since
// silence means that fewer nodes share the view than believed.
package suppress

import (
	"math"
	"math/rand/v2"
	"time"
)

// Timing of a Timer.
const (
	// ReadInterval is the age of the last attempt up to which nobody reads.
	ReadInterval = time.Second
	// MaxFailedInterval bounds the interval while reads fail; it grows with the
	// time since the last success (doubling by its own effect).
	MaxFailedInterval = 4 * time.Second
	// MeanFirstDelay is the expected time from the interval's end to the first read
	// in a fleet whose size is believed rightly.
	MeanFirstDelay = 50 * time.Millisecond
	// RateDoubling is the further silence after which the rate has doubled.
	RateDoubling = 500 * time.Millisecond
	// A node fires for certain after a silence drawn from ForcedReadMin to ForcedReadMax, or an
	// earlier one of its Pace, so a lone node reads although it believes in a large fleet.
	ForcedReadMin = 2 * time.Second
	ForcedReadMax = 3 * time.Second
	// MaxWakeDelay bounds the random wait after a start or a pause.
	MaxWakeDelay = time.Second
	// wakeDoubt is how long after a pause heard ages are raised by the pause.
	wakeDoubt = time.Second
	// inFlightLimit ends the wait for an own read whose end is never told.
	inFlightLimit = 10 * time.Second
	// failureJitter is the share by which an interval is stretched at random
	// while reads fail.
	failureJitter = 0.5
	// maxFailureShift bounds how much own failures lower the own rate (2^-shift),
	// so that nodes which can reach the source are more likely to read it.
	maxFailureShift = 6
)

// Never is the age of what has not happened.
const Never = time.Duration(math.MaxInt64)

// Timer decides for one source. It is not safe for concurrent use.
type Timer struct {
	rng  *rand.Rand
	pace Schedule
	// started is the time of the first call.
	started time.Time
	// attempt and confirmed are the newest known times by anyone; zero for none.
	attempt   time.Time
	confirmed time.Time
	// notBefore holds the timer back after a start or a pause. pausedAt is the pause after
	// which that was done last.
	notBefore time.Time
	pausedAt  time.Time
	// checked is the end of the span whose hazard has been drawn.
	checked time.Time
	// lone is the drawn silence after which this node fires for certain.
	lone time.Duration
	// stretch is the drawn factor of the interval while reads fail.
	stretch float64
	// reading is the start of an own read in flight; zero for none.
	reading  time.Time
	failures int
	reads    uint64
	// Until doubtUntil, heard ages are raised by doubt.
	doubt      time.Duration
	doubtUntil time.Time
}

// Schedule is how often a source is read.
type Schedule struct {
	// Interval is the age of the last attempt up to which nobody reads, MeanFirstDelay
	// the expected time from its end to the fleet's first read.
	Interval, MeanFirstDelay time.Duration
	// MaxFailedInterval bounds the interval while reads fail.
	MaxFailedInterval time.Duration
	// ForcedAfter is the silence after which a node that shares the source with nobody fires
	// for certain; ForcedPerDoubling is added for each doubling of the nodes that share it, up
	// to ForcedReadMin to ForcedReadMax. Zero means these always.
	ForcedAfter, ForcedPerDoubling time.Duration
}

// New returns a timer of the usual pace that has heard of no attempt. It starts at
// its first call.
func New(rng *rand.Rand) *Timer {
	return NewWithSchedule(rng, Schedule{Interval: ReadInterval, MeanFirstDelay: MeanFirstDelay, MaxFailedInterval: MaxFailedInterval})
}

// NewWithSchedule returns a timer of another pace.
func NewWithSchedule(rng *rand.Rand, p Schedule) *Timer {
	t := &Timer{rng: rng, pace: p}
	t.redraw()
	return t
}

// ObservePeer takes a peer's ages of the last attempt and the last success, Never for
// none. They must be upper bounds as far as the caller can tell.
func (t *Timer) ObservePeer(now time.Time, attemptAge, confirmedAge time.Duration) {
	t.start(now)
	if now.Before(t.doubtUntil) {
		attemptAge = addAge(attemptAge, t.doubt)
		confirmedAge = addAge(confirmedAge, t.doubt)
	}
	t.noteConfirmed(timeOf(now, confirmedAge))
	t.noteAttempt(timeOf(now, attemptAge))
}

// ReadDone takes the end of this node's own read. A success confirms the source as of
// the read's start; a failure counts as an attempt now, or when it began (ReadFailed).
func (t *Timer) ReadDone(now time.Time, ok bool) {
	t.start(now)
	begun := t.reading
	if begun.IsZero() {
		begun = now
	}
	if ok {
		t.ReadSucceeded(now, begun)
		return
	}
	t.ReadFailed(now, now)
}

// ReadFailed takes the end of a read of this node's own that failed and began at a time
// which the caller knows: one that hung is repeated the sooner.
func (t *Timer) ReadFailed(now, begun time.Time) {
	t.start(now)
	t.reading = time.Time{}
	t.failures++
	t.noteAttempt(begun)
}

// ReadSucceeded takes the end of a read of this node's own that succeeded and began at a
// time which the caller knows; other reads than those that Due told to begin are taken
// thus.
func (t *Timer) ReadSucceeded(now, begun time.Time) {
	t.start(now)
	t.reading = time.Time{}
	t.failures = 0
	t.noteConfirmed(begun)
	t.noteAttempt(begun)
}

// ResetFailures takes that this node's own failed reads were too long ago to tell anything.
func (t *Timer) ResetFailures() { t.failures = 0 }

// Due reports whether this node should read now, and if so counts the read as
// begun. It is called every tick; fleetSize is the number of nodes that are
// believed to read the source in turn, this one included.
func (t *Timer) Due(now time.Time, fleetSize int) bool {
	t.start(now)
	if !t.reading.IsZero() && now.Sub(t.reading) < inFlightLimit {
		return false
	}
	if !t.fires(now, max(fleetSize, 1)) {
		return false
	}
	t.reading = now
	t.reads++
	t.noteAttempt(now)
	return true
}

// ProcessPaused says that the process stood still for d until now. Nothing is
// forgotten, but the timer is held back by a random time, once until the next attempt, so
// that processes that woke together do not read together, and what waited in buffers is taken
// to be older by d.
func (t *Timer) ProcessPaused(now time.Time, d time.Duration) {
	t.start(now)
	// Standstills in series would hold it back for ever.
	if t.pausedAt.IsZero() || t.attempt.After(t.pausedAt) {
		t.holdBack(now)
		t.pausedAt = now
	}
	t.doubt = d
	t.doubtUntil = now.Add(wakeDoubt)
}

// HostSuspended says that the machine was suspended for d, which the caller's clock did not
// count: all that is known is older by d.
func (t *Timer) HostSuspended(d time.Duration) {
	for _, at := range []*time.Time{&t.attempt, &t.confirmed, &t.checked, &t.pausedAt} {
		if !at.IsZero() {
			*at = at.Add(-d)
		}
	}
}

// Ages returns the ages of the last attempt and the last success by anyone, as
// far as known, for a beacon; Never for none.
func (t *Timer) Ages(now time.Time) (attempt, confirmed time.Duration) {
	return ageOf(now, t.attempt), ageOf(now, t.confirmed)
}

// LastSuccess returns the time of the last known success by anyone; zero for none.
func (t *Timer) LastSuccess() time.Time { return t.confirmed }

// ReadCount counts this node's own reads so far.
func (t *Timer) ReadCount() uint64 { return t.reads }

// Failing reports whether the last known attempt came after the last success
// by more than the interval.
func (t *Timer) Failing() bool { return t.failing() > t.pace.Interval }

func (t *Timer) start(now time.Time) {
	if !t.started.IsZero() {
		return
	}
	t.started = now
	t.holdBack(now)
}

// Postpone keeps the timer from firing before a random time from least to twice
// least after now: for a fresh node, which is likely to hear of a read by a peer
// once its first links are open.
func (t *Timer) Postpone(now time.Time, least time.Duration) {
	t.start(now)
	t.notBefore = now.Add(least + time.Duration(t.rng.Int64N(int64(least))))
}

func (t *Timer) holdBack(now time.Time) {
	t.notBefore = now.Add(time.Duration(t.rng.Int64N(int64(MaxWakeDelay))))
	t.redraw()
}

// fires draws whether the hazard since the last draw strikes by now.
func (t *Timer) fires(now time.Time, fleetSize int) bool {
	quiet := t.quietUntil()
	if !now.After(quiet) {
		return false
	}
	from := quiet
	if t.checked.After(from) {
		from = t.checked
	}
	t.checked = now
	silence := now.Sub(quiet)
	if silence >= t.certain(fleetSize) {
		return true
	}
	hazard := t.hazard(silence, fleetSize) - t.hazard(from.Sub(quiet), fleetSize)
	return t.rng.Float64() < -math.Expm1(-hazard)
}

// certain is the silence after which this node fires for certain.
func (t *Timer) certain(fleetSize int) time.Duration {
	switch {
	case t.pace.ForcedAfter == 0:
		return t.lone
	case t.failures > 0:
		// They share the trying: whoever is served again tells the others.
		return min(t.lone, time.Duration(fleetSize)*t.pace.ForcedAfter)
	}
	return min(t.lone, t.pace.ForcedAfter+time.Duration(math.Log2(float64(fleetSize))*float64(t.pace.ForcedPerDoubling)))
}

// hazard is the integral of the firing rate over a silence: a rate of
// 1/(fleetSize*MeanFirstDelay) that doubles every Doubling.
func (t *Timer) hazard(silence time.Duration, fleetSize int) float64 {
	growth := math.Ln2 / RateDoubling.Seconds()
	rate := 1 / (float64(fleetSize) * t.pace.MeanFirstDelay.Seconds())
	rate /= float64(uint(1) << min(t.failures, maxFailureShift))
	return rate * math.Expm1(growth*silence.Seconds()) / growth
}

// quietUntil is the time up to which nobody need read.
func (t *Timer) quietUntil() time.Time {
	if t.attempt.IsZero() {
		return t.notBefore
	}
	until := t.attempt.Add(t.interval())
	if until.Before(t.notBefore) {
		return t.notBefore
	}
	return until
}

// interval is the time between attempts. While they fail it is as long as they
// have failed, within bounds: all nodes that share the ages compute it alike.
func (t *Timer) interval() time.Duration {
	failing := t.failing()
	if failing <= t.pace.Interval {
		return t.pace.Interval
	}
	return time.Duration(t.stretch * float64(min(failing, t.pace.MaxFailedInterval)))
}

// failing is the time from the last success, or else the start, to the last
// attempt.
func (t *Timer) failing() time.Duration {
	since := t.confirmed
	if since.IsZero() {
		since = t.started
	}
	if t.attempt.IsZero() {
		return 0
	}
	return t.attempt.Sub(since)
}

func (t *Timer) noteAttempt(at time.Time) {
	if !at.After(t.attempt) {
		return
	}
	t.attempt = at
	t.redraw()
}

func (t *Timer) noteConfirmed(at time.Time) {
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

func (t *Timer) redraw() {
	t.lone = ForcedReadMin + time.Duration(t.rng.Int64N(int64(ForcedReadMax-ForcedReadMin)))
	t.stretch = 1 + failureJitter*t.rng.Float64()
}

// timeOf returns the time that lies age before now; zero for Never.
func timeOf(now time.Time, age time.Duration) time.Time {
	if age == Never {
		return time.Time{}
	}
	return now.Add(-max(age, 0))
}

// ageOf returns the age of at; Never for the zero time.
func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return Never
	}
	return max(now.Sub(at), 0)
}

// addAge adds d to an age and leaves Never as it is.
func addAge(age, d time.Duration) time.Duration {
	if age > Never-d {
		return Never
	}
	return age + d
}
