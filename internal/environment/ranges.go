package environment

// Ranges are what a day is drawn from. Lengths end in S (seconds) or MS (milliseconds), shares lie between 0 and 1.
type Ranges struct {
	LengthS  Range // of the day; arrivals end with it
	Sidecars Range
	Boxes    Range // at the start of the day
	Sites    Range // boxes and sidecars are dealt out among so many

	RatePS    Range   // requests a second of all sidecars together, clients' retries not counted
	Load      Range   // work asked for, as a share of what all boxes bear when warm
	Crowds    float64 // share of the days that are crowded
	CrowdedPS Range   // requests a second then: many small ones, since boxes that begin cold bear few large ones
	Crowded   Range   // and their work
	Longs     float64 // share of the days on which requests are few and long
	Long      Range   // so many times as long then, and as few
	Swing     Range   // arrivals go up and down by this share
	PeriodS   Range   // of the swing
	Burst     Range   // in a burst arrivals are multiplied by this
	BurstS    Range   // a burst's length
	EveryS    Range   // mean time between bursts
	Skew      Range   // how unevenly sidecars are used: the spread of their shares

	SameMS   Range // one way within a site
	CrossMS  Range // one way between two sites
	ClientMS Range // one way between an application and its sidecar
	Jitter   Range // of a way's time, as a share of it

	Retries   Range // of a request by its client
	TryShare  Range // of a request's time that its client gives to a try that may be followed by another
	BackoffMS Range // before a client's first retry; doubled before each further one
	Honour    Range // share of the refused that wait as long as they are told to
	Impatient Range // share of the clients that leave before their time is over

	NoticeS       Range // until discovery knows of a process that has died
	SilentNoticeS Range // or of a machine that has gone silent
	AddS          Range // or of one that has begun
	PublishMS     Range // how often discovery takes up what it knows
	SpreadMS      Range // until a watcher is told of it
	CallsPS       Range // that discovery works through
	CallLines     Range // lines of an answer that cost as much as the call

	ReportEveryMS Range // how often a load report is made
	ReportLagMS   Range // how old it is when it is shown first
	ReportNoise   Range
	ConnIdleS     Range // a box closes a connection that has been idle for so long
	ConnCap       Range // connections that a box takes for each core
	FullTax       Range // share of a box's capacity that a full table of connections takes
	HandshakeMS   Range // work of a new connection
	ProbeMS       Range // work of a probe
	ProbesPS      Range // that a box serves for each core
	WarmWork      Range // seconds of work, by capacity, that make a cold box warm

	Classes []ClassRanges
	Kinds   []KindRanges
}

// ClassRanges are those of a class of requests. Its times and work go with the day's pace: where requests come faster
// they are smaller.
type ClassRanges struct {
	Name   string
	Effect string // safe, keyed or unsafe
	Group  string // of a keyed class: all, zone or cell
	Share  Range  // of the requests
	Work   Range  // relative to the day's mean
	WorkCV Range
	AimS   float64 // at pace 1
	GiveUpS,
	WindowS float64
	Worth, LateWorth float64
	BodyBytes        Range // of a request; 0: none
}

// KindRanges are those of a kind of box.
type KindRanges struct {
	Name     string
	Share    Range // of the boxes
	Speed    Range // of one core beside the standard core
	SpeedCV  Range // between boxes of the kind
	Slots    Range // requests in work at once, each on its own core
	Waiting  Range // room for more, for each slot
	Thrash   Range // loss of speed for each request too many, beyond ThrashAt held for each slot
	ThrashAt Range
	ColdFrom Range // share of the capacity at the start
	ColdS    Range // warm then at the latest
	PauseS   Range // between two pauses
	PauseMS  Range
	Errors   Range // share of the requests answered by 500 after they have run
}

// Large returns the usual ranges for so many boxes, with as much more traffic. Sidecars are as many as usual, so that each
// is a busy one, whose subset is the whole fleet.
func LargeRanges(boxes int) Ranges {
	r := StandardRanges()
	times := 2 * float64(boxes) / (r.Boxes.Min + r.Boxes.Max)
	r.Boxes = Range{float64(boxes), float64(boxes)}
	for _, rate := range []*Range{&r.RatePS, &r.CrowdedPS} {
		rate.Min *= times
		rate.Max *= times
	}
	return r
}

// Usual returns the ranges of the days that the project is judged by.
func StandardRanges() Ranges {
	kind := func(name string, share, speed, waiting Range) KindRanges {
		return KindRanges{Name: name, Share: share, Speed: speed, SpeedCV: Range{0.05, 0.22}, Slots: Range{1, 2},
			Waiting: waiting, Thrash: Range{0, 0.05}, ThrashAt: Range{6, 12}, ColdFrom: Range{0.15, 0.33},
			ColdS: Range{10, 24}, PauseS: Range{2.5, 11}, PauseMS: Range{0, 120}, Errors: Range{0, 0.003}}
	}
	return Ranges{
		LengthS: Range{40, 50}, Sidecars: Range{3, 5}, Boxes: Range{12, 19}, Sites: Range{3, 4},
		RatePS: Range{85, 320}, Load: Range{0.3, 0.8}, Crowds: 0.1, CrowdedPS: Range{240, 320}, Crowded: Range{0.95, 1.3}, Swing: Range{0.1, 0.35}, PeriodS: Range{15, 40},
		Burst: Range{1.2, 2}, BurstS: Range{0.3, 1.5}, EveryS: Range{4, 12}, Skew: Range{0.1, 0.45},
		SameMS: Range{0.1, 0.4}, CrossMS: Range{0.4, 0.9}, ClientMS: Range{0.02, 0.1}, Jitter: Range{0.1, 0.3},
		Retries: Range{1, 2}, TryShare: Range{0.4, 0.8}, BackoffMS: Range{30, 220}, Honour: Range{0.3, 0.6},
		Impatient: Range{0, 0.02},
		NoticeS:   Range{0.9, 5}, SilentNoticeS: Range{4, 12}, AddS: Range{0.3, 2.5}, PublishMS: Range{150, 1300},
		SpreadMS: Range{40, 110}, CallsPS: Range{3, 6}, CallLines: Range{24, 60},
		ReportEveryMS: Range{300, 1400}, ReportLagMS: Range{100, 450}, ReportNoise: Range{0.004, 0.07},
		ConnIdleS: Range{5, 5}, ConnCap: Range{600, 900}, FullTax: Range{0.18, 0.38}, HandshakeMS: Range{0.9, 1.5},
		ProbeMS: Range{0.15, 0.3}, ProbesPS: Range{3.5, 10}, WarmWork: Range{3, 8},
		Classes: []ClassRanges{
			{Name: "latest-reading", Effect: "safe", Share: Range{0.38, 0.56}, Work: Range{0.8, 1.4},
				WorkCV: Range{0.45, 0.8}, AimS: 0.6, GiveUpS: 3, Worth: 1, LateWorth: 0.2},
			{Name: "log-calibration", Effect: "unsafe", Share: Range{0.34, 0.52}, Work: Range{0.8, 1.4},
				WorkCV: Range{0.3, 0.8}, AimS: 1, GiveUpS: 3, Worth: 5, LateWorth: 0.3, BodyBytes: Range{40, 400}},
			{Name: "raise-alert", Effect: "keyed", Group: "zone", Share: Range{0.08, 0.12}, Work: Range{1, 1.8},
				WorkCV: Range{0.3, 0.7}, AimS: 1, GiveUpS: 2.5, WindowS: 12, Worth: 10, LateWorth: 0.25,
				BodyBytes: Range{40, 400}},
		},
		Kinds: []KindRanges{
			kind("large", Range{0.31, 0.43}, Range{1.1, 1.5}, Range{11, 38}),
			kind("medium", Range{0.31, 0.43}, Range{0.85, 1.1}, Range{9, 19}),
			kind("small", Range{0.22, 0.3}, Range{0.6, 0.8}, Range{12, 27}),
		},
	}
}
