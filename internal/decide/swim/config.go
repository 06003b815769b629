package swim

// Settings are the settings of a View.
type Settings struct {
	Join []string // addresses of members through which to join
	// HotRestart means that a later process with the same identity and address replaces this one and takes its identity over.
	HotRestart bool
	Seed       uint64 // seed of the random number generator
}

// Neighbors and links.
const (
	ringCount                = 4 // each ring adds a neighbor to watch, and one that watches this member
	maxRequestedLinks        = 16
	heartbeatIntervalSeconds = 0.5
	tickIntervalSeconds      = 0.25
	linkTimeoutSeconds       = 4.0  // a link without a message for this long is closed
	watchGraceSeconds        = 10.0 // how long a member is watched after a link to it broke, or while it is probed
	deadLinkSeconds          = 30.0 // how long a link to a dead member is kept, since it may only have stalled
	redialDelaySeconds       = 1.0  // minimum time between two dials to a member
	minBackoffSeconds        = 0.3  // delay after a failed dial; doubled with each further one
	maxBackoffSeconds        = 8.0
)

// Failure detection. Silence timeouts are multiplied by 1 + the local health score.
const (
	silenceTimeoutSeconds = 1.4 // a member is suspected after this long without a message,
	refusedTimeoutSeconds = 0.6 // or after this long if two dials have failed since
	minSuspicionSeconds   = 1.0 // time from suspect to dead with maxAccusers accusers
	maxSuspicionSeconds   = 4.0 // time from suspect to dead with one accuser
	maxAccusers           = 3
	minMuteSeconds        = 5.0 // after an accusation, how long the same accuser alone doesn't accuse the member again; doubled each time
	maxMuteSeconds        = 60.0
	maxHealthScore        = 3
	healthDecaySeconds    = 5.0 // the local health score falls by one after this long
	stallThresholdSeconds = 0.9 // the process counts as stalled if no call comes for longer
)

// Probes of members to which this one has no link.
const (
	maxProbeIntervalSeconds         = 2.0 // the interval is quartered after a failed probe and doubled after a successful one
	minProbeIntervalSeconds         = 0.1
	massFailureFraction             = 4 // if more than one in this many members is suspect, any member is probed, and sooner
	massFailureProbeIntervalSeconds = 0.5
	reconnectsPerSecond             = 8.0 // dials of the whole fleet to dead members and join addresses, which heal partitions
	maxReconnectsAtOnce             = 8   // by a member that knows no live member
)

// Membership and dissemination.
const (
	forgetAfterSeconds     = 600.0 // how long dead members and those that left are remembered
	digestMarginSeconds    = 60.0  // how long before that they are excluded from digests, since members forget them at different times
	sweepIntervalSeconds   = 5.0
	maxMembers             = 8192 // including dead ones
	maxNewcomers           = 1024 // new members accepted within newcomerWindowSeconds from peers' records; or twice the known members, if more
	newcomerWindowSeconds  = 10.0
	firstLinkTrustSeconds  = 5.0 // how long all new members are accepted that the first link reports
	maxIncarnationLead     = 1 << 48
	maxRecordsPerMessage   = 300
	minSyncIntervalSeconds = 1.0  // minimum time between two comparisons of digests
	maxSyncIntervalSeconds = 10.0 // time after which views are compared although they keep changing
	minMismatches          = 3    // consecutive heartbeats with another digest before views are compared
)
