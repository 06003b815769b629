package policy

// host is the state that a Balancer keeps of one host. A field that is added here is added to checkpoint.go.
type host struct {
	HostInfo
	isWithdrawn bool    // listed as draining or gone: no new attempts
	goneAt      float64 // when the list last named it as not gone
	isMember    bool
	wasMember   bool        // scratch of chooseSubset: a member of the subset before
	group       memberGroup // from the last groupMembers

	// Failure detector.
	gaps              []float32 // the last gaps between answers to cadence probes, in cadences
	gapMean           float64   // of gaps
	gapSigma          float64   // standard deviation of gaps
	currentCadence    float64   // seconds: the unit in which the present silence is measured
	nextCadence       float64   // seconds from the last cadence probe to the next
	lastAnswerAt      float64   // last answer to a cadence probe
	nextProbeAt       float64   // next cadence probe
	hasAnswered       bool      // has answered a cadence probe since it was added or restarted
	probedAt          float64   // send time of the cadence probe in flight; 0: none
	polledAt          float64   // send time of the report poll in flight; 0: none
	phi               float64   // suspicion at the last updatePhi
	connFailures      int       // connections refused or reset in a row
	connFailedAt      float64   // the last of them
	recoveryStartedAt float64   // when it answered again after an outage: it warms up from then on

	// Backoff, by class.
	rejections   []float64 // attempts rejected or failed in a row, at most 8; each answer halves it
	backoffUntil []float64 // it gets no new request of the class before

	// Load.
	inFlight         []inFlightAttempt // in order of their sends
	lastResponseAt   float64           // last answer to an attempt
	reportedLoad     float64           // requests it held by the last load report
	reportSentAt     float64           // send time of the probe that brought the report; 0: no report yet
	latencyRatio     float64           // moving average of delays in units of the expected ones
	latencyRatioAt   float64           // last change of latencyRatio
	queueSeconds     float64           // queue delay at queueMeasuredAt, where reports are absent
	queueMeasuredAt  float64
	concurrencyLimit float64 // own attempts in flight, where reports are absent
	limitCutAt       float64

	// Slow start budget. Windows begin at multiples of SlowStartWindowSeconds.
	windowStart                    float64
	windowSent, previousWindowSent float64 // work sent in this window and in the one before, in requests of mean work
	windowDraw                     float64 // this proxy's draw in [0, 1) for the window
}

// inFlightAttempt is an attempt in flight as its host sees it. It outlives the request when that gets its final answer first.
type inFlightAttempt struct {
	requestID            uint32
	class                int
	sentAt               float64
	expectedSeconds      float64 // expected delay, above 0
	expectedQueueSeconds float64 // queue delay that was expected at the send
	connIdleSeconds      float64 // idle time of the host's connections at the send; 0: not idle, or closed before
}
