package quarantine

import "time"

// tokenBucket limits the rate at which a node sends. It refills with time; the zero value
// is full.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// available refills the bucket up to now, at perSecond tokens a second and depth tokens at
// most, and returns the tokens in it.
func (b *tokenBucket) available(now time.Time, perSecond, depth float64) float64 {
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = depth, now
	}
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*perSecond, depth)
	b.refilledAt = now
	return b.tokens
}

// take removes n tokens, which were spent since the last call of available.
func (b *tokenBucket) take(n int) { b.tokens -= float64(n) }
