package entry

import "time"

// Delays between attempts and between outcome resolutions.
const (
	// retryDelay is the mean delay before the first retry of an attempt that may have run; it
	// doubles with each further retry.
	retryDelay = time.Millisecond
	// roundDelay is the mean delay before owners that refused are asked again, when none of
	// them sent a Retry-After.
	roundDelay = 10 * time.Millisecond
	// resolveDelay is the mean delay before an outcome resolution is repeated; it doubles
	// with each further one.
	resolveDelay = 5 * time.Millisecond
	// resolveTimeout is the time that an owner has for the first outcome resolution; it
	// doubles with each further one.
	resolveTimeout = 50 * time.Millisecond
	// maxDoublings keeps a doubled delay within the range of time.Duration.
	maxDoublings = 20
)

// doubled returns base x 2^n.
func doubled(base time.Duration, n int) time.Duration {
	return base << min(n, maxDoublings)
}

// jitter returns a random duration, uniform from 0.5 d to 1.5 d.
func (e *Engine) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(e.cfg.Random()%uint64(d))
}

// atLeastWithJitter returns a random duration, uniform from d to 1.5 d: a Retry-After may be
// exceeded but not undercut.
func (e *Engine) atLeastWithJitter(d time.Duration) time.Duration {
	if d < 2 {
		return d
	}
	return d + time.Duration(e.cfg.Random()%uint64(d/2))
}
