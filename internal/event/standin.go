package event

import "github.com/rs/zerolog"

// Events of the stand-ins (gypsumfake).
var (
	StandInStarted = define(680, zerolog.InfoLevel, "stand-in started",
		"A stand-in for the platform or a worker opened its ports.", "none")
	StandInStopped = define(681, zerolog.InfoLevel, "stand-in stopped",
		"A stand-in was asked to stop and completed the requests in flight.", "none")
	StandInCutOff = define(682, zerolog.WarnLevel, "stand-in stopped with requests in flight",
		"The time limit of the stop passed before all requests had completed; the rest were cut off.",
		"None: a stand-in is for tests. Look for an injected pause or hang.")
	StandInFailed = define(683, zerolog.ErrorLevel, "stand-in failed",
		"A port of the stand-in failed; it exits with code 1.",
		"Read the error field.")
)
