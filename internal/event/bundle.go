package event

import "github.com/rs/zerolog"

// Events of the distribution of bundles. A repeated line is suppressed for ten minutes
// for each subject; the counters continue.
var (
	BundleInForce = define(220, zerolog.InfoLevel, "bundle in force",
		"A signed bundle passed every check and is now in force.", "none")
	BundleRefused = define(221, zerolog.ErrorLevel, "bundle refused",
		"A bundle failed a check; the previous one stays in force. The detail names the check and the source, the error lists every finding.",
		"Run gypsumctl check and verify on the published bundle, correct it and publish a higher version.")
	BundleOlder = define(222, zerolog.WarnLevel, "older bundle refused",
		"A source offered a version below the one in force; it was dropped.",
		"Check the source named in the detail: it is stale, or an old version was published again.")
	BundleConflict = define(223, zerolog.ErrorLevel, "two sign-offs of one bundle version",
		"Two different bundles have the same name and version. This node keeps the one that it received first; other nodes may have the other.",
		"Publish a higher version at once, and find out who signed one version twice.")
	ConfigStale = define(224, zerolog.WarnLevel, "configuration service is stale",
		"The configuration service lists a version below one in force, or is missing one in force. Its response does not count as a confirmation.",
		"Check the replication of the configuration service. The fleet keeps the newer versions.")
	ConfigUnreachable = define(225, zerolog.WarnLevel, "configuration service unreachable",
		"This node's read of the index failed or timed out. The fleet keeps its versions, and one of the nodes retries about once a second.",
		"Check the configuration service if this persists.")
	ConfigRecovered = define(226, zerolog.InfoLevel, "configuration service reachable again",
		"A read of the index succeeded after one that had failed or was stale.", "none")
	ConfigUnconfirmed = define(227, zerolog.WarnLevel, "bundles are not confirmed",
		"No read, by this node or a peer, has confirmed the versions in force for the time in the detail.",
		"Check the configuration service and this node's links.")
	BundlesContradict = define(228, zerolog.ErrorLevel, "bundles contradict each other",
		"Two bundles in force define the same service or route. The subject is the bundle that is ignored there, the detail the place in it. On every node the bundle whose name sorts first takes precedence.",
		"Publish a version of one of the two without the service or route.")
	BundlesReady = define(229, zerolog.InfoLevel, "bundles ready",
		"The node has asked its peers and the platform and holds every version that they listed.", "none")
	BundlesReadyUnconfirmed = define(230, zerolog.WarnLevel, "bundles ready, confirmed by the platform only",
		"No peer replied, so a stale configuration service could not be detected. The node serves without confirmation.",
		"Check the links of this node if other nodes are running.")
	BundleUnobtainable = define(231, zerolog.WarnLevel, "bundle version unobtainable",
		"A peer, a call or the index announced a version, but no source has sent it for a minute.",
		"Compare the version with what is published; check the platform and the links.")
	BundleNotForwarded = define(232, zerolog.WarnLevel, "bundle not passed on",
		"The signed bytes of all bundles together exceed this node's limit, so it keeps this one in force but does not send it to peers.",
		"Publish smaller or fewer bundles.")
)
