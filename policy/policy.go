package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Constants of the mechanism. Times without a setting behind them are in seconds.
const (
	window      = 30    // gaps kept for each member
	seeded      = 3     // gaps that a new or restarted host's window starts with
	firstLine   = 24.0  // requests in flight that all proxies allow a new host
	leastLine   = 4.0   // and at least
	dropFor     = 30.0  // how long idle connections are distrusted
	outageGaps  = 2.5   // a silence of so many cadences may have been a restart
	probeEvery  = 1.0   // cadence of the probes that feed phi
	probePeers  = 4.0   // proxies that may all probe a host each second; two more cost a second
	jitter      = 0.1   // part of the cadence by which probes are spread
	sigmaMin    = 0.1   // floor of sigma, as a part of the cadence; its cap is twice that
	phiCut      = 3.0   // above it a member is drawn half as often
	phiOut      = 8.0   // above it a member gets probes and no traffic
	subsetMin   = 4     // members of a proxy without traffic, beyond its part of the fleet
	probeWorth  = 0.016 // what the probes of an own request may cost, in parts of its worth
	slowest     = 6.0   // the cadence is stretched so many times at most where own requests are few
	drawn       = 4     // candidates whose reports are refreshed for a pick
	pollRTTs    = 4.0   // a poll waits for this many usual probe answers
	repollPart  = 0.12  // of the aim: when a held request looks again
	holdPart    = 0.15  // of the aim: longest hold of a request nobody can take
	repeatRate  = 0.1   // repeats for each request
	shareMemory = 5.0   // over which tenants are compared
	askMemory   = 2.0   // over which requests are counted that come
	rateMemory  = 10.0  // over which own traffic is measured
	forgetAfter = 60.0  // what the list no longer names is forgotten then
	likelier    = 1.4   // a cold host probably has so many times the least that it must have
	hope        = 0.85  // and a hinted one shorter by so much, or heavy requests are all refused
	relax       = 0.98  // what estimates keep at each request that nobody could take
	coldPart    = 0.35  // of the work that pushes a cold host over
	lineWeight  = 1.5   // a line probably grows before a request comes to its head
	doubt       = 1.3   // a guessed time may well be so many times longer
	farWeight   = 20.0  // how much dearer a host of another zone is, for the price of crossing
	scatter     = 0.12  // costs that differ by less are alike, or all proxies would go to the same host
	scanMost    = 32    // members that are looked at for each pick
	scanPause   = 2e-6  // for each member: between two looks at all where they are more
	briskPart   = 0.1   // of the aim: an answer within it came from a host that has room
	shunPart    = 0.05  // of the aim: shortest pause after a host has turned a request away
	firstAsk    = 1.0   // longest wait until the list is asked for after a failure
	longestAsk  = 2.0   // and after further ones: what a failed call missed counts as told 6 s later
)

// New returns a Balancer that has not been told of any host yet.
func New(s Settings, seed uint64, do Actions) *Balancer {
	pcg := rand.NewPCG(seed, ^seed)
	b := &Balancer{s: s, told: s.Replicas, do: do, pcg: pcg, rng: rand.New(pcg),
		field: slices.Index(s.ReportFields, FieldInflight),
		hosts: map[uint32]*host{}, byID: map[uint32]*request{}, meanGap: 1, budget: 3,
		rtt: 2 * s.TickS, aim: math.Inf(1), asked: make([]float64, len(s.Tenants))}
	b.polls = b.field >= 0 && s.ReportsOnProbe && s.Probes && drawn*s.ProbeCost <= probeWorth
	b.classMean, b.tries = make([]float64, len(s.Classes)), make([]try, len(s.Classes))
	for i := len(s.Classes) - 1; i >= 0; i-- {
		b.classMean[i], b.svc, b.aim = s.Classes[i].AimS/5, s.Classes[i].AimS/4, min(b.aim, s.Classes[i].AimS)
	}
	return b
}

// --- List and subset ---

// Hosts takes a list of hosts.
func (b *Balancer) Hosts(now float64, kind ListKind, list []HostInfo) {
	b.now = now
	if kind == ListFailed {
		// Danger: all proxies asking again at once keep the list service down: they ask in turn. Waits
		// beyond some seconds send to hosts whose drain counts as told by then.
		if b.watching {
			b.do.Log("the list of hosts is not to be had: asking again, hosts are known by their answers")
		}
		b.watching = false
		b.askWait = min(max(2*b.askWait, firstAsk), longestAsk)
		b.askAt = now + b.askTurn()
		b.due(b.askAt)
		return
	}
	if kind == ListFull {
		for _, h := range b.order {
			h.State = Gone
		}
	}
	for _, e := range list {
		h := b.hosts[e.ID]
		if h == nil {
			h = &host{HostInfo: HostInfo{ID: e.ID}}
			b.reset(h)
			b.hosts[e.ID] = h
			b.order = append(b.order, h)
		}
		if e.Started > h.Started && e.State == Ready {
			b.reset(h)
		}
		h.HostInfo = e
	}
	slices.SortFunc(b.order, func(x, y *host) int { return cmp.Compare(x.ID, y.ID) })
	// Departed hosts are forgotten in time, or memory and work would grow with every release.
	b.order = slices.DeleteFunc(b.order, func(h *host) bool {
		// Where only draining binds, an old list may call a host ready again that was told to drain.
		h.bound = h.State == Draining || h.State == Gone && !b.s.OnlyDrainBinds ||
			h.bound && (h.State != Ready || b.s.OnlyDrainBinds)
		if h.State != Gone {
			h.goneAt = now
		}
		if h.member || len(h.outs) > 0 || now-h.goneAt <= forgetAfter {
			return false
		}
		delete(b.hosts, h.ID)
		return true
	})
	if b.watching, b.askWait = kind != ListCached, 0; !b.watching {
		b.askAt = now + b.rng.Float64()*0.2
		b.due(b.askAt)
	}
	b.subset()
	b.pump()
}

// reset starts a host's life.
func (b *Balancer) reset(h *host) {
	*h = host{HostInfo: h.HostInfo, outs: h.outs, ratio: 1, member: h.member, gaps: h.gaps[:0],
		turned: make([]float64, len(b.s.Classes)), shunned: make([]float64, len(b.s.Classes))}
	if h.member {
		b.enlist(h)
	}
}

// enlist starts the watch over a member. A new window is seeded with the mean of the others'. Danger: all
// proxies that probe or connect at once push a new host over, so the first probe comes at random.
func (b *Balancer) enlist(h *host) {
	for len(h.gaps) < seeded {
		h.gaps = append(h.gaps, float32(b.meanGap))
	}
	h.measure()
	h.member, h.met, h.answered, h.planned = true, false, b.now, b.cadence()
	h.every = h.planned
	h.limit = cmp.Or(h.limit, firstLine/b.peers)
	h.nextProbe = b.now + b.rng.Float64()*h.every
	b.due(h.nextProbe)
}

// cadence is the time between two probes of a member. Danger: a crowd would probe more than it serves.
func (b *Balancer) cadence() float64 {
	most := slowest - (slowest-1)*min(4*b.crowd, 1) // where probes wait, their news is needed
	few, dear := float64(len(b.members))/max(b.usualRate(), 1e-9), max(b.s.ProbeCost/probeWorth, 2)
	return probeEvery * max(min(max(0.5*few, 1), most), min((b.peers-probePeers)/2, dear*few, slowest))
}

// usualRate is this proxy's own traffic in requests of usual work a second.
func (b *Balancer) usualRate() float64 { return b.sends.now(b.now, rateMemory) }

// resize follows own traffic: a busy proxy needs more members, or it fills the few that it has.
func (b *Balancer) resize() {
	if need := subsetMin + 2*b.usualRate()*min(b.aim, 10); need < 0.6*b.need || need > 1.3*b.need {
		b.need = need
		b.subset()
	}
}

// subset takes the members: a run of the ring of hosts from this proxy's own place on, so that the proxies
// cover every host about equally. A host that is listed gone stays while it answers.
func (b *Balancer) subset() {
	ring := make([]*host, 0, len(b.order))
	for _, h := range b.order {
		if !h.bound && (h.State != Gone || h.member && h.phi < phiOut && (h.met || !b.s.Probes)) {
			ring = append(ring, h)
		}
	}
	from, size := b.run(len(ring))
	b.peers = max(float64(size*b.s.Replicas)/float64(max(len(ring), 1)), 1)
	for _, h := range b.members {
		h.member, h.was = false, true
	}
	old := b.members
	b.members = make([]*host, 0, size)
	// Danger: while many hosts are cold, a subset of the usual size has too few that can carry its load. The
	// run goes on until enough of it is warm; this holds in releases, enlargements and after a lost zone.
	for i := 0; i < len(ring) && size > 0; i++ {
		h := ring[(from+i)%len(ring)]
		if b.members = append(b.members, h); h.was {
			h.member = true
		} else {
			b.enlist(h)
		}
		if b.strength(h) >= 1 {
			size--
		}
	}
	for _, h := range old {
		h.was = false
	}
	b.sort()
}

// --- Probes and phi ---

// suspicion is phi of a member's silence, by the mean and the clamped sigma of its window.
func (b *Balancer) suspicion(h *host) float64 {
	return Phi((b.now-h.answered)/h.every, h.mean, min(max(h.sigma, sigmaMin), 2*sigmaMin))
}

// readPhi reads every member's suspicion. Danger: when most members fall silent it is the network or
// this prober, and shutting all of them out would lose everything; then only a member that is worse
// than its peers is suspected. It hurts when most hosts really die: sends to them must fail first.
func (b *Balancer) readPhi() {
	if b.now-b.phiAt < max(0.01, 1e-5*float64(len(b.members))) { // Danger: thousands take long
		return
	}
	high, warm, sent, slow := 0, 0.0, 0.0, 0.0
	b.phiAt, b.capacity = b.now, 0
	for _, h := range b.members {
		slow += b.faded(h)
		if b.capacity += b.strength(h); b.strength(h) >= 1 && h.phi <= phiOut {
			warm, sent = warm+1, sent+h.winPrev
		}
		if h.phi = b.doubt(h); h.phi > phiOut {
			high++
		}
	}
	b.brisk, b.slow = sent/max(warm, 1), slow/float64(max(len(b.members), 1))
	if 2*high > len(b.members) {
		low := slices.MinFunc(b.members, func(x, y *host) int { return cmp.Compare(x.phi, y.phi) }).phi
		for _, h := range b.members {
			h.phi -= low
		}
	}
	b.sort()
}

// sort parts the members by what they are good for, where they are too many to look at each for a pick.
func (b *Balancer) sort() {
	b.sets.clear()
	b.sets.measure(b.members, b.s.SizesKnown)
	for i := 0; i < len(b.members) && len(b.members) > scanMost; i++ {
		switch h := b.members[i]; {
		case h.bound || h.phi > phiOut:
			b.sets.put(h, outside)
		case b.strength(h) < 1:
			b.sets.put(h, cold)
		case h.Zone == b.s.Zone || b.s.CrossZone == 0:
			b.sets.put(h, near)
		default:
			b.sets.put(h, far)
		}
	}
}

// sendProbes sends the cadence probes that are due.
func (b *Balancer) sendProbes() {
	for i := 0; i < len(b.members) && b.s.Probes; i++ {
		h := b.members[i]
		if h.nextProbe <= b.now {
			b.do.Probe(h.ID)
			h.probedAt = b.now
			h.planned = b.cadence()
			h.nextProbe = b.now + h.planned*(1+jitter*(2*b.rng.Float64()-1))
		}
		b.due(h.nextProbe)
	}
}

// ProbeDone takes the result of a probe.
func (b *Balancer) ProbeDone(now float64, r Result) {
	b.now = now
	h := b.hosts[r.Host]
	if h == nil {
		return
	}
	sent := now - r.LateS - r.DelayS
	out := func(at float64) bool { return math.Abs(sent-at) <= b.s.TickS+1e-4 } // a tick's wait
	cadence := out(h.probedAt)
	if cadence {
		h.probedAt = 0
	}
	if out(h.polledAt) {
		h.polledAt = 0
	}
	if r.Outcome == OK || r.Outcome == Rejected {
		h.refused = 0
		b.probeAnswered(h, cadence, sent, r)
	}
	b.learnLine(h, r.Outcome, r.DelayS)
	if b.polls {
		b.pump()
	}
}

func (b *Balancer) probeAnswered(h *host, cadence bool, sent float64, r Result) {
	b.rtt += 0.05 * (min(r.DelayS, 2*b.rtt) - b.rtt)
	b.takeReport(h, sent, r.Report)
	if !cadence {
		return
	}
	// Danger: an outage's gap would inflate the mean and slow the next verdict, and the host may be cold. The
	// gap is not learned; trust comes back as to a cold host.
	at := b.now - r.LateS
	gap := (at - h.answered) / h.every
	switch {
	case gap > outageGaps:
		h.rampFrom, h.ratio = b.now, 1
	case !h.met:
		h.met = true
	case b.suspicion(h) <= phiOut:
		if h.gaps = append(h.gaps, float32(gap)); len(h.gaps) > window {
			h.gaps = h.gaps[1:]
		}
		h.measure()
		b.meanGap += 0.02 * (gap - b.meanGap)
	}
	h.answered, h.every = at, h.planned
}

// Stalled tells that the host program itself stood still for so long until now. Danger: silence that nobody
// listened to is no sign against a host; read as one, a pause of this program shuts out the whole fleet.
func (b *Balancer) Stalled(now, seconds float64) {
	b.now = now
	for _, h := range b.members {
		h.answered = min(h.answered+seconds, now)
	}
}

// learnLine takes the delay of a probe for the line at a host: a deep probe waits and is served like a
// request, so where reports are absent it tells the load; a shallow one tells no line and does no harm.
func (b *Balancer) learnLine(h *host, how Outcome, delay float64) {
	if b.polls || how == Reset || how == ConnectFailed { // a connection's end tells no line
		return
	}
	ok := how == OK
	if ok && (b.base == 0 || delay < b.base) {
		b.base = delay
	}
	b.base += 0.002 * min(delay-b.base, b.base)
	if h.line, h.lineAt = max(delay-2*b.base, 0), b.now; !ok {
		h.line = 4 * delay // longer than the probe could wait
		b.cut(h)
	}
	b.crowd += 0.1 * (min(h.line/b.aim, 1) - b.crowd)
}

// line is the wait that is expected at a host before work begins, by what came last and the probe still out.
func (b *Balancer) line(h *host) float64 {
	if b.polls || b.base == 0 {
		return 0
	}
	line := h.line / max(1, 2*(b.now-h.lineAt)/(probeEvery+h.every))
	if h.probedAt > 0 {
		line = max(line, b.now-h.probedAt-2*b.base)
	}
	return line
}

// takeReport keeps a host's load report if its figure makes sense.
func (b *Balancer) takeReport(h *host, sent float64, r Report) {
	if b.field >= 0 && b.field < r.N && sent >= h.seenAt {
		if v := float64(r.Values[b.field]); v >= 0 && v < 1e6 {
			h.reported, h.seenAt = v, sent
		}
	}
}

func (b *Balancer) pollWait() float64 { return max(pollRTTs*b.rtt, 2*b.s.TickS) }

// poll refreshes the reports of the candidates for a pick.
func (b *Balancer) poll(r *request) {
	wait, left := b.pollWait(), drawn
	b.queue.put(r, b.now+wait)
	b.due(r.decideAt)
	if h := r.suspect; h != nil && h.polledAt == 0 {
		h.polledAt = b.now
		b.do.Probe(h.ID)
	}
	for i := 0; i < len(b.members) && left > 0; i++ { // a partial shuffle: its head is the draw
		j := i + b.rng.IntN(len(b.members)-i)
		b.members[i], b.members[j] = b.members[j], b.members[i]
		h := b.members[i]
		if !b.candidate(h) || !b.allowed(r, h) {
			continue
		}
		if h.seenAt < b.now-wait/2 && h.polledAt == 0 {
			h.polledAt = b.now
			b.do.Probe(h.ID)
		}
		left--
	}
}

// candidate reads phi twice: above phiOut a member gets nothing, above phiCut it is drawn half as often.
func (b *Balancer) candidate(h *host) bool {
	return h.phi <= phiCut || h.phi <= phiOut && b.rng.Uint64()&1 == 0
}

// --- Load and pick ---

// load is the number of requests that a host is believed to hold.
func (b *Balancer) load(h *host) float64 {
	sent := len(h.outs) // since that report
	for ; sent > 0 && h.outs[len(h.outs)-sent].sentAt < h.seenAt; sent-- {
	}
	return max(h.reported+float64(sent), float64(len(h.outs)))
}

// strength is the part of its capacity that a host has: less than 1 while it warms up.
func (b *Balancer) strength(h *host) float64 {
	from := max(h.Started, h.rampFrom)
	if from <= 0 || b.now >= from+b.s.ColdS || b.s.ColdS <= 0 {
		return 1
	}
	return b.s.ColdFrom + (1-b.s.ColdFrom)*max(b.now-from, 0)/b.s.ColdS
}

// faded is a host's delay against what is usual; it fades to 1 as the samples age.
func (b *Balancer) faded(h *host) float64 { return 1 + (h.ratio-1)/(1+(b.now-h.ratioAt)/5) }

// slowness is how much slower than the others a host is taken to be by its answers. Danger: in a flood all
// are late, by lines that are counted already; held against each, nearly all would be refused.
func (b *Balancer) slowness(h *host) float64 { return max(b.faded(h)/max(b.slow, 1), 1) }

// expect is the time that a host no slower than usual should take: the part hinted at, and the part guessed.
func (b *Balancer) expect(h *host, r *request) (hinted, guessed float64) {
	strength := min(1, likelier*b.strength(h))
	if !b.polls {
		return 0, b.classMean[r.Request.Class]/strength + lineWeight*b.line(h)
	}
	guessed = b.svc * b.load(h)
	if r.HasWork {
		return b.svc * r.units / strength, guessed / strength
	}
	return 0, (guessed + b.svc) / strength
}

// cost orders the hosts that could take a request.
func (b *Balancer) cost(h *host, r *request) float64 {
	if b.polls {
		hinted, guessed := b.expect(h, r)
		return (hinted + guessed) * b.slowness(h)
	}
	ahead := float64(len(h.outs)) + 1 + b.line(h)/b.classMean[r.Request.Class]
	if b.s.SizesKnown && h.Size > 0 {
		ahead /= h.Size
	}
	return ahead * b.slowness(h) * b.kinds.of(h.Kind) / b.strength(h)
}

// fits tells whether a host can be expected to answer within the aim. Danger: a limit below one shuts hosts.
func (b *Balancer) fits(h *host, r *request) bool {
	limit := max(h.limit*b.strength(h), 1)
	if b.now < h.shunned[r.Request.Class] || !b.polls && float64(len(h.outs)) >= limit {
		return false
	}
	hinted, guessed := b.expect(h, r)
	return b.now+(hope*hinted+doubt*guessed)*b.slowness(h) <= r.aim
}

// pick returns the best host for a request, nil if none can answer it in time; of many it draws a few.
func (b *Balancer) pick(r *request) *host {
	b.readPhi()
	if len(b.members) > scanMost && !b.polls && len(r.attempts) == 0 {
		if h := b.draw(r); h != nil || b.now < b.scanAt {
			return h
		}
		b.scanAt = b.now + scanPause*float64(len(b.members))
		b.found = b.best(r, false) // where most are full, the next requests may go there, too
		return b.found
	}
	if h := b.best(r, b.polls); h != nil || b.polls && slices.ContainsFunc(b.members, b.fresh) {
		return h
	}
	return b.best(r, false)
}

// draw returns the best of some draws from each set of members; what one set lacks is drawn from the next.
func (b *Balancer) draw(r *request) (best *host) {
	least, want := math.Inf(1), 0
	good := func(h *host) bool {
		c := b.weigh(r, h)
		if c < least {
			best, least = h, c
		}
		return !math.IsInf(c, 1)
	}
	if b.found != nil && b.found.member {
		good(b.found)
	}
	for set, more := range [...]int{near: 3, far: 1, cold: 1} {
		want += more
		for tries := 3 * want; tries > 0 && want > 0 && more > 0; tries-- {
			if h := b.sets.draw(b.rng, set); h == nil {
				break
			} else if good(h) {
				want--
			}
		}
	}
	return best
}

// weigh returns what a request would cost at a host; infinity: it may not go there, or comes too late.
func (b *Balancer) weigh(r *request, h *host) float64 {
	if !b.allowed(r, h) || !b.polls && !b.candidate(h) || h.phi > phiOut || !b.fits(h, r) {
		return math.Inf(1)
	}
	cost := b.cost(h, r) * (1 + scatter*b.rng.Float64())
	if h.Zone != b.s.Zone {
		cost *= 1 + farWeight*b.s.CrossZone
	}
	return cost
}

func (b *Balancer) fresh(h *host) bool { return h.seenAt > 0 && b.now-h.seenAt <= 2*b.pollWait() }

func (b *Balancer) best(r *request, fresh bool) *host {
	var best, lowest *host
	least := math.Inf(1)
	for _, h := range b.members {
		if (lowest == nil || h.phi < lowest.phi) && b.allowed(r, h) {
			lowest = h
		}
		if fresh && !b.fresh(h) {
			continue
		}
		if c := b.weigh(r, h); c < least {
			best, least = h, c
		}
	}
	if best == nil && lowest != nil && lowest.phi > phiOut && b.fits(lowest, r) {
		return lowest // all are out: the least suspected gets the traffic
	}
	return best
}

// --- Admission ---

// overShare counts a request; true: its tenant asks for clearly more than its share and goes last.
func (b *Balancer) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.asked) {
		return false
	}
	fade := math.Exp(-(b.now - b.askedAt) / shareMemory)
	b.askedAt = b.now
	all := 0.0
	for i := range b.asked {
		b.asked[i] *= fade
		all += b.asked[i]
	}
	b.asked[tenant]++
	fair := b.s.Tenants[tenant].Share / max(1-b.s.Tenants[tenant].Share, 0.05) * (all + 1 - b.asked[tenant])
	return b.asked[tenant] > 1.4*fair+2*math.Sqrt(fair)+1
}

// Request takes a request from a client.
func (b *Balancer) Request(now float64, q Request) {
	b.now = now
	if q.Class < 0 || q.Class >= len(b.s.Classes) {
		b.do.Refuse(q.ID, 0)
		return
	}
	q.HasWork = q.HasWork && q.Work > 0 && q.Work < 1e6 // NaN is neither
	aim := math.Inf(1)
	if i := b.unserved.find(now, &q); i >= 0 {
		if aim = b.unserved[i].aim; aim <= now {
			b.do.Refuse(q.ID, b.s.MaxRetryAfterS)
			return
		}
		b.unserved = slices.Delete(b.unserved, i, i+1)
	}
	c := &b.s.Classes[q.Class]
	r := &request{Request: q, class: c, arrived: b.now, aim: b.now + c.AimS - b.lateness(q), units: 1,
		index: len(b.live), over: b.overShare(q.Tenant)}
	b.budget = min(b.budget+repeatRate, 10)
	b.asks.add(b.now, askMemory, 1)
	if r.HasWork {
		r.aim += c.Stretch * q.Work
		mean := cmp.Or(b.meanWork, q.Work)
		b.meanWork = mean + 0.02*(min(q.Work, 4*mean)-mean)
		r.units = q.Work / b.meanWork
	}
	r.aim = min(r.aim, q.Deadline, aim)
	b.live, b.byID[q.ID] = append(b.live, r), r
	b.want(r)
}

// lateness is how long before this try the client's first one must have been. Danger: work on a later try is
// lost once the aim of the first has passed. A try that is shorter than its class's usual one was cut by the
// client's total wait, which tells when that began. It hurts where clients of unlike patience mark none.
func (b *Balancer) lateness(q Request) float64 {
	u, left := &b.tries[q.Class], q.Deadline-b.now+q.Held
	switch {
	case left < 0.98*u.usual && b.s.Marked && !q.Repeat:
		return 0 // the first try of a client that waits for less
	case left < 0.98*u.usual:
		return max(b.s.Classes[q.Class].GiveUpS-left, 0)
	case left < 1.02*u.usual:
		u.votes = min(u.votes+1, 100)
	default: // a single longer one may be odd
		if u.votes--; u.votes < 0 {
			u.usual, u.votes = left, 1
		}
	}
	return 0
}

// want asks for a send of a request, after fresh reports where they must be fetched.
func (b *Balancer) want(r *request) {
	r.waiting = true
	b.queue.put(r, b.now)
	if !b.polls || len(b.members) == 0 || r.aim <= b.now {
		b.place(r)
		return
	}
	b.readPhi()
	b.poll(r)
}

// place sends a waiting request, holds it or gives it up.
func (b *Balancer) place(r *request) {
	if h := r.suspect; h != nil && b.polls && h.seenAt < r.lostAt-b.s.TickS {
		r.aim = b.now
		b.giveUp(r) // it was the host that died, not the connection alone
		return
	}
	if b.settle(r) {
		return
	}
	hopeless := r.HasWork && b.polls && b.now+hope*b.svc*r.units > r.aim // even for an idle host
	if r.over || hopeless || b.now-r.arrived >= holdPart*(r.aim-r.arrived) {
		// Danger: an estimate that lets nothing through is never corrected by an answer. It fades.
		for _, guess := range [...]*float64{&b.svc, &b.classMean[r.Request.Class]} {
			if doubt**guess > 0.8*r.class.AimS {
				*guess *= relax
			}
		}
		b.giveUp(r)
		return
	}
	r.held = true
	b.queue.put(r, min(b.now+max(repollPart*r.class.AimS, b.s.TickS), r.Deadline-b.s.TickS))
	b.due(r.decideAt)
}

// settle sends a waiting request if there is a host for it, and tells whether.
func (b *Balancer) settle(r *request) bool {
	h := b.pick(r)
	if h == nil || !b.send(r, h) {
		return false
	}
	r.waiting = false
	b.queue.drop(r)
	return true
}

// giveUp answers a request at once: refused if nothing may have run, else failed. Its aim is kept for the
// client's next try: work on a marked repeat is lost once the aim of the first try has passed.
func (b *Balancer) giveUp(r *request) {
	e := ended{r.Request.Class, r.Tenant, r.Key, r.aim, r.arrived + r.class.GiveUpS}
	b.unserved = b.unserved.with(e, b.now)
	if b.mayRefuse(r) {
		b.do.Refuse(r.ID, b.s.MaxRetryAfterS*(0.5+0.5*b.rng.Float64()))
	} else {
		b.do.Fail(r.ID)
	}
	b.finish(r, true)
}

// pump places the requests whose time has come; of those that wait for polls, once all of them are answered.
func (b *Balancer) pump() {
	due, wait := b.now, b.pollWait()
	if b.polls && b.queue.len() > 0 && !slices.ContainsFunc(b.members, func(h *host) bool {
		return h.polledAt > 0 && b.now-h.polledAt < wait
	}) {
		due += wait
	}
	for _, r := range b.queue.take(due) {
		if r.held && b.polls {
			r.held = false
			b.poll(r)
		} else {
			b.place(r)
		}
	}
}

// --- Attempts and outcomes (rules 1 and 2) ---

// send is the gate through which every send passes. It refuses what the rules forbid.
func (b *Balancer) send(r *request, h *host) bool {
	if b.now >= r.Deadline || len(r.attempts) >= max(b.s.MaxAttempts, 1) || !b.allowed(r, h) {
		return false
	}
	h.winSent += r.units
	b.sends.add(b.now, rateMemory, r.units)
	r.attempts = append(r.attempts, attempt{host: h, sentAt: b.now, ran: true})
	hint, rest := b.expect(h, r)
	o := out{id: r.ID, class: r.Request.Class, sentAt: b.now, expected: max(hint+rest, 1e-6), line: b.line(h)}
	if len(h.outs) == 0 && b.now-h.servedAt < b.s.ConnIdleS {
		if o.idle = b.now - h.servedAt; o.idle > b.dropAge && b.now < b.dropUntil {
			b.do.CloseIdle(h.ID)
			o.idle = 0
		}
	}
	h.outs = append(h.outs, o)
	b.do.Send(r.ID, h.ID)
	b.due(r.Deadline)
	return true
}

// allowed tells whether the rules let a request go to a host: drains, cold budget, what its class allows.
func (b *Balancer) allowed(r *request, h *host) bool {
	if h.bound || !b.coldRoom(h) {
		return false
	}
	for i := range r.attempts {
		a, c := &r.attempts[i], r.class
		same := c.Group == GroupAll || c.Group == GroupZone && a.host.Zone == h.Zone ||
			c.Group == GroupCell && a.host.Cell == h.Cell
		repeat := c.Effect == Safe || c.Effect == Keyed && same && b.now < a.sentAt+c.WindowS
		if a.ran && (!a.done && (!b.s.SecondCopies || a.host == h) || !repeat) {
			return false
		}
	}
	return true
}

// mayRefuse tells whether the client may be told that trying again is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.ran })
}

// finish forgets a request that has its final answer and cancels what is still out for it.
func (b *Balancer) finish(r *request, cancel bool) {
	for i := range r.attempts {
		if cancel && b.s.Cancel && !r.attempts[i].done {
			b.do.Cancel(r.ID, i)
		}
	}
	b.queue.drop(r)
	last := b.live[len(b.live)-1]
	b.live[r.index], last.index = last, r.index
	b.live = b.live[:len(b.live)-1]
	delete(b.byID, r.ID)
}

// AttemptDone takes the end of an attempt.
func (b *Balancer) AttemptDone(now float64, res Result) {
	b.now = now
	h := b.hosts[res.Host]
	quick := h != nil && b.learn(h, res)
	r := b.byID[res.ID]
	if r == nil || res.Attempt < 0 || res.Attempt >= len(r.attempts) {
		return
	}
	a := &r.attempts[res.Attempt]
	a.done = true
	a.ran = a.ran && !res.Outcome.NeverRan()
	// Danger: some requests crash or hang whichever host begins them; each send or repeat costs another host.
	// A proxy sees too few to count: what was lost in work is not sent again, its marked repeats are refused
	// within the client's total wait. It costs what a host's own fault has lost; its aim has mostly passed.
	lost := !res.Final && (res.Outcome == TimedOut || res.Outcome == Reset && (!quick || r.suspect != nil))
	if res.Outcome == Reset {
		r.suspect, r.lostAt = h, now
	}
	switch {
	case res.Final:
		b.finish(r, true)
	case lost && !r.waiting:
		r.aim = now
		b.giveUp(r)
	case now >= r.Deadline-b.s.TickS/2, !r.waiting:
		b.again(r)
	}
	b.pump()
	// Danger: hosts are idle while requests wait for their next look. What a host far from its limits has
	// made free goes to the first; one with a line must have time to work it off.
	brisk := res.Outcome == OK && res.DelayS < briskPart*b.aim && !b.polls
	for first := b.queue.first(); brisk && first != nil && b.settle(first); first = b.queue.first() {
	}
}

// again tries a request once more after a failed attempt, or gives it up.
func (b *Balancer) again(r *request) {
	if b.now < r.aim && len(r.attempts) < b.s.MaxAttempts && b.budget >= 1 &&
		slices.ContainsFunc(b.members, func(h *host) bool { return b.allowed(r, h) }) {
		b.budget--
		b.want(r)
		return
	}
	b.giveUp(r)
}

// learn takes from an outcome what it tells of the host; deadConn: it tells of the connection alone.
func (b *Balancer) learn(h *host, res Result) (deadConn bool) {
	i := slices.IndexFunc(h.outs, func(o out) bool { return o.id == res.ID })
	if i < 0 {
		return false
	}
	o := h.outs[i]
	h.outs = slices.Delete(h.outs, i, i+1)
	if b.lostIdle(o, res) {
		return true
	}
	r := b.byID[res.ID]
	b.errors *= 0.95
	x := 6.0 // a host that fails fast must not look quick
	switch res.Outcome {
	case OK:
		h.refused, h.servedAt = 0, b.now
		h.turned[o.class] /= 2
		x = min(res.DelayS/o.expected, 10)
		b.learnTimes(h, r, res.DelayS, o)
	case HostError, Reset, TimedOut, ConnectFailed:
		if res.Outcome == HostError {
			// Danger: useless requests that fail anywhere condemn sound hosts. The more of all attempts err,
			// the less an error accuses its host. A quick one costs no repeat.
			b.shun(h, o.class, 2-2*min(3*b.errors, 1))
			x -= 5 * min(3*b.errors, 1)
			b.errors += 0.05
			b.budget += max(1-4*res.DelayS/o.expected, 0)
		}
		if res.Outcome == TimedOut {
			b.cut(h)
		} else if res.Outcome != HostError {
			h.refused, h.refusedAt, b.phiAt = h.refused+1, b.now, b.now-1
		}
	case Rejected:
		if b.shun(h, o.class, 1); b.peers > 2*probePeers {
			h.line, h.lineAt = max(b.line(h), 0.5*b.aim), b.now
		}
		return false
	default:
		return false
	}
	h.ratio, h.ratioAt = 0.9*b.faded(h)+0.1*x, b.now
	return false
}

// shun leaves a host alone for a class, longer each time. Danger: one that refuses at once looks idle.
func (b *Balancer) shun(h *host, class int, step float64) {
	h.turned[class] = min(h.turned[class]+step, 8)
	h.shunned[class] = b.now + min(shunPart*b.aim*math.Exp2(h.turned[class]), 2*probeEvery)
}

// lostIdle tells whether an attempt was lost with a connection that was dropped unseen while idle. Danger:
// most of what a proxy with little traffic sends is lost so. Evidence that it is the connection and not the
// host: only attempts on idle ones are lost, in a row, at any host. For a while connections that were idle
// for half as long are closed before a send. It costs handshakes.
func (b *Balancer) lostIdle(o out, res Result) bool {
	if (res.Outcome == OK || res.Outcome == HostError) && o.idle > 0 {
		b.deadIdle *= 0.5
	}
	quick := res.Outcome == Reset && res.DelayS < 0.25*o.expected // nothing but a dead connection is so quick
	if o.idle < 0.2 || res.Outcome != Reset && res.Outcome != TimedOut {
		return quick
	}
	if b.deadIdle++; b.now >= b.dropUntil || o.idle < 2*b.dropAge {
		b.dropAge = 0.5 * o.idle
	}
	if b.deadIdle > 1.5 || quick {
		if b.now >= b.dropUntil {
			b.do.Log("connections die while idle: closing idle ones before sends")
		}
		b.dropUntil = b.now + dropFor
	}
	return quick
}

// learnTimes updates the usual times and, where reports are absent, the host's limit.
func (b *Balancer) learnTimes(h *host, r *request, delay float64, o out) {
	b.svc *= 1 + 0.02*(min(delay/o.expected, 3)-1)
	if r == nil {
		return
	}
	mean := &b.classMean[r.Request.Class]
	b.kinds.learn(h.Kind, max(delay-o.line, 0) / *mean)
	if b.peers > 2*probePeers { // where few share a host, own requests in flight tell more than one answer
		h.line, h.lineAt = max(delay-2.4**mean/b.strength(h), 0.5*b.line(h)), b.now
	}
	*mean += 0.02 * (min(max(delay-o.line, 0.3**mean), 4*r.class.AimS) - *mean)
	aim := math.Inf(1) // what this class may take while the class with the tightest aim still fits
	for i, m := range b.classMean {
		aim = min(aim, b.s.Classes[i].AimS**mean/m)
	}
	switch {
	case delay > 0.3*aim && b.now-h.cutAt > 0.3*aim:
		b.cut(h)
	case delay < 0.2*aim && float64(len(h.outs))+1 >= 0.6*h.limit:
		h.limit += min(1/h.limit, 0.5*h.limit)
	}
}

// cut shrinks a host's limit; where it is small, samples are rare and each one tells more.
func (b *Balancer) cut(h *host) {
	h.limit, h.cutAt = max(min(1, leastLine/b.peers), h.limit*min(0.5+0.1*h.limit, 0.85)), b.now
}

// StreamStarted takes the start of a streamed answer: the request has its answer.
func (b *Balancer) StreamStarted(now float64, id uint32) { b.leave(now, id, false) }

// Abandoned takes the departure of a client: nothing is owed any more.
func (b *Balancer) Abandoned(now float64, id uint32) { b.leave(now, id, true) }

func (b *Balancer) leave(now float64, id uint32, cancel bool) {
	if b.now = now; b.byID[id] != nil {
		b.finish(b.byID[id], cancel)
	}
}

// --- Drain and cold budget (rules 3 and 4) ---

// coldRoom tells whether this proxy's part of a cold host's budget has room, measured by what it sends to a
// warm host, less for a small one. Danger: a thousand proxies that may each send one request push a cold host
// over. What is beyond whole requests is thinned by a draw, so that the parts add up. Where many are cold the
// rate of all says too little: what is refused for want of room would keep the room small.
func (b *Balancer) coldRoom(h *host) bool {
	w := max(b.s.ColdWindowS, 1e-6)
	if b.now >= h.winFrom+w { // what was sent in the window before counts as far as it is within one of now
		if h.winPrev = h.winSent; b.now >= h.winFrom+2*w {
			h.winPrev = 0
		}
		h.winSent, h.winFrom = 0, math.Floor(b.now/w)*w // all proxies' windows begin at the same instants
		h.winLuck = luck(h.ID, h.winFrom, b.s.Self, b.s.Replicas)
	}
	strength, warm := b.strength(h), max(b.capacity, 0.6*float64(len(b.members)), 1)
	if strength >= 1 {
		return true
	}
	usual := max(b.usualRate()*w/warm, b.brisk, 0.5*b.asks.now(b.now, askMemory)*w/float64(len(b.members)))
	room := coldPart * b.s.ColdMultiple * strength * b.sets.part(h) * usual
	return h.winSent+h.winPrev*(1-(b.now-h.winFrom)/w)+h.winLuck < room
}

// due arms a wake-up for a time, unless an earlier one is armed.
func (b *Balancer) due(at float64) {
	if b.armed && b.wake > b.now-1 && b.wake <= at {
		return
	}
	b.armed, b.wake = true, max(at, b.now+b.s.TickS)
	b.do.WakeAfter(b.wake - b.now)
}

// Wake does what is due.
func (b *Balancer) Wake(now float64) {
	b.now = now
	if now < b.wake-b.s.TickS/2 {
		return // a wake-up that an earlier one has replaced
	}
	b.armed = false
	if b.s.AskForList && !b.watching {
		if now >= b.askAt {
			b.do.Watch()
			b.askAt = now + max(0.5*b.s.AskWithinS, 1)
		}
		b.due(b.askAt)
	}
	b.resize()
	b.sendProbes()
	if r := b.queue.first(); r != nil {
		b.due(r.decideAt)
	}
	for i := 0; i < len(b.live); i++ {
		r := b.live[i]
		if now >= r.Deadline && !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.done }) {
			b.giveUp(r)
			i--
			continue
		}
		b.due(r.Deadline)
	}
	b.pump()
}
