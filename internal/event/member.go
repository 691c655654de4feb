package event

import "github.com/rs/zerolog"

// Events of membership.
var (
	MemberJoined = define(300, zerolog.DebugLevel, "instance known",
		"An instance became known, or took a new incarnation.", "none")
	MemberLeaving = define(301, zerolog.DebugLevel, "instance leaving",
		"An instance said that it leaves, or the platform's list did.", "none")
	MemberGone = define(302, zerolog.DebugLevel, "instance gone",
		"An instance stopped, or was declared gone; no work is sent to it.", "none")
	MemberSuspected = define(303, zerolog.InfoLevel, "instance suspected",
		"This node cannot reach an instance and reaches others of its data centre; peers are asked to check.",
		"none; when it repeats for one instance, look at its host and network.")
	MemberDeclaredGone = define(304, zerolog.WarnLevel, "instance declared gone",
		"Several nodes could not reach an instance and it did not object in time.",
		"Look at the instance; it comes back by itself with a new incarnation when it was reachable after all.")
	SuspicionRefuted = define(305, zerolog.WarnLevel, "suspicion against this node refuted",
		"Peers could not reach this node, which objected.",
		"When it repeats, look at this host's network and at pauses.")
	PartitionSuspected = define(306, zerolog.WarnLevel, "data centre unreachable, nobody declared gone",
		"Too large a share of a data centre's instances looks dead at once, or none of it can be reached: taken for a partition.",
		"Look at the network between the data centres; work goes on with what can be reached.")
	IncarnationRaised = define(307, zerolog.WarnLevel, "own incarnation raised",
		"Peers remember an incarnation of this node as great as its own, or declared it gone; it goes on under a greater one.",
		"Check that no second process runs under this instance name.")
	ListFailed = define(308, zerolog.WarnLevel, "platform's list not read",
		"Nobody has read the platform's list of instances for some seconds; the fleet goes on with what it knows.",
		"Look at the platform's service.")
	ListRecovered = define(309, zerolog.InfoLevel, "platform's list read again",
		"The list of instances was read after failures.", "none")
	ListStale = define(310, zerolog.WarnLevel, "platform's list older than known",
		"The platform served an older revision of the list than one already seen; it was dropped.",
		"Look at the platform's service: it serves stale content.")
	ListIncomplete = define(311, zerolog.ErrorLevel, "platform's list lacks too many instances",
		"A full list lacks more than a third of the instances that earlier ones named; none is removed for it.",
		"Look at the platform's service.")
	ListSaysLeaving = define(312, zerolog.WarnLevel, "platform's list says that this instance leaves",
		"The platform's list marks this instance as leaving although the node was not told to stop; peers send it no new work.",
		"Stop the node, or correct the platform's list.")
	SnapshotLoaded = define(313, zerolog.InfoLevel, "fleet loaded from a peer",
		"This node has taken over a peer's view of the fleet.", "none")
	Isolated = define(314, zerolog.WarnLevel, "no link to any peer",
		"This node knows other instances and has had no link for some seconds.",
		"Look at the network and at the peer port's settings.")
	MemberMalformed = define(315, zerolog.WarnLevel, "membership message refused",
		"A peer sent records that are malformed or over a bound; they were dropped.",
		"Look at the peer's version.")
	MemberLimit = define(316, zerolog.ErrorLevel, "too many instances",
		"More instances are known than this build holds; the newest was dropped.",
		"Look for a fault in the platform's list.")
)
