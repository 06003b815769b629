package policy

// host is the state that a Balancer keeps of one host. A field that is added here is added to checkpoint.go.
type host struct {
	HostInfo
	isWithdrawn bool    // listed as draining or gone: no new attempts
	goneAt      float64 // when it was last listed as ready or draining
	isMember    bool
	wasMember   bool        // used within chooseSubset only: was a member before
	group       memberGroup // set by the last groupMembers

	// Failure detector.
	gaps              []float32 // the last gaps between answers to cadence probes, in cadences
	gapMean           float64   // mean of gaps
	gapSigma          float64   // standard deviation of gaps
	currentCadence    float64   // seconds; the unit in which the current silence is measured
	nextCadence       float64   // seconds from the last cadence probe to the next
	lastAnswerAt      float64   // time of the last answer to a cadence probe
	nextProbeAt       float64   // time of the next cadence probe
	hasAnswered       bool      // has answered a cadence probe since it was added or restarted
	probedAt          float64   // send time of the cadence probe in flight; 0 if none
	polledAt          float64   // send time of the report poll in flight; 0 if none
	phi               float64   // suspicion at the last updatePhi
	connFailures      int       // connections refused or reset in a row
	connFailedAt      float64   // time of the last of them
	recoveryStartedAt float64   // when it answered again after an outage; its slow start begins then

	// Backoff, by class.
	rejections   []float64 // consecutive rejected or failed attempts, at most 8; each answer halves the number
	backoffUntil []float64 // until then it gets no new request of the class

	// Load.
	inFlight         []inFlightAttempt // in order of their sends
	lastResponseAt   float64           // time of the last answer to an attempt
	reportedLoad     float64           // requests that it held according to the last load report
	reportSentAt     float64           // send time of the probe that brought the report; 0: no report yet
	latencyRatio     float64           // moving average of actual delays divided by expected ones
	latencyRatioAt   float64           // time of the last change of latencyRatio
	queueSeconds     float64           // queue delay as of queueMeasuredAt, where reports are absent
	queueMeasuredAt  float64
	concurrencyLimit float64 // limit of own attempts in flight, where reports are absent
	limitCutAt       float64

	// Slow start budget. Windows begin at multiples of SlowStartWindowSeconds.
	windowStart                    float64
	windowSent, previousWindowSent float64 // work sent in this window and in the previous one, in requests of mean work
	windowDraw                     float64 // this proxy's result of the function windowDraw for the window
}

// inFlightAttempt is the record that a host keeps of an attempt in flight. It outlives the request if that gets its final answer
// first.
type inFlightAttempt struct {
	requestID            uint32
	class                int
	sentAt               float64
	expectedSeconds      float64 // expected delay, always above 0
	expectedQueueSeconds float64 // queue delay that was expected at the send
	connIdleSeconds      float64 // idle time of the host's connections at the send; 0 if they were in use or closed before
}
