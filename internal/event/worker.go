package event

import "github.com/rs/zerolog"

// Events of the worker beside the node.
var (
	WorkerState = define(510, zerolog.InfoLevel, "worker changed state",
		"Polls of the worker or traffic showed that it became cold, live or leaving.",
		"If a worker often becomes cold: check the worker and its host. Leaving is final until the node restarts.")
	WorkerWarming = define(522, zerolog.InfoLevel, "worker started or finished warming",
		"This node's worker reports that it can take only a part of its usual load for so many more milliseconds, or, at zero, that it can take all of it again. Meanwhile it gets what the bundle's warming_per_second allows; requests beyond that go to other workers, are queued, or are refused as not run.",
		"None after a start or an evacuation. If it happens for no reason: check the worker and its host.")
	WorkerRateLimit = define(523, zerolog.InfoLevel, "worker's rate limit changed",
		"This node's worker names another limit in its responses, in requests a second from all machines together, or none any more (change ended). A limit that cannot be used (change unusable) leaves the one before.",
		"Find out why the worker is in need. If its limits are unusable: correct the worker.")
	WorkerLeaving = define(524, zerolog.InfoLevel, "worker says that it is leaving",
		"This node's worker said in a response that it is leaving. It gets no new requests, whatever the directory says of it; another worker on this instance does.",
		"none")
	WorkerFailing = define(511, zerolog.WarnLevel, "worker fails every attempt",
		"Several attempts in a row were interrupted at this node's worker or got an invalid response. Attempts are refused as not run, except for a trial a few times a second.",
		"Check the worker: its health path may report success all the while.")
	WorkerRecovered = define(512, zerolog.InfoLevel, "worker responds again",
		"An attempt got a response after the worker had failed several in a row; all attempts are admitted again.", "none")
	WorkerReplaced = define(513, zerolog.WarnLevel, "worker differs from the listed one",
		"This node's worker reports another id than the directory lists, so the listed worker is gone. Nothing is sent to the worker until the directory lists it. The subject is the id that the worker reports, the detail the one listed.",
		"If it persists, check the directory: it does not list the new worker.")
	WorkerCrashed = define(514, zerolog.WarnLevel, "worker crashed with requests in flight",
		"This node's worker ended unexpectedly and interrupted requests. The subject is the id of the crash, the detail the requests that were in flight: the fingerprint of each, which all submissions of the same request share, and what it asked for. One crash may have several lines.",
		"Look for a fingerprint that appears in the lines of several crashes, also on other nodes: that request may be the cause.")
	RequestQuarantined = define(515, zerolog.ErrorLevel, "request quarantined",
		"Workers crashed during the same request: three times, one of them when the request was already suspect, or twice if chance does not explain the second crash. It is no longer sent to any worker: every submission is refused as not run, with the reason put-aside. The subject is the request's fingerprint; the detail is how this node learned of it, whose workers crashed, and what the request asked for if this node has seen it. Every node of the fleet logs it once.",
		"Find the caller by event 410 or 411 with that reason, and fix the workers' fault. gypsumctl aside lists the quarantined requests and the times of their trials.")
	SuspectsMalformed = define(518, zerolog.WarnLevel, "peer's update on suspect requests malformed",
		"A peer's update on requests during which workers crash could not be decoded. The subject is its address.",
		"Compare the versions of the two nodes.")
	QuarantineReleased = define(516, zerolog.InfoLevel, "request released from quarantine",
		"A run of a quarantined request completed, here or at another node, so it is served again. The subject is its fingerprint.", "none")
	QuarantineTrial = define(517, zerolog.WarnLevel, "trial of a quarantined request",
		"A quarantined request runs once at this node's worker, while no other suspect request does: 2 min, 30 min and 24 h after the last crash, three times in all. The subject is its fingerprint.",
		"If the worker crashes during it, the fault still exists.")
)
