package entry

import "time"

// Bounds of waiting between attempts and between questions to an owner.
const (
	// retryDelay is the mean wait before the first retry of what may have run;
	// it doubles with each further one.
	retryDelay = time.Millisecond
	// roundDelay is the mean wait before owners that refused are asked again when
	// none of them gave advice.
	roundDelay = 10 * time.Millisecond
	// settleDelay is the mean wait before a settlement is asked again; it doubles
	// with each further one.
	settleDelay = 5 * time.Millisecond
	// settlePatience is the time that an owner has for the first settlement.
	settlePatience = 50 * time.Millisecond
	// maxDoublings keeps a doubled wait within time.Duration.
	maxDoublings = 20
)

// doubled returns base x 2^n.
func doubled(base time.Duration, n int) time.Duration {
	return base << min(n, maxDoublings)
}

// jitter returns a uniform time from half of d to one and a half of d.
func (e *Engine) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(e.cfg.Random()%uint64(d))
}

// delayed returns a uniform time from d to one and a half of d: advice to wait
// may be exceeded but not undercut.
func (e *Engine) delayed(d time.Duration) time.Duration {
	if d < 2 {
		return d
	}
	return d + time.Duration(e.cfg.Random()%uint64(d/2))
}
