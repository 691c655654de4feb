package simulation

// Fault is what happens to the first upstream once a run is warm.
type Fault int

// The faults.
const (
	NoFault Fault = iota
	// Slowed takes five times as long.
	Slowed
	// Failing answers fast and wrong.
	Failing
	// Cold refuses for half a second and then warms up for a second.
	Cold
	// Paused stops for 200 ms in each half second.
	Paused
	// SlowLink is behind a link that takes 15 ms more.
	SlowLink
)

// capacity is the part of an upstream's capacity that a fault leaves.
func (f Fault) capacity() float64 {
	switch f {
	case Slowed:
		return 0.2
	case Failing:
		return 0
	case Cold:
		return 0.5
	}
	return 1
}

// String returns the fault's name in a table.
func (f Fault) String() string {
	return [...]string{"steady", "slowed", "failing", "cold", "paused", "starved"}[f]
}
