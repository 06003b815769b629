package environment

// Ranges are what a day is drawn from. Lengths end in S (seconds) or MS (milliseconds), shares lie between 0 and 1.
type Ranges struct {
	LengthSeconds Range // of the day; arrivals end with it
	Sidecars      Range
	Servers       Range // at the start of the day
	Sites         Range // boxes and sidecars are dealt out among so many

	RatePerSecond           Range   // requests a second of all sidecars together, clients' retries not counted
	Load                    Range   // work asked for, as a share of what all boxes bear when warm
	OverloadedDayShare      float64 // share of the days that are crowded
	OverloadedRatePerSecond Range   // requests a second then: many small ones, since boxes that begin cold bear few large ones
	OverloadedLoad          Range   // and their work
	LongRequestDayShare     float64 // share of the days on which requests are few and long
	LongRequestFactor       Range   // so many times as long then, and as few
	Swing                   Range   // arrivals go up and down by this share
	SwingPeriodSeconds      Range   // of the swing
	BurstFactor             Range   // in a burst arrivals are multiplied by this
	BurstSeconds            Range   // a burst's length
	BurstIntervalSeconds    Range   // mean time between bursts
	SidecarSkew             Range   // how unevenly sidecars are used: the spread of their shares

	SameSiteMillis  Range // one way within a site
	CrossSiteMillis Range // one way between two sites
	ClientMillis    Range // one way between an application and its sidecar
	Jitter          Range // of a way's time, as a share of it

	Retries             Range // of a request by its client
	AttemptTimeoutShare Range // of a request's time that its client gives to a try that may be followed by another
	BackoffMillis       Range // before a client's first retry; doubled before each further one
	RetryAfterShare     Range // share of the refused that wait as long as they are told to
	ImpatientShare      Range // share of the clients that leave before their time is over

	FailureNoticeSeconds  Range // until discovery knows of a process that has died
	SilentNoticeSeconds   Range // or of a machine that has gone silent
	StartNoticeSeconds    Range // or of one that has begun
	PublishIntervalMillis Range // how often discovery takes up what it knows
	DeliveryMillis        Range // until a watcher is told of it
	CallsPerSecond        Range // that discovery works through
	EntriesPerCall        Range // lines of an answer that cost as much as the call

	ReportIntervalMillis Range // how often a load report is made
	ReportLagMillis      Range // how old it is when it is shown first
	ReportNoise          Range
	ConnIdleSeconds      Range // a box closes a connection that has been idle for so long
	ConnectionsPerSlot   Range // connections that a box takes for each core
	ConnectionOverhead   Range // share of a box's capacity that a full table of connections takes
	HandshakeMillis      Range // work of a new connection
	HealthCheckMillis    Range // work of a probe
	HealthChecksPerSlot  Range // that a box serves for each core
	WarmupWorkSeconds    Range // seconds of work, by capacity, that make a cold box warm

	Classes     []ClassRanges
	ServerKinds []ServerKindRanges
}

// ClassRanges are those of a class of requests. Its times and work go with the day's pace: where requests come faster
// they are smaller.
type ClassRanges struct {
	Name                 string
	Effect               string // safe, keyed or unsafe
	Group                string // of a keyed class: all, zone or cell
	Share                Range  // of the requests
	RelativeWork         Range  // relative to the day's mean
	WorkCV               Range
	LatencyTargetSeconds float64 // at pace 1
	TotalTimeoutSeconds,
	DedupWindowSeconds float64
	PriorityWeight, LateFraction float64
	BodyBytes                    Range // of a request; 0: none
}

// KindRanges are those of a kind of box.
type ServerKindRanges struct {
	Name                 string
	Share                Range // of the boxes
	Speed                Range // of one core beside the standard core
	SpeedCV              Range // between boxes of the kind
	Slots                Range // requests in work at once, each on its own core
	QueuePerSlot         Range // room for more, for each slot
	ThrashFactor         Range // loss of speed for each request too many, beyond ThrashAt held for each slot
	ThrashThreshold      Range
	ColdCapacity         Range // share of the capacity at the start
	WarmupSeconds        Range // warm then at the latest
	PauseIntervalSeconds Range // between two pauses
	PauseMillis          Range
	ErrorShare           Range // share of the requests answered by 500 after they have run
}

// Large returns the usual ranges for so many boxes, with as much more traffic. Sidecars are as many as usual, so that each
// is a busy one, whose subset is the whole fleet.
func LargeRanges(boxes int) Ranges {
	r := StandardRanges()
	times := 2 * float64(boxes) / (r.Servers.Min + r.Servers.Max)
	r.Servers = Range{float64(boxes), float64(boxes)}
	for _, rate := range []*Range{&r.RatePerSecond, &r.OverloadedRatePerSecond} {
		rate.Min *= times
		rate.Max *= times
	}
	return r
}

// Usual returns the ranges of the days that the project is judged by.
func StandardRanges() Ranges {
	kind := func(name string, share, speed, waiting Range) ServerKindRanges {
		return ServerKindRanges{Name: name, Share: share, Speed: speed, SpeedCV: Range{0.05, 0.22}, Slots: Range{1, 2},
			QueuePerSlot: waiting, ThrashFactor: Range{0, 0.05}, ThrashThreshold: Range{6, 12}, ColdCapacity: Range{0.15, 0.33},
			WarmupSeconds: Range{10, 24}, PauseIntervalSeconds: Range{2.5, 11}, PauseMillis: Range{0, 120}, ErrorShare: Range{0, 0.003}}
	}
	return Ranges{
		LengthSeconds: Range{40, 50}, Sidecars: Range{3, 5}, Servers: Range{12, 19}, Sites: Range{3, 4},
		RatePerSecond: Range{85, 320}, Load: Range{0.3, 0.8}, OverloadedDayShare: 0.1, OverloadedRatePerSecond: Range{240, 320}, OverloadedLoad: Range{0.95, 1.3}, Swing: Range{0.1, 0.35}, SwingPeriodSeconds: Range{15, 40},
		BurstFactor: Range{1.2, 2}, BurstSeconds: Range{0.3, 1.5}, BurstIntervalSeconds: Range{4, 12}, SidecarSkew: Range{0.1, 0.45},
		SameSiteMillis: Range{0.1, 0.4}, CrossSiteMillis: Range{0.4, 0.9}, ClientMillis: Range{0.02, 0.1}, Jitter: Range{0.1, 0.3},
		Retries: Range{1, 2}, AttemptTimeoutShare: Range{0.4, 0.8}, BackoffMillis: Range{30, 220}, RetryAfterShare: Range{0.3, 0.6},
		ImpatientShare:       Range{0, 0.02},
		FailureNoticeSeconds: Range{0.9, 5}, SilentNoticeSeconds: Range{4, 12}, StartNoticeSeconds: Range{0.3, 2.5}, PublishIntervalMillis: Range{150, 1300},
		DeliveryMillis: Range{40, 110}, CallsPerSecond: Range{3, 6}, EntriesPerCall: Range{24, 60},
		ReportIntervalMillis: Range{300, 1400}, ReportLagMillis: Range{100, 450}, ReportNoise: Range{0.004, 0.07},
		ConnIdleSeconds: Range{5, 5}, ConnectionsPerSlot: Range{600, 900}, ConnectionOverhead: Range{0.18, 0.38}, HandshakeMillis: Range{0.9, 1.5},
		HealthCheckMillis: Range{0.15, 0.3}, HealthChecksPerSlot: Range{3.5, 10}, WarmupWorkSeconds: Range{3, 8},
		Classes: []ClassRanges{
			{Name: "latest-reading", Effect: "safe", Share: Range{0.38, 0.56}, RelativeWork: Range{0.8, 1.4},
				WorkCV: Range{0.45, 0.8}, LatencyTargetSeconds: 0.6, TotalTimeoutSeconds: 3, PriorityWeight: 1, LateFraction: 0.2},
			{Name: "log-calibration", Effect: "unsafe", Share: Range{0.34, 0.52}, RelativeWork: Range{0.8, 1.4},
				WorkCV: Range{0.3, 0.8}, LatencyTargetSeconds: 1, TotalTimeoutSeconds: 3, PriorityWeight: 5, LateFraction: 0.3, BodyBytes: Range{40, 400}},
			{Name: "raise-alert", Effect: "keyed", Group: "zone", Share: Range{0.08, 0.12}, RelativeWork: Range{1, 1.8},
				WorkCV: Range{0.3, 0.7}, LatencyTargetSeconds: 1, TotalTimeoutSeconds: 2.5, DedupWindowSeconds: 12, PriorityWeight: 10, LateFraction: 0.25,
				BodyBytes: Range{40, 400}},
		},
		ServerKinds: []ServerKindRanges{
			kind("large", Range{0.31, 0.43}, Range{1.1, 1.5}, Range{11, 38}),
			kind("medium", Range{0.31, 0.43}, Range{0.85, 1.1}, Range{9, 19}),
			kind("small", Range{0.22, 0.3}, Range{0.6, 0.8}, Range{12, 27}),
		},
	}
}
