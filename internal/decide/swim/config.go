package swim

// Settings are what a View is told at its start. Times are in seconds.
type Settings struct {
	Join []string // addresses to begin with
	// Replaceable says that a process with the same identity and address is a successor, which speaks from now on.
	HotRestart bool
	Seed       uint64
}

// How members watch each other, in seconds where nothing else is said.
const (
	maxRequestedLinks               = 16   // members that links are kept to since Want asked for them
	ringCount                       = 4    // each is a neighbour to watch, and one to be watched by
	heartbeatIntervalSeconds        = 0.5  // between two beats on a link
	tickIntervalSeconds             = 0.25 // between two looks at what is due
	silenceTimeoutSeconds           = 1.4  // without a word makes an accusation
	refusedTimeoutSeconds           = 0.6  // makes one where two dials were refused meanwhile
	minSuspicionSeconds             = 1.0  // from an accusation to a death that three have seen
	maxSuspicionSeconds             = 4.0  // to one that nobody else has
	maxAccusers                     = 3    // accusers to be quick
	maxHealthScore                  = 3    // doubts about oneself, each of which adds to the patience with others
	healthDecaySeconds              = 5.0  // after which one doubt goes
	linkTimeoutSeconds              = 4.0  // without a word end a link
	stallThresholdSeconds           = 0.9  // between two calls: this process stood still
	minMuteSeconds                  = 5.0  // before one that has refuted is accused by the same alone again; doubles up to
	maxMuteSeconds                  = 60.0
	watchGraceSeconds               = 10.0  // a link is watched that ended without a word and is not wanted
	deadLinkSeconds                 = 30.0  // a link to one that is dead is kept: it may have stood still
	forgetAfterSeconds              = 600.0 // the dead and the left are known for
	digestMarginSeconds             = 60.0  // before they are forgotten they no longer count for the sums
	reconnectsPerSecond             = 8.0   // calls a second of the whole fleet at those that are not heard, to meet again after a cut
	maxMembers                      = 8192  // members, with the dead
	maxProbeIntervalSeconds         = 2.0   // between two calls at members that were never met; by half after each that was not there, down to
	minProbeIntervalSeconds         = 0.1
	maxNewcomers                    = 1024 // that are taken on others' word in newcomersS, or as many as are known twice over
	newcomerWindowSeconds           = 10.0
	firstLinkTrustSeconds           = 5.0 // in which all is believed that comes by the first link
	massFailureFraction             = 4   // one in so many suspected: many have gone at once, and any member is called
	massFailureProbeIntervalSeconds = 0.5 // between two such calls, to begin with
	sweepIntervalSeconds            = 5.0 // between two looks at those that are gone
	maxIncarnationLead              = 1 << 48
	maxRecordsPerMessage            = 300  // records in one message
	minSyncIntervalSeconds          = 1.0  // between two comparisons, at least
	maxSyncIntervalSeconds          = 10.0 // at most, while views differ
)
