package route

import "time"

// Tuning holds the parts of the product's policy that measurements vary; see
// package simulation. A node runs on DefaultTuning.
type Tuning struct {
	// Local and Remote are the numbers of candidates of the own data centre and
	// of others.
	Local, Remote int
	// LoadDecay is the decay constant of a report's load towards its service's
	// mean.
	LoadDecay time.Duration
	// DeadZone is the share of its service's mean by which an upstream's service
	// time must differ to count.
	DeadZone float64
	// OwnSends adds this node's attempts since a report to the load in it.
	OwnSends bool
	// Failure adds the expected cost of failure.
	Failure bool
	// Noise is the number of standard deviations of the load that a normal
	// deviate of one stands for; 0 switches the deviation off.
	Noise float64
	// Overdue adds the time by which an answer is overdue.
	Overdue bool
	// Path adds the time of the way beyond the link's usual one.
	Path bool
}

// DefaultTuning returns the product's.
func DefaultTuning() Tuning {
	return Tuning{
		Local: 2, Remote: 2, LoadDecay: loadMemory, DeadZone: deadZone,
		OwnSends: true, Failure: true, Noise: 2, Overdue: true, Path: true,
	}
}
