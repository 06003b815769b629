package swim

// Settings configure a View.
type Settings struct {
	Join []string // addresses of members to join by
	// HotRestart: a process with the same identity and address is this one's replacement, and takes the identity over.
	HotRestart bool
	Seed       uint64 // of the View's random draws
}

// Neighbors and links.
const (
	ringCount                = 4 // each adds a neighbor to watch, and one to be watched by
	maxRequestedLinks        = 16
	heartbeatIntervalSeconds = 0.5
	tickIntervalSeconds      = 0.25
	linkTimeoutSeconds       = 4.0  // without a message, after which a link is closed
	watchGraceSeconds        = 10.0 // for which a member is watched after a link to it ended unannounced, or that is being probed
	deadLinkSeconds          = 30.0 // for which a link to a dead member is kept, which may only have stalled
	redialDelaySeconds       = 1.0  // least time between two dials of a member
	minBackoffSeconds        = 0.3  // after a failed dial, doubled with each
	maxBackoffSeconds        = 8.0
)

// Failure detection. Timeouts of silence are multiplied by 1 + the local health score.
const (
	silenceTimeoutSeconds = 1.4 // without a message, after which a member is suspect,
	refusedTimeoutSeconds = 0.6 // or after this time if two dials failed since
	minSuspicionSeconds   = 1.0 // from suspect to dead with maxAccusers accusers
	maxSuspicionSeconds   = 4.0 // the same with one accuser
	maxAccusers           = 3
	minMuteSeconds        = 5.0 // after a refutation, before the same member alone accuses again; doubled each time
	maxMuteSeconds        = 60.0
	maxHealthScore        = 3
	healthDecaySeconds    = 5.0 // after which the local health score falls by one
	stallThresholdSeconds = 0.9 // between two calls, from which on this process counts as stalled
)

// Probes of members that this one has no link to.
const (
	maxProbeIntervalSeconds         = 2.0 // quartered after a probe that failed, doubled after one that did not
	minProbeIntervalSeconds         = 0.1
	massFailureFraction             = 4 // one in so many is suspect: any member is probed, and sooner
	massFailureProbeIntervalSeconds = 0.5
	reconnectsPerSecond             = 8.0 // of the whole fleet, to dead members and join addresses, so that a partition heals
	maxReconnectsAtOnce             = 8   // by a member that knows nobody
)

// Membership and dissemination.
const (
	forgetAfterSeconds     = 600.0 // for which dead members and those that left are known
	digestMarginSeconds    = 60.0  // before that they stop counting for digests, so that members forget at different times
	sweepIntervalSeconds   = 5.0
	maxMembers             = 8192 // including dead ones
	maxNewcomers           = 1024 // that are accepted in newcomerWindowSeconds on the word of others; or twice as many as are known
	newcomerWindowSeconds  = 10.0
	firstLinkTrustSeconds  = 5.0 // for which everything is accepted that comes over the first link
	maxIncarnationLead     = 1 << 48
	maxRecordsPerMessage   = 300
	minSyncIntervalSeconds = 1.0  // between two comparisons of digests
	maxSyncIntervalSeconds = 10.0 // the same while views keep differing
	minMismatches          = 3    // heartbeats in a row with another digest, before views are compared
)
