package event

import "github.com/rs/zerolog"

// Events of membership.
var (
	MemberJoined = define(300, zerolog.DebugLevel, "instance joined",
		"An instance became known, or started a new incarnation.", "none")
	MemberLeaving = define(301, zerolog.DebugLevel, "instance leaving",
		"An instance announced that it is leaving, or the platform's list marked it as leaving.", "none")
	MemberGone = define(302, zerolog.DebugLevel, "instance gone",
		"An instance stopped, or was declared gone; no work is sent to it.", "none")
	MemberSuspected = define(303, zerolog.InfoLevel, "instance suspected",
		"This node cannot reach an instance but reaches others in its data centre; it asks peers to check.",
		"None; if it repeats for one instance, check its host and network.")
	MemberDeclaredGone = define(304, zerolog.WarnLevel, "instance declared gone",
		"Several nodes could not reach an instance, and it did not refute the suspicion in time.",
		"Check the instance; if it was reachable after all, it rejoins by itself with a new incarnation.")
	SuspicionRefuted = define(305, zerolog.WarnLevel, "suspicion of this node refuted",
		"Peers could not reach this node, which refuted the suspicion.",
		"If it repeats, check this host's network and look for process pauses.")
	PartitionSuspected = define(306, zerolog.WarnLevel, "data centre unreachable, no instance declared gone",
		"Too large a share of a data centre's instances became unreachable at once, or all of them: this is treated as a network partition.",
		"Check the network between the data centres; work continues with the reachable instances.")
	IncarnationRaised = define(307, zerolog.WarnLevel, "own incarnation raised",
		"Peers remember an incarnation of this node that is not older than its own, or declared it gone; it continues with a greater one.",
		"Check that no second process runs under this instance name.")
	ListFailed = define(308, zerolog.WarnLevel, "platform's list not read",
		"No node has read the platform's list of instances for some seconds; the fleet continues with what it knows.",
		"Check the platform's service.")
	ListRecovered = define(309, zerolog.InfoLevel, "platform's list read again",
		"The list of instances was read after failures.", "none")
	ListStale = define(310, zerolog.WarnLevel, "platform's list older than known",
		"The platform served an older revision of the list than one received before; it was dropped.",
		"Check the platform's service: it serves stale content.")
	ListIncomplete = define(311, zerolog.ErrorLevel, "platform's list is missing too many instances",
		"A complete list is missing more than a third of the instances that earlier ones contained; none is removed because of it.",
		"Check the platform's service.")
	ListMarksLeaving = define(312, zerolog.WarnLevel, "platform's list marks this instance as leaving",
		"The platform's list marks this instance as leaving although the node was not asked to stop; peers send it no new work.",
		"Stop the node, or correct the platform's list.")
	SnapshotLoaded = define(313, zerolog.InfoLevel, "fleet loaded from a peer",
		"This node has loaded a peer's view of the fleet.", "none")
	Isolated = define(314, zerolog.WarnLevel, "no link to any peer",
		"This node knows other instances and has had no link for some seconds.",
		"Check the network and the settings of the peer port.")
	MemberMalformed = define(315, zerolog.WarnLevel, "membership message refused",
		"A peer sent records that are malformed or exceed a limit; they were dropped.",
		"Check the peer's version.")
	MemberLimit = define(316, zerolog.ErrorLevel, "too many instances",
		"More instances are known than this build supports; the newest one was dropped.",
		"Look for a fault in the platform's list.")
)
