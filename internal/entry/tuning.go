package entry

// AttemptCost is the cost of one attempt in a retry budget, and MaxBudget the most that
// a budget saves, both in thousandths of an attempt.
const (
	AttemptCost = unit
	MaxBudget   = bucketDepth
)

// Tuning holds what measurements compare; see package simulation/calls. Calls of a
// node use DefaultTuning.
type Tuning struct {
	// MaxRounds is the number of times that a call waits for the owners that
	// refused it and asks them again.
	MaxRounds int
	// ShedCost and Place are the costs of placing elsewhere what an owner refused
	// for load, and for any other reason, in thousandths of an attempt. Where one
	// owner has no room the others seldom have; an owner that leaves or is cold
	// says nothing about the others.
	ShedCost, PlaceCost int64
}

// DefaultTuning returns the product's.
func DefaultTuning() Tuning { return Tuning{MaxRounds: 2, ShedCost: unit, PlaceCost: unit / 4} }
