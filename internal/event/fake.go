package event

import "github.com/rs/zerolog"

// Events of the stand-ins (gypsumfake).
var (
	StandInStarted = define(680, zerolog.InfoLevel, "stand-in started",
		"A stand-in for the platform or a worker opened its ports.", "none")
	StandInStopped = define(681, zerolog.InfoLevel, "stand-in stopped",
		"A stand-in was told to stop and finished what was in flight.", "none")
	StandInCutOff = define(682, zerolog.WarnLevel, "stand-in stopped with requests in flight",
		"The stop's bound ended before all requests did; the rest was cut off.",
		"None: a stand-in is for tests. Look for a pause or a hang that was set.")
	StandInFailed = define(683, zerolog.ErrorLevel, "stand-in failed",
		"A port of the stand-in broke; it exits with code 1.", "Read the error field.")
)
