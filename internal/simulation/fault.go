package simulation

// Fault is a fault of the first upstream that starts after the warm-up.
type Fault int

// The faults.
const (
	NoFault Fault = iota
	// Slowed multiplies service times by five.
	Slowed
	// Failing fails every request, in a twentieth of the service time.
	Failing
	// Cold refuses requests for 500 ms and then ramps up to all slots over a second.
	Cold
	// Paused stops the process for 200 ms in every 500 ms.
	Paused
	// SlowLink makes the upstream's link to every entry node 15 ms slower than a link
	// between data centres.
	SlowLink
)

// remainingCapacity is the share of an upstream's capacity that is left under the fault.
func (f Fault) remainingCapacity() float64 {
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

// String returns the fault's name as printed in tables.
func (f Fault) String() string {
	return [...]string{"steady", "slowed", "failing", "cold", "paused", "starved"}[f]
}
