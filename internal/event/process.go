package event

import "github.com/rs/zerolog"

// Events of the process.
var (
	Started = define(100, zerolog.InfoLevel, "started",
		"The node opened its ports and began to serve.", "none")
	Stopping = define(101, zerolog.InfoLevel, "stopping",
		"A planned stop began: the node tells its peers and takes no new work. The line has its bounds; event 108 follows for each step.", "none")
	Stopped = define(102, zerolog.InfoLevel, "stopped",
		"The planned stop ended.", "none")
	DrainTimeout = define(103, zerolog.ErrorLevel, "drain time ended with requests in flight",
		"The stop's stated bound ended before all requests did; the rest was cut off: callers' requests and other entries' attempts, as counted.",
		"Raise stop_timeout_ms above the longest deadline of the classes.")
	Suspended = define(112, zerolog.WarnLevel, "machine was suspended",
		"The machine stood still for that many milliseconds, which the steady clock does not count. What the node knew is taken to be older by that.",
		"Find out who suspends the machine. Time-outs that were running then last longer by it.")
	CallHintsDropped = define(114, zerolog.WarnLevel, "what calls showed was left out",
		"The queue of the node's core was full, so that calls went on without telling it what they had seen: newer versions, owners that gave no answer or that peers cannot reach. How many times since the last such line. Later calls show it again.",
		"The process is starved, or its core is stuck: look at event 104 and at its processor time.")
	SuspensionUnknown = define(113, zerolog.WarnLevel, "suspensions cannot be seen",
		"The system has no clock that counts a suspension of the machine. Knowledge from before one is taken for fresh.", "none")
	Paused = define(104, zerolog.WarnLevel, "process was paused",
		"A tick came late by more than the stated gap, so the process had been stopped or starved; views and leases are doubted until refreshed.",
		"Look for a noisy neighbour or a frozen host when it repeats.")
	Fatal = define(105, zerolog.ErrorLevel, "fatal error",
		"The node could not start, or a part of it failed: a port's listener, or a goroutine that panicked. A node that serves stops as planned (event 101), and the process exits with code 1.",
		"Read the error field. For a panic: report the stack, with the version.")
	StopStepEnded = define(108, zerolog.InfoLevel, "stop step ended",
		"A step of a planned stop ended: when it began after the stop did and how long it took in milliseconds, and how many callers' requests and other entries' attempts were in hand at its end.",
		"None, unless the steps before the caller drain take most of stop_timeout_ms: then look for peers that stand still.")
	ComponentFailed = define(111, zerolog.ErrorLevel, "part failed, the node goes on",
		"What serves one request or no request panicked, or a part did not end with the node. The request is told that its outcome is unknown, where that has not been settled.",
		"Report the stack, with the version.")
	ServerError = define(107, zerolog.ErrorLevel, "HTTP server reported",
		"net/http's server said something of a connection, in the report's own words; a handler that panicked has cut its caller off.",
		"For a panic: report the stack, with the version. Else look at the peer or the callers that it names.")
)
