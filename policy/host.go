package policy

// host is what is known of one host.
type host struct {
	HostInfo
	isWithdrawn bool    // told that it drains or is gone: nothing new
	goneAt      float64 // when the list dropped it
	isMember    bool
	wasMember   bool        // a member, while the subset is taken
	group       memberGroup // where it was sorted to last

	gaps              []float32 // between answers on cadence, in cadences
	gapMean           float64   // of the gaps
	gapSigma          float64
	currentCadence    float64 // the cadence by which its present silence is judged
	nextCadence       float64 // the cadence from the last probe to the next
	lastAnswerAt      float64 // last probe answer on cadence
	nextProbeAt       float64
	hasAnswered       bool    // has answered on cadence in this life
	probedAt          float64 // send time of the cadence probe that is out; 0: none
	polledAt          float64 // send time of the poll that is out; 0: none
	phi               float64 // suspicion at the last reading
	connFailures      int     // connections refused or broken in a row
	connFailedAt      float64
	recoveryStartedAt float64   // when trust began to come back
	rejections        []float64 // attempts of each class turned away or failed in a row; each answer forgives half
	backoffUntil      []float64 // until then it gets nothing new of the class

	inFlight         []inFlightAttempt
	lastResponseAt   float64 // last answer over a connection
	reportedLoad     float64 // requests held, by the last report
	reportSentAt     float64 // send time of the probe that brought it; 0: never
	latencyRatio     float64 // delay against what is usual
	latencyRatioAt   float64
	queueSeconds     float64 // seconds that the last probe waited beyond what an idle host takes, where reports are absent
	queueMeasuredAt  float64
	concurrencyLimit float64 // own requests in flight, where reports are absent
	limitCutAt       float64

	windowStart                    float64
	windowSent, previousWindowSent float64
	windowDraw                     float64 // drawn for the window
}

// out is an attempt in flight, as its host sees it.
type inFlightAttempt struct {
	requestID            uint32
	class                int
	sentAt               float64
	expectedSeconds      float64
	expectedQueueSeconds float64 // the line that was expected
	connIdleSeconds      float64 // seconds since its connection brought the last answer
}
