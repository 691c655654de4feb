package event

import "github.com/rs/zerolog"

// Events of the directory, the source of workers and configuration.
var (
	DirectoryUnreachable = define(620, zerolog.WarnLevel, "directory unreachable",
		"A read of the directory failed; the node continues with what it knows. The detail is the age of the last successful read.",
		"Check the directory if other nodes report this too; otherwise check this instance's network.")
	DirectoryRecovered = define(621, zerolog.InfoLevel, "directory reachable again",
		"The directory was read after a failure, or for the first time. The detail is how long it was unreachable.", "none")
	WorkerListed = define(622, zerolog.InfoLevel, "worker listed",
		"The directory lists a new incarnation of a worker, or a new state of one. The subject is the worker, the detail its instance, service and state.", "none")
	WorkerUnlisted = define(623, zerolog.InfoLevel, "worker no longer listed",
		"The directory has removed a worker; no new work is sent to it. The subject is the worker, the detail its instance and by how much the removal was delayed.", "none")
	WorkerMissing = define(624, zerolog.WarnLevel, "worker missing after an outage",
		"The directory no longer contains a worker that it listed before it was unreachable. The worker is used until the time in which running workers list themselves again has passed.", "none")
	ConfigInForce = define(625, zerolog.InfoLevel, "configuration in force",
		"A newer configuration from the directory replaced the previous one. The subject is its version, the detail where it came from and how old the view was.", "none")
	ConfigOlder = define(626, zerolog.WarnLevel, "older configuration ignored",
		"The directory served an older configuration than the one in force. The subject is its version, the detail the one in force.",
		"Find out whether an old copy of the directory was restored.")
	DirectoryItemRefused = define(627, zerolog.ErrorLevel, "directory item refused",
		"An item of the directory could not be decoded: a field is missing or has the wrong type, a state is unknown, or the bytes are unreadable. Such an entry of a worker makes the worker unusable, even where it replaces a valid one; for a configuration the previous one stays in force. Logged once for each change. The subject is the item's key.",
		"Find out who wrote the item and in which version of the format.")
	ConfigRefused = define(631, zerolog.ErrorLevel, "configuration refused",
		"This node cannot decode the directory's newest configuration; the previous one stays in force. The subject is its revision, the detail where it came from.",
		"Find out what the error names, and write a configuration without it. If other nodes have it in force (625), this one runs an older program.")
	DirectoryViewStale = define(628, zerolog.WarnLevel, "view of the directory is stale",
		"This node's view of the directory was last confirmed, by its own read or a peer's, longer ago than a change may take to come into force. The subject is the reason: reading-fails, reading-slow, waits-for-peers, configuration-late (a newer one was not transferred: 637) or configuration-refused (631).",
		"reading-fails: check the directory, or this instance's connection to it. Otherwise: compare the detail with other nodes' 628 and 630.")
	DirectoryViewFresh = define(629, zerolog.InfoLevel, "view of the directory is current again",
		"Follows event 628. The detail is for how long nothing had confirmed the view.", "none")
	DataCentreEvacuated = define(632, zerolog.WarnLevel, "data centre evacuated",
		"The directory states that a data centre is evacuated: no requests are sent to its workers. Requests go to other data centres; those queued for its workers are passed on; a request of a service without workers elsewhere is refused at once, not run. The subject is the data centre, the detail the directory's revision and where it came from.",
		"None if it was intended. Otherwise find out who wrote that revision.")
	DataCentreRestored = define(633, zerolog.InfoLevel, "data centre in use again",
		"An evacuation has ended. Traffic returns at the rate that the workers there can take. The subject is the data centre, the detail the directory's revision and where it came from.", "none")
	DirectoryRestored = define(634, zerolog.WarnLevel, "directory restored from an older copy",
		"The directory is in a later era, as a read or a peer showed: it lost what was written since a copy was made, and its revisions go back. This node's view was replaced by the complete content; what the copy lacks is kept in use for two seconds, in which its writers write it again. The subject is the era, the detail the revisions (era:number) and who told of it.",
		"Check that the operator's configuration and the workers' entries were written again.")
	ListingIgnored = define(635, zerolog.DebugLevel, "older listing ignored",
		"A read or a peer told of a worker's entry at a revision before a change of it that is known. The subject is the worker, the detail the entry's state and revision.", "none")
	ConfigReceived = define(636, zerolog.InfoLevel, "configuration received",
		"The directory or a peer sent a configuration, with its compressed size and the duration of the transfer. The subject is its version.",
		"Each node receives a version once, seldom twice. Long transfers: check this instance's connection.")
	ConfigDecoded = define(638, zerolog.InfoLevel, "configuration decoded",
		"A configuration that was received (636) was decoded beside requests; 625 or 631 follows. The subject is its version.", "none")
	ConfigTransferFailed = define(637, zerolog.WarnLevel, "configuration not transferred",
		"A configuration that is transferred apart from other changes did not arrive. The subject is the peer, or this node's own read; it is requested again, from another one if possible.",
		"Repeated for long: check the connections of this instance.")
	DirectoryReading = define(630, zerolog.InfoLevel, "reading the directory",
		"This node reads the directory itself. The subject is the reason: start (nothing is known yet), turn (no recent update was received and it is this node's turn), behind (a newer revision was announced and no peer has sent it), restored (634), configuration (a large one changed and no peer has sent it). The detail is what the reason is based on.", "none")
)
