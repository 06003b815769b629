package replay

import (
	"container/heap"
	"math"

	"hazelwheel/internal/decide/quota"
)

// hourS is the time over which shares are compared; minuteS that in which somebody wants what is left.
const (
	hourS   = 3600.0
	minuteS = 60.0
)

// Hour is what a group had in an hour. What was lent and paid back is of the first limit with a window.
type Hour struct {
	Asked, Served, Refused int
	Share                  float64 // its own, in requests; of a limit of another measure, in its unit
	Used                   float64
	Borrowed, Repaid       float64
	Lent, Returned         float64
	Wants                  bool // all hour long it asks for its share at least
}

// Result is what came of a load.
type Result struct {
	Tree     *quota.Tree
	Limit    int      // that shares are compared by
	Hours    [][]Hour // by group, by hour
	Total    []Hour   // by group
	Forgiven []float64
	Expired  []float64
	Balance  []float64 // by group, at the end
	Offered  float64   // of the limit, in the minutes in which somebody was refused for want of it
	Unused   float64   // of that, which found no room
	Unserved float64   // of that, which nobody had in the same minute: what fills the buckets of those who slept, too
	Asks     int
	Off      float64 // by how much the books disagree at the end
}

// source is a group that asks.
type source struct {
	step Step
	next float64 // when it asks again
	last float64 // when it asked last
}

// due orders the sources by their next requests; at one time the lower number is first.
type due []*source

func (d due) Len() int { return len(d) }
func (d due) Less(i, j int) bool {
	return d[i].next < d[j].next || d[i].next == d[j].next && d[i].step.Group < d[j].step.Group
}
func (d due) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *due) Push(x any)   { *d = append(*d, x.(*source)) }
func (d *due) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// startS is the time of a load's start: any will do.
const startS = 1.8e9

// player is a load that is being played.
type player struct {
	m       *quota.Limiter
	r       *Result
	sources []*source // by group; nil: it has not asked
	queue   due
	hour    int
	was     []quota.Tally             // at the hour's start
	least   []float64                 // the least rate in this hour
	minute  float64                   // its end
	lost    float64                   // at its start
	used    float64                   // likewise
	wanted  bool                      // somebody has been refused in it for want of what there is
	root    float64                   // a second, of the limit
	dealt   func(g int32, at float64) // takes the requests in place of the machine, where it is set
}

// Play plays a load against a tree of quotas. Each request is answered at once; those that are refused do not come again.
func Play(t *quota.Tree, s *Series, settings quota.Settings) *Result {
	n := t.Len()
	p := &player{m: quota.New(t, settings, startS), sources: make([]*source, n), was: make([]quota.Tally, n), least: make([]float64, n), minute: minuteS}
	p.r = &Result{Tree: t, Hours: make([][]Hour, n), Total: make([]Hour, n), Forgiven: make([]float64, n), Expired: make([]float64, n),
		Balance: make([]float64, n)}
	for p.r.Limit = 0; p.r.Limit < len(t.Limits)-1 && t.Limits[p.r.Limit].Measure == quota.Open; p.r.Limit++ {
	}
	p.root = t.Limits[p.r.Limit].Quota / t.Limits[p.r.Limit].WindowSeconds / float64(max(settings.Replicas, 1))
	p.beginHour()
	for _, step := range s.Steps {
		p.until(step.AtS)
		p.begin(step)
	}
	p.until(s.EndS)
	p.endMinute(s.EndS)
	if s.EndS > float64(p.hour)*hourS {
		p.endHour(s.EndS - float64(p.hour)*hourS)
	}
	p.r.Off, _ = p.m.Audit(startS + s.EndS)
	for g := range n {
		_, p.r.Balance[g] = p.m.Tally(int32(g), p.r.Limit)
	}
	return p.r
}

// begin has a group ask for something else.
func (p *player) begin(step Step) {
	g := step.Group
	p.least[g] = min(p.least[g], step.RatePS)
	src := p.sources[g]
	switch {
	case src != nil:
		src.step = step
		src.next = max(step.AtS, src.last+1/max(step.RatePS, 1e-12))
		heap.Init(&p.queue)
	case step.RatePS > 0:
		// Danger: groups that all begin at once would ask in the same instants for ever.
		src = &source{step: step, last: step.AtS - float64(g%97)/97/step.RatePS}
		src.next = src.last + 1/step.RatePS
		p.sources[g] = src
		heap.Push(&p.queue, src)
	}
}

// until plays up to a time.
func (p *player) until(at float64) {
	for len(p.queue) > 0 && p.queue[0].next < at {
		src := p.queue[0]
		if p.dealt != nil {
			p.dealt(src.step.Group, src.next)
		} else {
			p.turn(src.next)
			p.ask(src)
		}
		src.last = src.next
		src.next += 1 / src.step.RatePS
		heap.Fix(&p.queue, 0)
	}
	if p.dealt == nil {
		p.turn(at)
	}
}

// turn ends the hours and minutes that are over at a time.
func (p *player) turn(at float64) {
	for at >= p.minute {
		p.endMinute(p.minute)
		if p.minute >= float64(p.hour+1)*hourS {
			p.endHour(hourS)
			p.hour++
			p.beginHour()
		}
		p.minute += minuteS
	}
}

func (p *player) ask(src *source) {
	g, now := src.step.Group, startS+src.next
	q := p.m.NewRequest(g, src.step.Bytes, false)
	h := &p.r.Hours[g][p.hour]
	h.Asked++
	p.r.Asks++
	if v := p.m.Admit(now, q); v.Allowed {
		h.Served++
		p.m.Complete(now, q, 0, 0, src.step.WorkS)
	} else {
		h.Refused++
		p.wanted = p.wanted || v.Limit == p.r.Limit && !p.m.WasCapped(g)
	}
}

// endMinute adds up what was left in a minute in which somebody wanted more. Danger: what flows into the buckets of those
// who were asleep is kept for them and not lost; lost is what found no room.
func (p *player) endMinute(at float64) {
	lost := p.m.LostAt(startS+at, p.r.Limit)
	root, _ := p.m.Tally(0, p.r.Limit)
	if p.wanted {
		p.r.Offered += p.root * minuteS
		p.r.Unused += lost - p.lost
		p.r.Unserved += max(0, p.root*minuteS-(root.Used-p.used))
	}
	p.wanted, p.lost, p.used = false, lost, root.Used
}

func (p *player) beginHour() {
	for g := range p.r.Hours {
		p.r.Hours[g] = append(p.r.Hours[g], Hour{})
		p.was[g], _ = p.m.Tally(int32(g), p.r.Limit)
		if p.least[g] = 0; p.sources[g] != nil {
			p.least[g] = p.sources[g].step.RatePS
		}
	}
}

func (p *player) endHour(lengthS float64) {
	limit := p.r.Tree.Limits[p.r.Limit]
	for g := range p.r.Hours {
		is, _ := p.m.Tally(int32(g), p.r.Limit)
		was, h := &p.was[g], &p.r.Hours[g][p.hour]
		sharePS := p.r.Tree.Quota(int32(g), p.r.Limit) / limit.WindowSeconds
		h.Share, h.Used = sharePS*lengthS, is.Used-was.Used
		h.Borrowed, h.Repaid = is.Borrowed-was.Borrowed, is.Repaid-was.Repaid
		h.Lent, h.Returned = is.Lent-was.Lent, is.Returned-was.Returned
		h.Wants = limit.Measure == quota.Requests && sharePS > 0 && p.least[g] >= sharePS
		t := &p.r.Total[g]
		t.Asked, t.Served, t.Refused, t.Used = t.Asked+h.Asked, t.Served+h.Served, t.Refused+h.Refused, t.Used+h.Used
		t.Share, t.Borrowed, t.Repaid, t.Lent, t.Returned = t.Share+h.Share, t.Borrowed+h.Borrowed, t.Repaid+h.Repaid, t.Lent+h.Lent, t.Returned+h.Returned
		p.r.Forgiven[g], p.r.Expired[g] = is.Forgiven, is.Expired
	}
}

// Worst returns the least part of its share that a group had in an hour in which it wanted it all the time, and how many such
// hours there were; lessRepaid takes what it paid back off its share.
func (r *Result) Worst(lessRepaid bool) (part float64, hours int) {
	part = math.Inf(1)
	for g := range r.Hours {
		for _, h := range r.Hours[g] {
			due := h.Share
			if lessRepaid {
				due -= h.Repaid
			}
			if h.Wants && due > 0 {
				hours++
				part = min(part, float64(h.Served)/due)
			}
		}
	}
	return part, hours
}

// Imbalance returns by how much the loans of a group, what it has paid back, what was forgiven and what it owes disagree, and
// the same of what it has lent; the worst of all groups.
func (r *Result) Imbalance() (worst float64) {
	for g := 1; g < len(r.Total); g++ {
		t := &r.Total[g]
		owes, claims := max(-r.Balance[g], 0), max(r.Balance[g], 0)
		for _, off := range []float64{t.Borrowed - t.Repaid - r.Forgiven[g] - owes, t.Lent - t.Returned - r.Expired[g] - claims} {
			worst = max(worst, off, -off)
		}
	}
	return worst
}
