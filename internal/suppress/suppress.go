// Package suppress decides when a node should read a platform source itself. All nodes need
// a source to be read about once a second, and no node is in charge of it: a node that
// reads reports to the others how long ago that was, which suppresses their timers. If a
// reader fails or the network is partitioned, another timer fires.
// Design: docs/DESIGN.md, "Bundle spread".
//
// # Ages
//
// Nodes have no common clock, so times are sent as ages. A node that forwards an age adds
// the time for which it held it, so that an age only grows in transit. The time that a
// message spends in a buffer is not included; the receiver adds an upper bound of it if it
// has one (as for heartbeats with an echoed clock). Otherwise an age may be too small by
// that time, and a source is then read later by at most that time. After a pause of d, the
// ages in buffered messages are raised by d (see Timer.ProcessPaused).
//
// # Storms
//
// If no read was reported for more than the interval, each node fires at random at a rate
// that is inversely proportional to the assumed size of the fleet, so that the total rate
// doesn't depend on the size. The rate grows exponentially with further silence, as silence
// means that fewer nodes share the view than assumed.
package suppress

import (
	"math"
	"math/rand/v2"
	"time"
)

// Timing of a Timer.
const (
	// ReadInterval is the age of the last attempt up to which no node reads.
	ReadInterval = time.Second
	// MaxFailedInterval bounds the interval while reads fail; the interval is the time
	// since the last success and so doubles with every attempt.
	MaxFailedInterval = 4 * time.Second
	// MeanFirstDelay is the expected time from the end of the interval to the first read,
	// if the assumed size of the fleet is right.
	MeanFirstDelay = 50 * time.Millisecond
	// RateDoubling is the further silence after which the rate has doubled.
	RateDoubling = 500 * time.Millisecond
	// A node reads for certain after a silence drawn from ForcedReadMin to ForcedReadMax,
	// or a shorter one by its Schedule, so that an isolated node reads although it assumes
	// a large fleet.
	ForcedReadMin = 2 * time.Second
	ForcedReadMax = 3 * time.Second
	// MaxWakeDelay bounds the random delay after a start or a pause.
	MaxWakeDelay = time.Second
	// pauseCorrectionTime is how long after a pause received ages are raised by the pause.
	pauseCorrectionTime = time.Second
	// maxReadTime is the time after which an own read counts as lost if its end was not
	// reported.
	maxReadTime = 10 * time.Second
	// failedIntervalJitter is the share by which the interval is randomly extended while
	// reads fail.
	failedIntervalJitter = 0.5
	// maxFailureShift bounds how much own failures lower the own rate (by 2^-shift), so that
	// nodes that can reach the source are more likely to read it.
	maxFailureShift = 6
)

// Never is the age of an event that has not happened.
const Never = time.Duration(math.MaxInt64)

// Timer decides when this node reads one source. It is not safe for concurrent use.
type Timer struct {
	rng      *rand.Rand
	schedule Schedule
	// started is the time of the first call.
	started time.Time
	// lastAttempt and lastSuccess are the latest known times of any node; zero for none.
	lastAttempt time.Time
	lastSuccess time.Time
	// notBefore delays the timer after a start or a pause; pausedAt is the last pause that
	// set it.
	notBefore time.Time
	pausedAt  time.Time
	// hazardDrawnUntil is the end of the time span for which firing was already drawn.
	hazardDrawnUntil time.Time
	// forcedAfter is the drawn silence after which this node reads for certain.
	forcedAfter time.Duration
	// intervalFactor is the drawn factor of the interval while reads fail.
	intervalFactor float64
	// readStarted is the start of an own read in flight; zero for none.
	readStarted time.Time
	failures    int
	reads       uint64
	// Until pauseCorrectionUntil, received ages are raised by pauseCorrection.
	pauseCorrection      time.Duration
	pauseCorrectionUntil time.Time
}

// Schedule is how often a source is read.
type Schedule struct {
	// Interval is the age of the last attempt up to which no node reads, MeanFirstDelay the
	// expected time from its end to the fleet's first read.
	Interval, MeanFirstDelay time.Duration
	// MaxFailedInterval bounds the interval while reads fail.
	MaxFailedInterval time.Duration
	// ForcedAfter is the silence after which a node that shares the source with no other
	// node reads for certain. ForcedPerDoubling is added for each doubling of the nodes
	// that share it, up to the silence drawn from ForcedReadMin to ForcedReadMax. A zero
	// ForcedAfter means that drawn silence always.
	ForcedAfter, ForcedPerDoubling time.Duration
}

// New returns a timer of the default schedule that knows of no attempt. It starts at its
// first call.
func New(rng *rand.Rand) *Timer {
	return NewWithSchedule(rng, Schedule{
		Interval: ReadInterval, MeanFirstDelay: MeanFirstDelay, MaxFailedInterval: MaxFailedInterval,
	})
}

// NewWithSchedule returns a timer of another schedule.
func NewWithSchedule(rng *rand.Rand, schedule Schedule) *Timer {
	t := &Timer{rng: rng, schedule: schedule}
	t.redraw()
	return t
}

// ObservePeer takes over a peer's ages of the last attempt and the last success, Never for
// none. They must be upper bounds as far as the caller can determine.
func (t *Timer) ObservePeer(now time.Time, attemptAge, successAge time.Duration) {
	t.ensureStarted(now)
	if now.Before(t.pauseCorrectionUntil) {
		attemptAge = addAge(attemptAge, t.pauseCorrection)
		successAge = addAge(successAge, t.pauseCorrection)
	}
	t.setSuccess(timeOf(now, successAge))
	t.setAttempt(timeOf(now, attemptAge))
}

// ReadDone reports the end of a read that Due started. A success confirms the source as of
// the read's start; a failure counts as an attempt now, or when it started (ReadFailed).
func (t *Timer) ReadDone(now time.Time, ok bool) {
	t.ensureStarted(now)
	started := t.readStarted
	if started.IsZero() {
		started = now
	}
	if ok {
		t.ReadSucceeded(now, started)
		return
	}
	t.ReadFailed(now, now)
}

// ReadFailed reports a failed read of this node that started at a known time. The interval
// counts from that time, so that a read that hung is repeated sooner.
func (t *Timer) ReadFailed(now, started time.Time) {
	t.ensureStarted(now)
	t.readStarted = time.Time{}
	t.failures++
	t.setAttempt(started)
}

// ReadSucceeded reports a successful read of this node that started at a known time, also
// one that Due did not start.
func (t *Timer) ReadSucceeded(now, started time.Time) {
	t.ensureStarted(now)
	t.readStarted = time.Time{}
	t.failures = 0
	t.setSuccess(started)
	t.setAttempt(started)
}

// ResetFailures resets the count of this node's failed reads; the caller uses it when they
// are too long ago to matter.
func (t *Timer) ResetFailures() { t.failures = 0 }

// Due reports whether this node should read now, and if so records that the read started.
// It is called every tick. fleetSize is the number of nodes, this one included, that are
// assumed to share the reading of the source.
func (t *Timer) Due(now time.Time, fleetSize int) bool {
	t.ensureStarted(now)
	if !t.readStarted.IsZero() && now.Sub(t.readStarted) < maxReadTime {
		return false
	}
	if !t.drawFiring(now, max(fleetSize, 1)) {
		return false
	}
	t.readStarted = now
	t.reads++
	t.setAttempt(now)
	return true
}

// ProcessPaused handles a pause of the process of d until now. It keeps all ages, but
// delays the timer by a random time, so that processes that resume together do not read
// together, and raises the ages from buffered messages by d. The delay applies once until
// the next attempt.
func (t *Timer) ProcessPaused(now time.Time, d time.Duration) {
	t.ensureStarted(now)
	// If each pause delayed the timer, repeated pauses would delay it for ever.
	if t.pausedAt.IsZero() || t.lastAttempt.After(t.pausedAt) {
		t.postponeAfterWake(now)
		t.pausedAt = now
	}
	t.pauseCorrection = d
	t.pauseCorrectionUntil = now.Add(pauseCorrectionTime)
}

// HostSuspended handles a suspension of the host for d that the caller's clock did not count:
// all known times become older by d.
func (t *Timer) HostSuspended(d time.Duration) {
	for _, at := range []*time.Time{&t.lastAttempt, &t.lastSuccess, &t.hazardDrawnUntil, &t.pausedAt} {
		if !at.IsZero() {
			*at = at.Add(-d)
		}
	}
}

// Ages returns the ages of the last known attempt and success of any node, to be sent in a
// beacon; Never for none.
func (t *Timer) Ages(now time.Time) (attempt, success time.Duration) {
	return ageOf(now, t.lastAttempt), ageOf(now, t.lastSuccess)
}

// LastSuccess returns the time of the last known success of any node; zero for none.
func (t *Timer) LastSuccess() time.Time { return t.lastSuccess }

// ReadCount returns the number of reads that this node started.
func (t *Timer) ReadCount() uint64 { return t.reads }

// Failing reports whether the last known attempt came after the last success by more than the
// interval.
func (t *Timer) Failing() bool { return t.failingTime() > t.schedule.Interval }

func (t *Timer) ensureStarted(now time.Time) {
	if !t.started.IsZero() {
		return
	}
	t.started = now
	t.postponeAfterWake(now)
}

// Postpone keeps the timer from firing for a random time from least to twice least: a fresh
// node is likely to receive a peer's ages once its first links are open.
func (t *Timer) Postpone(now time.Time, least time.Duration) {
	t.ensureStarted(now)
	t.notBefore = now.Add(least + time.Duration(t.rng.Int64N(int64(least))))
}

func (t *Timer) postponeAfterWake(now time.Time) {
	t.notBefore = now.Add(time.Duration(t.rng.Int64N(int64(MaxWakeDelay))))
	t.redraw()
}

// drawFiring draws whether the timer fires by now, with the hazard since the last draw.
func (t *Timer) drawFiring(now time.Time, fleetSize int) bool {
	silentFrom := t.noReadBefore()
	if !now.After(silentFrom) {
		return false
	}
	from := silentFrom
	if t.hazardDrawnUntil.After(from) {
		from = t.hazardDrawnUntil
	}
	t.hazardDrawnUntil = now
	silence := now.Sub(silentFrom)
	if silence >= t.forcedSilence(fleetSize) {
		return true
	}
	hazard := t.hazard(silence, fleetSize) - t.hazard(from.Sub(silentFrom), fleetSize)
	return t.rng.Float64() < -math.Expm1(-hazard)
}

// forcedSilence is the silence after which this node reads for certain.
func (t *Timer) forcedSilence(fleetSize int) time.Duration {
	switch {
	case t.schedule.ForcedAfter == 0:
		return t.forcedAfter
	case t.failures > 0:
		// The nodes share the attempts: the first that succeeds reports it to the others.
		return min(t.forcedAfter, time.Duration(fleetSize)*t.schedule.ForcedAfter)
	}
	return min(t.forcedAfter, t.schedule.ForcedAfter+time.Duration(math.Log2(float64(fleetSize))*float64(t.schedule.ForcedPerDoubling)))
}

// hazard is the integral of the firing rate over a silence: a rate of
// 1/(fleetSize*MeanFirstDelay) that doubles every RateDoubling.
func (t *Timer) hazard(silence time.Duration, fleetSize int) float64 {
	growth := math.Ln2 / RateDoubling.Seconds()
	rate := 1 / (float64(fleetSize) * t.schedule.MeanFirstDelay.Seconds())
	rate /= float64(uint(1) << min(t.failures, maxFailureShift))
	return rate * math.Expm1(growth*silence.Seconds()) / growth
}

// noReadBefore is the time up to which no read is needed.
func (t *Timer) noReadBefore() time.Time {
	if t.lastAttempt.IsZero() {
		return t.notBefore
	}
	until := t.lastAttempt.Add(t.interval())
	if until.Before(t.notBefore) {
		return t.notBefore
	}
	return until
}

// interval is the time between attempts. While reads fail it is as long as they have
// failed, within bounds; nodes that share the ages compute the same interval, apart from
// intervalFactor.
func (t *Timer) interval() time.Duration {
	failing := t.failingTime()
	if failing <= t.schedule.Interval {
		return t.schedule.Interval
	}
	return time.Duration(t.intervalFactor * float64(min(failing, t.schedule.MaxFailedInterval)))
}

// failingTime is the time from the last success, or else the start, to the last attempt.
func (t *Timer) failingTime() time.Duration {
	since := t.lastSuccess
	if since.IsZero() {
		since = t.started
	}
	if t.lastAttempt.IsZero() {
		return 0
	}
	return t.lastAttempt.Sub(since)
}

func (t *Timer) setAttempt(at time.Time) {
	if !at.After(t.lastAttempt) {
		return
	}
	t.lastAttempt = at
	t.redraw()
}

func (t *Timer) setSuccess(at time.Time) {
	if at.After(t.lastSuccess) {
		t.lastSuccess = at
	}
}

func (t *Timer) redraw() {
	t.forcedAfter = ForcedReadMin + time.Duration(t.rng.Int64N(int64(ForcedReadMax-ForcedReadMin)))
	t.intervalFactor = 1 + failedIntervalJitter*t.rng.Float64()
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
