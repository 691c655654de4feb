package event

import "github.com/rs/zerolog"

// Events of single requests. Their number is limited; see LogLinesDropped.
var (
	CallEnded = define(410, zerolog.InfoLevel, "request ended",
		"An entry node reported the end of a request to its caller: the connection that it came from, outcome and reason, the status, the time since its arrival, the attempts made, the last upstream, the queue and worker time there, and the configuration's version. With inherit_priority or by_outcome, a call that the own worker makes for a run has the field parent (the run's request); with inherit_priority also inherited_priority.",
		"For a failed request look up the same id at the upstream's node (events 520 and 521).")
	CallRefusedEarly = define(411, zerolog.WarnLevel, "request refused before it was placed",
		"A request matched no route, was malformed, or arrived before the node was ready.",
		"Compare the configuration's version with the newest one published.")
	AttemptPlaced = define(412, zerolog.DebugLevel, "attempt placed",
		"An entry node chose an upstream for an attempt: the expected time, the estimated load there, and the age in milliseconds of the report that the estimate is based on (-1: no report).", "none")
	AttemptInterrupted = define(413, zerolog.WarnLevel, "attempt interrupted",
		"The connection to an owner broke, or its response was cut off. The owner is asked whether the attempt ran; otherwise this stays unknown.",
		"Look for event 520 of the same request at that owner, and whether its process ended.")
	OwnerUnreachable = define(414, zerolog.WarnLevel, "owner unreachable",
		"This node cannot connect to an owner's node, or the node does not reply: a request or a probe detected it. No attempt is sent there until a probe succeeds. The subject is the instance, the detail how it was detected.",
		"Check that instance if other nodes report it too; otherwise check the network between the two.")
	OwnerReachable = define(415, zerolog.InfoLevel, "owner reachable again",
		"A probe to an unreachable owner succeeded; the owner is used again. The detail is how long it was unreachable.", "none")
	CallerConnectionTimedOut = define(416, zerolog.InfoLevel, "caller's connection timed out",
		"A caller's connection was idle, or its request header incomplete, for longer than the configuration in force allows: which limit was exceeded, its length and how long the connection waited. No request was in flight.", "none")
	RequestDeferred = define(418, zerolog.WarnLevel, "request deferred",
		"An owner refused an attempt of a request during which a worker crashed: its id, its fingerprint, the number of its unexplained crashes, the only owner that may run it (empty if none is known), and in how many milliseconds the crashed worker is expected back. The attempt did not run.",
		"Look up the fingerprint in gypsumctl aside, and event 514 for the worker that crashed during it.")
	RequestLeased = define(420, zerolog.InfoLevel, "request left to another owner",
		"An owner refused an attempt of a request that waits or runs at another owner and to which no worker has responded yet: its id, its fingerprint and that owner, which gets the request next. The attempt did not run.",
		"If the same fingerprint goes on for seconds: look for it at the named owner (events 419 and 520).")
	LeaseAcquired = define(419, zerolog.DebugLevel, "request announced to other owners",
		"A request waits at this owner in a service that cannot spare two workers, and no run of the same request completed here recently: its id and its fingerprint. Until this worker responds to it, other owners leave submissions of the same request to this one, as it may crash a worker.", "none")
	QuarantinedRefused = define(417, zerolog.WarnLevel, "quarantined request refused",
		"An entry node, or the owner that was asked, refused a submission of a quarantined request: its id, the request's fingerprint, which all its submissions share, and the Retry-After in milliseconds. No part of it ran.",
		"Look up the fingerprint in gypsumctl aside, and events 514 and 515 for the workers that crashed during it.")
	AttemptEnded = define(520, zerolog.InfoLevel, "attempt ended at the worker",
		"An owner's worker responded to an attempt, broke it off or refused it: the status (0: no complete response), queue and worker time, and the load at that moment.", "none")
	AttemptRefused = define(521, zerolog.InfoLevel, "attempt refused",
		"An owner refused an attempt before it started, for the given reason; not_run means that the attempt is guaranteed never to run.", "none")
	RunCallRefused = define(525, zerolog.InfoLevel, "run failed after a call got no response",
		"The worker responded with a server error to a request for which one of its own calls had been refused for load or had got no response: the request's id, the attempt, its class and the status. The failure is not counted against this worker. Only with inherit_priority or by_outcome.",
		"Find the calls by their field parent in event 410 of this node, and look at the load of the service that they need.")
	ResponseInvalid = define(527, zerolog.WarnLevel, "response not valid for its attempt",
		"The worker's response to an attempt cannot be passed on: it names another request (echo mismatch) or none (absent), a successful one lacks the worker's signature, its head is malformed, its completeness cannot be checked, or its body is longer than response_limit_bytes (length: -1 if not named); the error says which. The connection was closed; the attempt may have run.",
		"Check the worker: it may send responses more than once, late, without end or with a malformed head.")
	UnprovenRefusal = define(528, zerolog.WarnLevel, "refusal of a worker not proved",
		"A worker responded to an attempt with a status that callers take for \"not run\", and did not state that it had not run the request: the request's id, the attempt, the upstream and the status. The attempt may have run, so the response is not passed on: an idempotent request is retried within the budgets, and otherwise the caller is told unknown, with the reason unproven-refusal.",
		"Correct the worker: it must either state that it has not run the request, or respond with another status.")
	ReservationRefused = define(530, zerolog.InfoLevel, "reservation of a large body refused",
		"An owner refused to receive the large body of a request: the reason, the body's length, how long the entry waited, the bodies in transit, the reservations that wait, and the memory in use. Nothing of the body was sent, and the attempt never runs.",
		"If the reason is often overloaded while no body is in transit: compare memory_bytes with an eighth of memory_limit_mb.")
	TransferFailed = define(531, zerolog.WarnLevel, "large body not received",
		"A reserved body did not arrive completely: the connection broke, no byte arrived for half a second, or its length differs from the reserved one. No part of it reached the worker.",
		"Check the links of this instance, and whether the caller sent the body at all.")
	ReservationMalformed = define(532, zerolog.WarnLevel, "reservation malformed",
		"A message on the peer port that asks for a reservation could not be decoded; it was refused and changes nothing. It names the sender's connection.",
		"Compare the versions of the two nodes.")
	AttemptRelocated = define(526, zerolog.InfoLevel, "queued attempt given up for another owner",
		"An owner refused an attempt that waited in its queue, as another owner is expected to answer it clearly sooner: the attempt, its class, whether this machine is slow now, how long it waited, and the expected milliseconds to the response here and elsewhere. The attempt never runs here; its entry node places the request once more.",
		"None for single lines. If one owner logs most of them: check its worker and its host.")
	LogLinesDropped = define(106, zerolog.WarnLevel, "log lines dropped",
		"More lines about requests occurred in a second than are written, or the reader of the log was too slow. Metrics count all requests.", "none")
)
