package event

import "github.com/rs/zerolog"

// Events of the bundle spread. A line that would repeat is held back for ten
// minutes per subject; the counters go on.
var (
	BundleInForce = define(220, zerolog.InfoLevel, "bundle in force",
		"A signed bundle passed every check and is in force from now on.", "none")
	BundleRefused = define(221, zerolog.ErrorLevel, "bundle refused",
		"A bundle failed a check; the one in force stays. The detail names the check and the source, the error every finding.",
		"Run gypsumctl check and verify on the published bundle, mend it and publish a higher version.")
	BundleOlder = define(222, zerolog.WarnLevel, "older bundle refused",
		"A source offered a version below the one in force; it was dropped.",
		"Look at the source named in the detail: it is stale, or someone publishes an old version again.")
	BundleConflict = define(223, zerolog.ErrorLevel, "two sign-offs of one bundle version",
		"Two different bundles carry one name and version. This node keeps the one it had first; others may hold the other.",
		"Publish a higher version at once, and find out who signed one version twice.")
	ConfigStale = define(224, zerolog.WarnLevel, "configuration service is stale",
		"The configuration service lists a version below one in force, or lacks one in force. Its answer does not count as a confirmation.",
		"Look at the configuration service's replication. The fleet keeps the newer versions.")
	ConfigUnreachable = define(225, zerolog.WarnLevel, "configuration service does not answer",
		"This node's reading of the index failed or timed out. The fleet keeps its versions, and some node tries again about once a second.",
		"Look at the configuration service when it lasts.")
	ConfigRecovered = define(226, zerolog.InfoLevel, "configuration service answers again",
		"A reading of the index succeeded after one had failed or was stale.", "none")
	ConfigUnconfirmed = define(227, zerolog.WarnLevel, "bundles are not confirmed",
		"For the time in the detail no reading, by this node or a peer, has confirmed the versions in force.",
		"Look at the configuration service and at this node's links.")
	BundlesContradict = define(228, zerolog.ErrorLevel, "bundles contradict each other",
		"Two bundles in force define one service or one route. The subject is the bundle that loses, the detail the place in it. The bundle whose name sorts first wins, on every node.",
		"Publish a version of one of the two without the service or route.")
	BundlesReady = define(229, zerolog.InfoLevel, "bundles ready",
		"The node has asked its peers and the platform and holds every version that they named.", "none")
	BundlesReadyUnconfirmed = define(230, zerolog.WarnLevel, "bundles ready on the platform's word alone",
		"No peer answered, so nobody could tell whether the configuration service is stale. The node serves, unconfirmed.",
		"Look at the links of this node when other nodes are up.")
	BundleUnobtainable = define(231, zerolog.WarnLevel, "bundle version cannot be had",
		"A version was named by a peer, a call or the index, but nobody has sent it for a minute.",
		"Compare the version with what is published; look at the platform and the links.")
	BundleNotForwarded = define(232, zerolog.WarnLevel, "bundle is not passed on",
		"The signed bytes of all bundles together are over this node's bound, so it keeps this one in force but does not send it to peers.",
		"Publish smaller or fewer bundles.")
)
