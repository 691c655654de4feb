package model

import "time"

// Alternative is what one more attempt can expect at an upstream. It is an estimate from load
// reports, with a load above the expected one if the last report is old.
type Alternative struct {
	Region RegionName
	// RoundTrip is the link's round trip, Wait the time until the start, and Service the mean
	// service time at the machine's usual speed.
	RoundTrip, Wait, Service time.Duration
	// Slowdown is the expected ratio of service times at the start to the usual ones, at least
	// 1.
	Slowdown float64
	// WaitPerAttempt is the wait that each further attempt adds.
	WaitPerAttempt time.Duration
}
