package worker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"gypsumstand/internal/answer"
)

// Distribution names a distribution of service times.
type Distribution string

// The distributions.
const (
	// Constant always yields the mean.
	Constant Distribution = "constant"
	// Exponential has the given mean.
	Exponential Distribution = "exponential"
	// Lognormal has the given mean and sigma.
	Lognormal Distribution = "lognormal"
)

// maxMeanMultiple caps a drawn service time at this multiple of the mean, so that runs
// are bounded in time.
const maxMeanMultiple = 50

// Profile defines how the requests of a path are served.
type Profile struct {
	// Path is a prefix of the request's path; it starts with a slash.
	Path string `toml:"path"`
	// Distribution of the service time; empty means Constant.
	Distribution Distribution `toml:"distribution"`
	// MeanMs is the mean service time in milliseconds.
	MeanMs float64 `toml:"mean_ms"`
	// Sigma is the standard deviation of the service time's logarithm, for Lognormal.
	Sigma float64 `toml:"sigma"`
	// SizeBytes is the size of an answer.
	SizeBytes int `toml:"size_bytes"`
	// Next is the path of the nested call that a request makes through the worker's node
	// while its depth is above 0; empty means the request's own path.
	Next string `toml:"next"`
}

// Check calls add for every invalid field, with the field's TOML key and a message.
func (p *Profile) Check(add func(field, message string)) {
	if !strings.HasPrefix(p.Path, "/") {
		add("path", fmt.Sprintf("%q does not start with /", p.Path))
	}
	if p.Next != "" && !strings.HasPrefix(p.Next, "/") {
		add("next", fmt.Sprintf("%q does not start with /", p.Next))
	}
	switch p.Distribution {
	case "", Constant, Exponential, Lognormal:
	default:
		add("distribution", fmt.Sprintf("%q is not a distribution", p.Distribution))
	}
	if !(p.MeanMs >= 0) || math.IsInf(p.MeanMs, 0) {
		add("mean_ms", "must be a number from 0")
	}
	if !(p.Sigma >= 0) || math.IsInf(p.Sigma, 0) {
		add("sigma", "must be a number from 0")
	}
	if p.SizeBytes < 0 || p.SizeBytes > answer.MaxBytes {
		add("size_bytes", fmt.Sprintf("must be from 0 to %d", answer.MaxBytes))
	}
}

// draw returns a random service time.
func (p *Profile) draw(rng *rand.Rand) time.Duration {
	ms := p.MeanMs
	switch p.Distribution {
	case Exponential:
		ms *= rng.ExpFloat64()
	case Lognormal:
		// The mean of a lognormal is exp(mu + sigma^2/2); this mu makes it MeanMs.
		ms *= math.Exp(p.Sigma*rng.NormFloat64() - p.Sigma*p.Sigma/2)
	}
	ms = min(ms, maxMeanMultiple*p.MeanMs)
	return time.Duration(ms * float64(time.Millisecond))
}

// profile returns the profile with the longest prefix of path, or the zero profile.
func (w *Worker) profile(path string) Profile {
	var best Profile
	for _, p := range w.cfg.Profiles {
		if strings.HasPrefix(path, p.Path) && len(p.Path) > len(best.Path) {
			best = p
		}
	}
	return best
}

// serviceTime draws a request's service time and applies the slow-down fault.
func (w *Worker) serviceTime(p *Profile) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := p.draw(w.rng)
	if w.faults.SlowFactor > 0 {
		d = time.Duration(float64(d) * w.faults.SlowFactor)
	}
	return d
}
