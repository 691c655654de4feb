package entry

// AttemptCost is the cost of one attempt in a retry budget, MaxBudget the greatest budget,
// both in thousandths of an attempt.
const (
	AttemptCost = attemptUnit
	MaxBudget   = bucketDepth
)

// Tuning holds the parameters that simulations vary; see package simulation/calls. Nodes use
// DefaultTuning.
type Tuning struct {
	// MaxRounds is the number of times that a call waits and then asks the owners that
	// refused it again.
	MaxRounds int
	// ShedCost and PlaceCost are the costs of placing a request elsewhere after an owner
	// refused it for load and for any other reason, in thousandths of an attempt. Where one
	// owner is overloaded the others usually are too, while an owner that is leaving or cold
	// tells nothing about the others.
	ShedCost, PlaceCost int64
}

// DefaultTuning returns the parameters that nodes use.
func DefaultTuning() Tuning {
	return Tuning{MaxRounds: 2, ShedCost: attemptUnit, PlaceCost: attemptUnit / 4}
}
