package event

import "github.com/rs/zerolog"

// Events of the process.
var (
	Started = define(100, zerolog.InfoLevel, "started",
		"The node opened its ports and began to serve.", "none")
	Stopping = define(101, zerolog.InfoLevel, "stopping",
		"A planned stop began: the node informs its peers and accepts no new work. The line has the stop's time limits; event 108 follows for each step.", "none")
	Stopped = define(102, zerolog.InfoLevel, "stopped",
		"The planned stop ended.", "none")
	DrainTimeout = define(103, zerolog.ErrorLevel, "drain timed out with requests in flight",
		"The time limit of the stop passed before all requests had completed; the rest were cut off: callers' requests and other entry nodes' attempts, as counted.",
		"Raise stop_timeout_ms above the longest deadline of the classes.")
	Suspended = define(112, zerolog.WarnLevel, "machine was suspended",
		"The machine was suspended for that many milliseconds, which the monotonic clock does not count. The age of everything that the node knows is increased by that time.",
		"Find out why the machine is suspended. Timeouts that were running are extended by that time.")
	CallHintsDropped = define(114, zerolog.WarnLevel, "hints from calls dropped",
		"The event queue of the node's core was full, so calls could not report what they had observed: newer versions, owners that did not reply or that peers cannot reach. The line has the number since the last such line. Later calls report it again.",
		"The process is starved of CPU, or its core is blocked: check event 104 and the process's CPU time.")
	RequestIDsNotHandedOver = define(115, zerolog.WarnLevel, "request ids not handed over",
		"The node leaves before the next home nodes of all callers' request ids have acknowledged their records. The subject is the number of these ids; the detail tells how many were acknowledged, are held by a later home node only, and are missing, also because there is no other node of the service. A request with such an id may run again if its caller sends it again.",
		"If other nodes of the service are alive: check the links to them. Nodes of an earlier version acknowledge nothing, but receive the records.")
	SuspensionUnknown = define(113, zerolog.WarnLevel, "suspensions cannot be detected",
		"The system has no clock that counts the time of a suspension. Information from before a suspension is treated as recent.", "none")
	Paused = define(104, zerolog.WarnLevel, "process was paused",
		"A tick was late by more than the stated gap, so the process had been stopped or starved; views and leases are not trusted until they are refreshed.",
		"If it repeats, look for a noisy neighbour or a frozen host.")
	Fatal = define(105, zerolog.ErrorLevel, "fatal error",
		"The node could not start, or a component failed: the listener of a port, or a goroutine that panicked. A node that is serving stops as planned (event 101), and the process exits with code 1.",
		"Read the error field. For a panic: report the stack, with the version.")
	StopStepEnded = define(108, zerolog.InfoLevel, "stop step completed",
		"A step of a planned stop completed: when it began after the start of the stop and how long it took, in milliseconds, and how many callers' requests and other entry nodes' attempts were in flight at its end.",
		"None, unless the steps before the caller drain take most of stop_timeout_ms: then look for peers that do not respond.")
	ComponentFailed = define(111, zerolog.ErrorLevel, "component failed, the node continues",
		"Code that serves one request or none panicked, or a component did not end with the node. The request gets an unknown outcome, unless its outcome was already decided.",
		"Report the stack, with the version.")
	ServerError = define(107, zerolog.ErrorLevel, "HTTP server error",
		"net/http's server reported an error of a connection, quoted in the report; a handler that panicked has cut off its caller.",
		"For a panic: report the stack, with the version. Otherwise check the peer or the callers that it names.")
)
