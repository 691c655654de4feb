package event

import "github.com/rs/zerolog"

// Events of the worker beside the node.
var (
	WorkerState = define(510, zerolog.InfoLevel, "worker changed its life stage",
		"Polls of the worker or real traffic showed that it became cold, live or leaving.",
		"When a worker often turns cold: look at the worker and its host. Leaving is final until the node restarts.")
	WorkerWarming = define(522, zerolog.InfoLevel, "worker warms up, or has warmed up",
		"This node's worker says that it bears only a part of its usual load, for so many milliseconds more, or, at zero, that it bears all again. Meanwhile it gets what the bundle's warming_per_second allows; what comes beyond that goes to other workers, waits its turn, or is refused as not run.",
		"None after a start or an evacuation. When it comes for no reason: look at the worker and its host.")
	WorkerFailing = define(511, zerolog.WarnLevel, "worker breaks every attempt",
		"Several attempts in a row broke off at this node's worker or came back spoilt. What comes is refused as not run, but for a trial a few times a second.",
		"Look at the worker: its health path may say well all the while.")
	WorkerRecovered = define(512, zerolog.InfoLevel, "worker answers again",
		"An attempt was answered after the worker had broken several in a row; everything is admitted again.", "none")
	WorkerReplaced = define(513, zerolog.WarnLevel, "worker is another than the listed one",
		"This node's worker says that it is another than the directory lists, so the listed one is gone. Nothing is sent to it until the directory lists it. The subject is the worker's word, the detail the one listed.",
		"When it lasts, look after the directory: it does not list the new worker.")
	WorkerCrashed = define(514, zerolog.WarnLevel, "worker ended with requests in hand",
		"This node's worker ended, not as planned, and requests broke with it. The subject names the end, the detail the requests that were in hand: the fingerprint of each, which all sendings of the same request share, and what it asked for. One end may have several lines.",
		"Look for a fingerprint that stands in the lines of several ends, also of other nodes: that request may be why.")
	RequestQuarantined = define(515, zerolog.ErrorLevel, "request put aside",
		"Workers ended under one and the same request: three times, one of them after the request was suspect already, or twice where chance does not explain the second. It reaches no worker any more: every sending is refused as not run, with the reason put-aside. The subject is the request's fingerprint; the detail tells how this node learned, whose workers ended, and what the request asked for where this node has seen it. Every node of the fleet logs it once.",
		"Find the caller by event 410 or 411 with that reason, and mend the workers' fault. gypsumctl aside lists what is put aside and when it is tried.")
	SuspectsMalformed = define(518, zerolog.WarnLevel, "peer's word of suspect requests not understood",
		"What a peer told of requests under which workers end could not be read. The subject is its address.",
		"Compare the versions of the two nodes.")
	QuarantineReleased = define(516, zerolog.InfoLevel, "request no longer put aside",
		"A run of a request that was put aside came to its end, here or at another node, so it is served again. The subject is its fingerprint.", "none")
	QuarantineTrial = define(517, zerolog.WarnLevel, "request put aside is tried",
		"A request that is put aside runs once at this node's worker, while nothing else suspect does: 2 min, 30 min and 24 h after the last end, three times in all. The subject is its fingerprint.",
		"When the worker ends under it: the fault is still there.")
)
