package route

import "time"

// Tuning holds the parameters of PolicyExpectedTime that simulations vary; see package
// simulation. Nodes use DefaultTuning.
type Tuning struct {
	// Local and Remote are the numbers of candidates of the own data centre and of others.
	Local, Remote int
	// LoadDecay is the time constant of the decay of a report's load to its service's mean.
	LoadDecay time.Duration
	// DeadZone is the share of its service's mean service time by which an upstream's must
	// differ to count.
	DeadZone float64
	// OwnSends adds the own attempts that a report does not include to its load.
	OwnSends bool
	// Failure adds the expected cost of failure.
	Failure bool
	// Noise scales the random deviation of the load, in standard deviations; 0 disables it.
	Noise float64
	// Overdue adds the time by which a response is overdue.
	Overdue bool
	// Path adds the network time above the link's usual one.
	Path bool
}

// DefaultTuning returns the parameters that nodes use.
func DefaultTuning() Tuning {
	return Tuning{
		Local: 2, Remote: 2, LoadDecay: loadDecay, DeadZone: deadZone,
		OwnSends: true, Failure: true, Noise: 2, Overdue: true, Path: true,
	}
}
