package event

import "github.com/rs/zerolog"

// Events of the directory: the source of workers and configuration.
var (
	DirectoryUnreachable = define(620, zerolog.WarnLevel, "directory does not answer",
		"Reading the directory failed; the node goes on with what it knows. The detail is the age of the last answer.",
		"Look after the directory when other nodes report it too; otherwise after this instance's network.")
	DirectoryRecovered = define(621, zerolog.InfoLevel, "directory answers again",
		"The directory was read after a failure, or for the first time. The detail is how long it was away.", "none")
	WorkerListed = define(622, zerolog.InfoLevel, "worker listed",
		"The directory names a new life of a worker, or a new state of one. The subject is the worker, the detail its instance, service and state.", "none")
	WorkerUnlisted = define(623, zerolog.InfoLevel, "worker no longer listed",
		"The directory has removed a worker; no new work goes to it. The subject is the worker, the detail its instance and how long the removal was held back.", "none")
	WorkerMissing = define(624, zerolog.WarnLevel, "worker missing after an outage",
		"The directory lacks a worker that it listed before it was away. The worker is used until the time in which living workers list themselves again has passed.", "none")
	ConfigInForce = define(625, zerolog.InfoLevel, "configuration in force",
		"A newer configuration of the directory replaced the one before. The subject is its version, the detail who told it and how old the view was.", "none")
	ConfigOlder = define(626, zerolog.WarnLevel, "older configuration ignored",
		"The directory told an older configuration than the one in force. The subject is its version, the detail the one in force.",
		"Find out whether an old copy of the directory was restored.")
	DirectoryItemRefused = define(627, zerolog.ErrorLevel, "directory's item refused",
		"An item of the directory could not be decoded: it has fields missing or of another type, an unknown state, or unreadable bytes. A worker's entry of that kind names no worker to use, also where it replaces a sound one; an older configuration stays in force. Logged once for each change. The subject is its key.",
		"Find out who wrote the item and in which version of the format.")
	ConfigRefused = define(631, zerolog.ErrorLevel, "configuration refused",
		"The directory's newest configuration cannot be decoded by this node; the one before it stays in force. The subject is its revision, the detail who told it.",
		"Find out what the error names, and write a configuration without it. Where other nodes have it in force (625), this one runs an older program.")
	DirectoryViewStale = define(628, zerolog.WarnLevel, "view of the directory is late",
		"What this node knows of the directory was confirmed, by its own reading or a peer's, longer ago than a change may take to be in force. The subject says why: reading-fails, reading-slow, waits-for-peers, or configuration-refused (631).",
		"reading-fails: look after the directory, or this instance's way to it. Otherwise: compare the detail with other nodes' 628 and 630.")
	DirectoryViewFresh = define(629, zerolog.InfoLevel, "view of the directory is in time again",
		"After event 628. The detail is for how long nothing had confirmed it.", "none")
	DataCentreEvacuated = define(632, zerolog.WarnLevel, "data centre evacuated",
		"The directory says that nothing is to be sent to the workers of a data centre. Requests go to others; what waits for its workers is handed on; where a service has no other it is refused at once, not run. The subject is the data centre, the detail the directory's revision and who told it.",
		"None where it was asked for. Otherwise find out who wrote that revision.")
	DataCentreRestored = define(633, zerolog.InfoLevel, "data centre taken back",
		"An evacuation has ended. Traffic returns as the workers there bear it. The subject is the data centre, the detail the directory's revision and who told it.", "none")
	DirectoryReading = define(630, zerolog.InfoLevel, "directory is read",
		"This node reads the directory itself. The subject says why: start (nothing is known yet), turn (nothing fresh was heard and its turn has come), behind (a newer revision was heard of and no peer tells it). The detail is what that rests on.", "none")
)
