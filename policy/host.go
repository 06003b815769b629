package policy

// host is what is known of one host.
type host struct {
	HostInfo
	bound  bool    // told that it drains or is gone: nothing new
	goneAt float64 // when the list dropped it
	member bool
	was    bool // a member, while the subset is taken
	set    part // where it was sorted to last

	gaps      []float32 // between answers on cadence, in cadences
	mean      float64   // of the gaps
	sigma     float64
	every     float64 // the cadence by which its present silence is judged
	planned   float64 // the cadence from the last probe to the next
	answered  float64 // last probe answer on cadence
	nextProbe float64
	met       bool    // has answered on cadence in this life
	probedAt  float64 // send time of the cadence probe that is out; 0: none
	polledAt  float64 // send time of the poll that is out; 0: none
	phi       float64 // suspicion at the last reading
	refused   int     // connections refused or broken in a row
	refusedAt float64
	rampFrom  float64   // when trust began to come back
	turned    []float64 // attempts of each class turned away or failed in a row; each answer forgives half
	shunned   []float64 // until then it gets nothing new of the class

	outs     []out
	servedAt float64 // last answer over a connection
	reported float64 // requests held, by the last report
	seenAt   float64 // send time of the probe that brought it; 0: never
	ratio    float64 // delay against what is usual
	ratioAt  float64
	line     float64 // seconds that the last probe waited beyond what an idle host takes, where reports are absent
	lineAt   float64
	limit    float64 // own requests in flight, where reports are absent
	cutAt    float64

	winFrom          float64
	winSent, winPrev float64
	winLuck          float64 // drawn for the window
}

// out is an attempt in flight, as its host sees it.
type out struct {
	id       uint32
	class    int
	sentAt   float64
	expected float64
	line     float64 // the line that was expected
	idle     float64 // seconds since its connection brought the last answer
}
