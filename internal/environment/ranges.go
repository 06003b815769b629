package environment

// Ranges are what a day is drawn from. Shares lie between 0 and 1.
type Ranges struct {
	LengthSeconds Range // of the day; arrivals end with it
	Sidecars      Range
	Servers       Range // at the start of the day
	Sites         Range // over which servers and sidecars are distributed

	RatePerSecond           Range   // operations of all sidecars together, without clients' retries
	Load                    Range   // work requested, as a share of the capacity of all servers when warm
	OverloadedDayShare      float64 // share of the days with overload
	OverloadedRatePerSecond Range   // then: many small requests, since cold servers can take few large ones
	OverloadedLoad          Range   // then
	LongRequestDayShare     float64 // share of the days with few and long requests
	LongRequestFactor       Range   // then: how many times as long, and as few, they are
	Swing                   Range   // amplitude of the arrival rate, as a share of it
	SwingPeriodSeconds      Range   // of the swing
	BurstFactor             Range   // of the arrival rate in a burst
	BurstSeconds            Range   // length of a burst
	BurstIntervalSeconds    Range   // mean time between bursts
	SidecarSkew             Range   // coefficient of variation of the sidecars' shares

	SameSiteMillis  Range // one way within a site
	CrossSiteMillis Range // one way between two sites
	ClientMillis    Range // one way between an application and its sidecar
	Jitter          Range // of a path's time, as a share of it

	Retries             Range // of an operation by its client
	AttemptTimeoutShare Range // of the total time-out, for a request that may be retried
	BackoffMillis       Range // before a client's first retry; doubled before each further one
	RetryAfterShare     Range // share of the rejected clients that honour Retry-After
	ImpatientShare      Range // share of the clients that abandon a request before its deadline

	FailureNoticeSeconds  Range // until discovery knows of a process that has died
	SilentNoticeSeconds   Range // or of a machine that has become unreachable
	StartNoticeSeconds    Range // or of a process that has started
	PublishIntervalMillis Range // between two publications of what discovery knows
	DeliveryMillis        Range // until an update is written to a watch
	CallsPerSecond        Range // that discovery can serve
	EntriesPerCall        Range // entries of an answer that cost as much as the call itself

	ReportIntervalMillis Range // between two load reports
	ReportLagMillis      Range // age of a load report when it is published
	ReportNoise          Range
	ConnIdleSeconds      Range // idle time-out of a server's connections
	ConnectionsPerSlot   Range // that a server accepts
	ConnectionOverhead   Range // share of a server's capacity that the maximum of connections takes
	HandshakeMillis      Range // work of a new connection
	HealthCheckMillis    Range // work of a health check
	HealthChecksPerSlot  Range // a second
	WarmupWorkSeconds    Range // seconds of work on each slot that warm a cold server up

	Classes     []ClassRanges
	ServerKinds []ServerKindRanges
}

// ClassRanges are the ranges of a class of requests. Its times and work scale with the day's pace: where requests arrive
// faster they are smaller.
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

// ServerKindRanges are the ranges of a kind of server.
type ServerKindRanges struct {
	Name                 string
	Share                Range // of the servers
	Speed                Range // of one core, relative to the standard core
	SpeedCV              Range // coefficient of variation between servers of the kind
	Slots                Range // requests executed at once, each on its own core
	QueuePerSlot         Range // queue limit for each slot
	ThrashFactor         Range // loss of speed for each request in flight beyond ThrashThreshold for each slot
	ThrashThreshold      Range
	ColdCapacity         Range // share of the capacity at the start
	WarmupSeconds        Range // time after which it is warm in any case
	PauseIntervalSeconds Range // between two pauses
	PauseMillis          Range
	ErrorShare           Range // share of the requests answered by 500 after their execution
}

// LargeRanges returns the standard ranges for so many servers, with traffic in proportion. The number of sidecars stays, so
// that each has much traffic, and its subset is the whole fleet.
func LargeRanges(servers int) Ranges {
	r := StandardRanges()
	factor := 2 * float64(servers) / (r.Servers.Min + r.Servers.Max)
	r.Servers = Range{float64(servers), float64(servers)}
	for _, rate := range []*Range{&r.RatePerSecond, &r.OverloadedRatePerSecond} {
		rate.Min *= factor
		rate.Max *= factor
	}
	return r
}

// StandardRanges returns the ranges of the days by which the project is measured.
func StandardRanges() Ranges {
	return Ranges{
		LengthSeconds:           Range{40, 50},
		Sidecars:                Range{3, 5},
		Servers:                 Range{12, 19},
		Sites:                   Range{3, 4},
		RatePerSecond:           Range{85, 320},
		Load:                    Range{0.3, 0.8},
		OverloadedDayShare:      0.1,
		OverloadedRatePerSecond: Range{240, 320},
		OverloadedLoad:          Range{0.95, 1.3},
		Swing:                   Range{0.1, 0.35},
		SwingPeriodSeconds:      Range{15, 40},
		BurstFactor:             Range{1.2, 2},
		BurstSeconds:            Range{0.3, 1.5},
		BurstIntervalSeconds:    Range{4, 12},
		SidecarSkew:             Range{0.1, 0.45},
		SameSiteMillis:          Range{0.1, 0.4},
		CrossSiteMillis:         Range{0.4, 0.9},
		ClientMillis:            Range{0.02, 0.1},
		Jitter:                  Range{0.1, 0.3},
		Retries:                 Range{1, 2},
		AttemptTimeoutShare:     Range{0.4, 0.8},
		BackoffMillis:           Range{30, 220},
		RetryAfterShare:         Range{0.3, 0.6},
		ImpatientShare:          Range{0, 0.02},
		FailureNoticeSeconds:    Range{0.9, 5},
		SilentNoticeSeconds:     Range{4, 12},
		StartNoticeSeconds:      Range{0.3, 2.5},
		PublishIntervalMillis:   Range{150, 1300},
		DeliveryMillis:          Range{40, 110},
		CallsPerSecond:          Range{3, 6},
		EntriesPerCall:          Range{24, 60},
		ReportIntervalMillis:    Range{300, 1400},
		ReportLagMillis:         Range{100, 450},
		ReportNoise:             Range{0.004, 0.07},
		ConnIdleSeconds:         Range{5, 5},
		ConnectionsPerSlot:      Range{600, 900},
		ConnectionOverhead:      Range{0.18, 0.38},
		HandshakeMillis:         Range{0.9, 1.5},
		HealthCheckMillis:       Range{0.15, 0.3},
		HealthChecksPerSlot:     Range{3.5, 10},
		WarmupWorkSeconds:       Range{3, 8},
		Classes:                 standardClasses(),
		ServerKinds:             standardServerKinds(),
	}
}

// standardClasses returns the classes of requests of the standard ranges.
func standardClasses() []ClassRanges {
	return []ClassRanges{
		{
			Name:                 "latest-reading",
			Effect:               "safe",
			Share:                Range{0.38, 0.56},
			RelativeWork:         Range{0.8, 1.4},
			WorkCV:               Range{0.45, 0.8},
			LatencyTargetSeconds: 0.6,
			TotalTimeoutSeconds:  3,
			PriorityWeight:       1,
			LateFraction:         0.2,
		},
		{
			Name:                 "log-calibration",
			Effect:               "unsafe",
			Share:                Range{0.34, 0.52},
			RelativeWork:         Range{0.8, 1.4},
			WorkCV:               Range{0.3, 0.8},
			LatencyTargetSeconds: 1,
			TotalTimeoutSeconds:  3,
			PriorityWeight:       5,
			LateFraction:         0.3,
			BodyBytes:            Range{40, 400},
		},
		{
			Name:                 "raise-alert",
			Effect:               "keyed",
			Group:                "zone",
			Share:                Range{0.08, 0.12},
			RelativeWork:         Range{1, 1.8},
			WorkCV:               Range{0.3, 0.7},
			LatencyTargetSeconds: 1,
			TotalTimeoutSeconds:  2.5,
			DedupWindowSeconds:   12,
			PriorityWeight:       10,
			LateFraction:         0.25,
			BodyBytes:            Range{40, 400},
		},
	}
}

// standardServerKinds returns the kinds of servers of the standard ranges.
func standardServerKinds() []ServerKindRanges {
	kind := func(name string, share, speed, waiting Range) ServerKindRanges {
		return ServerKindRanges{
			Name:                 name,
			Share:                share,
			Speed:                speed,
			SpeedCV:              Range{0.05, 0.22},
			Slots:                Range{1, 2},
			QueuePerSlot:         waiting,
			ThrashFactor:         Range{0, 0.05},
			ThrashThreshold:      Range{6, 12},
			ColdCapacity:         Range{0.15, 0.33},
			WarmupSeconds:        Range{10, 24},
			PauseIntervalSeconds: Range{2.5, 11},
			PauseMillis:          Range{0, 120},
			ErrorShare:           Range{0, 0.003},
		}
	}
	return []ServerKindRanges{
		kind("large", Range{0.31, 0.43}, Range{1.1, 1.5}, Range{11, 38}),
		kind("medium", Range{0.31, 0.43}, Range{0.85, 1.1}, Range{9, 19}),
		kind("small", Range{0.22, 0.3}, Range{0.6, 0.8}, Range{12, 27}),
	}
}
