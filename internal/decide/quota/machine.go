package quota

import "math"

// Settings are what a Machine goes by beside its tree.
type Settings struct {
	Replicas        int     // sidecars that share the quotas; 0 means 1
	StretchFraction float64 // by what part of it a sidecar's part of a group's quota may be stretched by the group's demand
	RepayFraction   float64 // what part of a debtor's own pays its debt
	FadeSeconds     float64 // in this time all but 37 % of an old debt, and of an old claim, are forgotten
}

// Defaults of the settings. Danger: what a debtor pays is missing in its share; a group that wants its share, and has
// borrowed, is to have it to a hundredth all the same.
const (
	DefaultRepayFraction   = 0.01
	DefaultFadeSeconds     = 6 * 3600.0
	DefaultStretchFraction = 0.1
)

// Limiter decides who may take what. Calls come one at a time.
type Limiter struct {
	tree       *Tree
	settings   Settings
	tables     []*accountTable // of the limits with a window
	openCounts []*openCounts
	now        float64
	stats      []Stats // by group
	refusals   []Refusal
	treeNumber int       // that there have been before this one
	groupMoves [][]int32 // for the last of them: where their groups' open requests count now; -1: nowhere
}

// Stats count a group's requests.
type Stats struct {
	Served  uint64
	Refused uint64
}

// Refusal is why a group's last refusal was made.
type Refusal struct {
	At     float64
	Limit  int32 // in Tree.Limits; -1: there was none
	Capped bool  // a cap was reached, of the group or one above it
	Lacked float64
	AfterS float64
	Own    float64 // the group's own level then
}

// Decision says whether a request may be taken up.
type Decision struct {
	Allowed           bool
	Limit             int     // that refuses
	RetryAfterSeconds float64 // when it could be had
}

// Request is what is known of a request before it is taken up.
type Request struct {
	Group       int32 // that takes requests, see Tree.Takes
	Bytes       float64
	MayUseFloor bool // it may touch the floors

	tree int // which of the machine's trees, one after the other, Group is in
}

// NewRequest returns a request of a group of the present tree.
func (m *Limiter) NewRequest(g int32, bytes float64, floor bool) Request {
	return Request{Group: g, Bytes: bytes, MayUseFloor: floor, tree: m.treeNumber}
}

// New returns a machine in which nothing has been used.
func New(t *Tree, s Settings, now float64) *Limiter {
	if s.FadeSeconds <= 0 {
		s.FadeSeconds = DefaultFadeSeconds
	}
	m := &Limiter{tree: t, settings: s, now: now, stats: make([]Stats, t.Len()), refusals: make([]Refusal, t.Len())}
	for i, l := range t.Limits {
		if l.Measure == Open {
			m.tables, m.openCounts = append(m.tables, nil), append(m.openCounts, newOpenCounts(t, i, &m.settings))
		} else {
			m.tables, m.openCounts = append(m.tables, newAccountTable(t, i, &m.settings, now)), append(m.openCounts, nil)
		}
	}
	for i := range m.refusals {
		m.refusals[i].Limit = -1
	}
	return m
}

// Tree returns the machine's tree.
func (m *Limiter) Tree() *Tree { return m.tree }

// advance takes a time. One that is before the last, or no number, counts as the last.
func (m *Limiter) advance(now float64) float64 {
	if now > m.now && !math.IsInf(now, 1) {
		m.now = now
	}
	return m.now
}

// cost returns what a request costs of a measure before it is taken up, and what must be there for it. Danger: a message
// that is larger than all that an account can hold would never be taken up; so what comes in bytes or work may be
// overdrawn, and the debt counts.
func (b *accountTable) cost(q *Request) (cost, need float64) {
	switch b.limit.Measure {
	case Requests:
		return 1, 1
	case Bytes:
		c := &b.accounts[q.Group]
		return q.Bytes, min(max(q.Bytes, 1), max(c.Capacity-c.Reserve, 1))
	default:
		return 0, 1e-3
	}
}

// Admit decides on a request and books what it costs so far. It takes nothing where it refuses.
func (m *Limiter) Admit(now float64, q Request) Decision {
	now = m.advance(now)
	q.tree = m.treeNumber
	v := Decision{Allowed: true}
	for i, b := range m.tables {
		if b == nil {
			if after := m.openCounts[i].waitSeconds(q.Group, q.MayUseFloor); after > 0 && after > v.RetryAfterSeconds {
				v = Decision{Limit: i, RetryAfterSeconds: after}
				m.recordRefusal(i, after, 1, 0, false, &q)
			}
			continue
		}
		b.processDue(now, maxDuePerCall, m.settings.StretchFraction)
		cost, need := b.cost(&q)
		b.settleChain(q.Group, now)
		if m.settings.StretchFraction > 0 {
			b.recordDemand(q.Group, max(cost, need), m.settings.StretchFraction, now)
		}
		after, lacks, capped := b.capWaitSeconds(q.Group, need, now), 0.0, true
		if after == 0 {
			if lacks = b.shortfall(q.Group, need, q.MayUseFloor, now); lacks > 0 {
				after, capped = b.retryAfterSeconds(q.Group, need, q.MayUseFloor), false
			}
		}
		if after > v.RetryAfterSeconds {
			v = Decision{Limit: i, RetryAfterSeconds: after}
			m.recordRefusal(i, after, lacks, b.accounts[q.Group].Level, capped, &q)
		}
	}
	if !v.Allowed {
		m.stats[q.Group].Refused++
		return v
	}
	m.stats[q.Group].Served++
	for i, b := range m.tables {
		if b == nil {
			m.openCounts[i].add(q.Group, 1)
		} else if cost, _ := b.cost(&q); cost > 0 {
			b.charge(q.Group, cost, q.MayUseFloor, now)
		}
	}
	return v
}

// recordRefusal remembers why.
func (m *Limiter) recordRefusal(limit int, afterS, lacks, own float64, capped bool, q *Request) {
	m.refusals[q.Group] = Refusal{At: m.now, Limit: int32(limit), Capped: capped, Lacked: lacks, AfterS: afterS, Own: own}
}

// Complete notes that a request that has been taken up is answered, after a time, with an answer of so many bytes that took
// so much work. What they cost may go beyond what is there; the debt counts.
func (m *Limiter) Complete(now float64, q Request, afterS, bytes, workS float64) {
	now = m.advance(now)
	if q.Group = m.presentGroup(&q); q.Group < 0 {
		return
	}
	for i, b := range m.tables {
		amount := 0.0
		switch m.tree.Limits[i].Measure {
		case Open:
			if o := m.openCounts[i]; q.tree >= o.sinceTree { // what was open before has not been counted
				o.add(q.Group, -1)
				o.recordDuration(afterS)
			}
			continue
		case Bytes:
			amount = bytes
		case Work:
			amount = workS
		}
		if amount > 0 && m.tree.AcceptsRequests(q.Group) {
			b.settleChain(q.Group, now)
			b.charge(q.Group, amount, q.MayUseFloor, now)
		}
	}
}
