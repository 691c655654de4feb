package event

import "github.com/rs/zerolog"

// Events of single requests. They are bounded in number; see LogLinesDropped.
var (
	CallEnded = define(410, zerolog.InfoLevel, "request ended",
		"An entry node told a caller how its request ended: the connection that it came from, outcome and reason, the status, the time since its arrival, the attempts made, the last upstream, the queue and worker time there, and the configuration's version.",
		"For a failed request look up the same id at the upstream's node (events 520 and 521).")
	CallRefusedEarly = define(411, zerolog.WarnLevel, "request refused before it was placed",
		"A request matched no route, was malformed, or came before the node was ready.",
		"Compare the configuration's version with the operator's newest.")
	AttemptPlaced = define(412, zerolog.DebugLevel, "attempt placed",
		"An entry node chose an upstream for an attempt: the expected time, the load believed there, and the age of the report behind it in milliseconds (-1: none was heard).", "none")
	AttemptBroken = define(413, zerolog.WarnLevel, "attempt broke",
		"The way to an owner broke, or its answer was cut. Whether the attempt ran is settled with the owner, or stays unknown.",
		"Look for event 520 of the same request at that owner, and whether its process ended.")
	OwnerUnreachable = define(414, zerolog.WarnLevel, "owner out of reach",
		"This node cannot connect to an owner's node, or it answers nothing: a request or a probe found out. No attempt goes there until a probe gets through. The subject is the instance, the detail how it was found out.",
		"Look at that instance when other nodes report it too; otherwise at the network between the two.")
	OwnerReachable = define(415, zerolog.InfoLevel, "owner in reach again",
		"A probe got through to an owner that was out of reach; it is used again. The detail is how long it was out of reach.", "none")
	CallerConnectionTimedOut = define(416, zerolog.InfoLevel, "caller's connection closed by a bound",
		"A caller's connection was idle, or its request's header incomplete, for longer than the configuration in force allows: which bound ended, how long that is and for how long it ran. No request was in hand.", "none")
	RequestDeferred = define(418, zerolog.WarnLevel, "request is held back",
		"An owner refused an attempt of a request under which a worker ended: its id, its fingerprint, the ends that nothing explains, the only owner at which it may run (empty where none is known), and in how many milliseconds a worker that ended is expected back. The attempt did not run.",
		"Look up the fingerprint in gypsumctl aside, and event 514 for the worker that ended under it.")
	QuarantinedRefused = define(417, zerolog.WarnLevel, "request is put aside",
		"An entry node, or the owner that was asked, refused a sending of a request that is put aside: its id, the request's fingerprint, which all its sendings share, and the advice to come back in milliseconds. Nothing of it ran.",
		"Look up the fingerprint in gypsumctl aside, and events 514 and 515 for the workers that ended under it.")
	AttemptEnded = define(520, zerolog.InfoLevel, "attempt ended at the worker",
		"An owner's worker answered, broke or refused an attempt: the status (0: no whole answer), queue and worker time, and the load at that moment.", "none")
	AttemptRefused = define(521, zerolog.InfoLevel, "attempt refused",
		"An owner refused an attempt before it started, for the reason given; not_run says that this is proved for good.", "none")
	LogLinesDropped = define(106, zerolog.WarnLevel, "log lines left out",
		"More lines about requests came in a second than are written, or the reader of the log was too slow. Metrics count all requests.", "none")
)
