package lease

import (
	"math"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Times of leases, in seconds. Danger: clocks may run 5 % apart either way. An owner counts from when it sent the renewal, to
// ownPart of the lease by its own clock; the leader waits for the whole of it by its own, from when it confirmed:
// ownPart / 0.95 < 1 / 1.05.
const (
	leaseS  = 1.5
	ownPart = 0.85
	renewS  = 0.35
	wishS   = 1.0 // without an owner, a job is wished for
	mostOut = 8   // renewals that wait for an answer
)

// holding is a grant to this member that has not ended.
type holding struct {
	Grant
	until float64 // the lease is over; -Inf: it has not begun
	owned bool    // Granted was said

	version uint64 // of the record that is known
	record  Record
}

// holder is a member's side of its grants.
type holder struct {
	held      []*holding // by job
	done      []Grant    // grants that this life has ended or never takes, until the table says that they are another's
	sent      []sentRenewal
	number    uint64
	renewAt   float64
	heardAt   float64 // the last renewal that was confirmed
	wishAt    float64
	unwilling []string // by name
	leaving   bool
	handed    bool // leadership too
	leftAt    float64
}

type sentRenewal struct {
	number uint64
	at     float64
	grants []Grant
}

// Holds tells whether this member may act for a job now, and under which token.
func (t *Node) Holds(now float64, job string) (token uint64, ok bool) {
	if h := t.holding(job); h != nil && h.owned && now < h.until && !t.over {
		return h.Token, true
	}
	return 0, false
}

func (t *Node) holding(job string) *holding {
	for _, h := range t.held {
		if h.Role == job {
			return h
		}
	}
	return nil
}

// learn takes what the table says of this member.
func (t *Node) learn() {
	t.done = slices.DeleteFunc(t.done, func(d Grant) bool { return !t.stillOurs(d) })
	for _, h := range slices.Clone(t.held) {
		if g, known := t.granted(h.Role); known && (g.Token > h.Token || g.Token == h.Token && g.Holder != t.self) {
			t.end(h, "it was granted to another")
		}
	}
	for _, g := range t.table.Grants {
		if g.Holder != t.self || t.holding(g.Role) != nil || t.isDone(g) {
			continue
		}
		if g.BootID != t.life || !t.can(g.Role) {
			if !t.can(g.Role) {
				t.decline([]string{g.Role})
			}
			t.giveBack(g)
			continue
		}
		if len(t.held) == 0 {
			t.heardAt = t.now
		}
		t.held = append(t.held, &holding{Grant: g, until: math.Inf(-1)})
		t.renewAt = t.now
	}
}

func (t *Node) granted(job string) (Grant, bool) {
	i, known := placeOf(t.table.Grants, job)
	if !known {
		return Grant{}, false
	}
	return t.table.Grants[i], true
}

// stillOurs tells whether the table still says that a grant is this member's.
func (t *Node) stillOurs(g Grant) bool {
	now, known := t.granted(g.Role)
	return known && now.Token == g.Token && now.Holder == t.self
}

func (t *Node) isDone(g Grant) bool {
	return slices.ContainsFunc(t.done, func(d Grant) bool { return d.Role == g.Role && d.Token >= g.Token })
}

// can tells whether this member does a job.
func (t *Node) can(job string) bool {
	return !t.leaving && slices.Contains(t.set.Roles, job) && !slices.Contains(t.unwilling, job)
}

// end ends what is held. Nothing is done under it any more, so it can be given back.
func (t *Node) end(h *holding, why string) {
	t.held = slices.DeleteFunc(t.held, func(o *holding) bool { return o == h })
	if h.owned {
		t.do.LeaseEnded(h.Role, h.Token, why)
	}
	t.giveBack(h.Grant)
}

func (t *Node) endAll(why string) {
	for len(t.held) > 0 {
		t.end(t.held[0], why)
	}
}

// giveBack has the leader know that nothing is done under a grant, until the table says so.
func (t *Node) giveBack(g Grant) {
	if t.over {
		return
	}
	t.done = append(t.done, g)
	if t.stillOurs(g) && t.table.Leader != 0 {
		t.send(t.table.Leader, &Message{Released: []Grant{g}})
	}
	t.renewAt = min(t.renewAt, t.now+renewS)
}

// lapse ends leases. Danger: this process may have stood still since its last call; it comes before all else.
func (t *Node) lapse() {
	for _, h := range slices.Clone(t.held) {
		if h.owned && t.now >= h.until {
			t.figures.Lapsed++
			t.end(h, ReasonNotRenewed)
		}
	}
}

// tickHolder has leases renewed.
func (t *Node) tickHolder() {
	if t.now >= t.renewAt {
		t.renew()
	}
	if t.now >= t.wishAt {
		t.wishAt = t.now + compareS
		var wish []string
		for _, job := range t.set.Roles {
			if _, known := t.granted(job); !known && t.can(job) {
				wish = append(wish, job)
			}
		}
		if wish != nil {
			t.wishAt = t.now + wishS*(1+4*t.rng.Float64())
		}
		if wish != nil && t.table.Leader != 0 {
			t.send(t.table.Leader, &Message{Bids: wish, BootID: t.life})
		}
	}
}

// renew asks for all leases at once, and gives back what is not known to be given back.
func (t *Node) renew() {
	t.renewAt = math.Inf(1)
	if len(t.held) == 0 && len(t.done) == 0 || t.over {
		return
	}
	t.renewAt = t.now + renewS
	m := &Message{BootID: t.life}
	if len(t.held) > 0 {
		t.number++
		r := &Renewal{Number: t.number}
		for _, h := range t.held {
			r.Grants = append(r.Grants, h.Grant)
		}
		r.Records = t.knownRecords()
		t.sent = append(t.sent, sentRenewal{t.number, t.now, r.Grants})
		if len(t.sent) > mostOut {
			t.sent = slices.Delete(t.sent, 0, len(t.sent)-mostOut)
		}
		m.RenewRequest = r
	}
	for _, g := range t.done {
		if t.stillOurs(g) {
			m.Released = append(m.Released, g)
		}
	}
	leader := t.table.Leader
	if leader != 0 && (t.now-t.heardAt < 2*renewS || leader == t.self) {
		t.send(leader, m)
		return
	}
	for _, id := range t.table.Voters { // one of them knows who leads
		t.send(id, m)
	}
}

// renewed takes what the leader has confirmed.
func (t *Node) renewed(r *Renewal) {
	i := slices.IndexFunc(t.sent, func(s sentRenewal) bool { return s.number == r.Number })
	if i < 0 {
		return
	}
	sent := t.sent[i]
	t.heardAt = t.now
	t.learnRecords(r.Records)
	for _, g := range r.Grants {
		h := t.holding(g.Role)
		if h == nil || h.Token != g.Token || !slices.Contains(sent.grants, h.Grant) {
			continue
		}
		h.until = max(h.until, sent.at+ownPart*leaseS)
		switch {
		case t.now >= h.until:
		case !h.owned && t.can(h.Role):
			h.owned = true
			t.figures.Acquired++
			t.do.LeaseStarted(h.Role, h.Token)
			if t.keepsRecord(h.Role) {
				h.record.Role = h.Role
				t.do.RecordCommitted(h.record)
			}
		}
	}
}

// SetWilling tells whether this member wants a job.
func (t *Node) SetWilling(now float64, job string, willing bool) {
	t.enter(now)
	i, not := slices.BinarySearch(t.unwilling, job)
	switch {
	case willing && not:
		t.unwilling = slices.Delete(t.unwilling, i, i+1)
	case !willing && !not:
		t.unwilling = slices.Insert(t.unwilling, i, job)
		if h := t.holding(job); h != nil {
			t.decline([]string{job})
			t.end(h, "this member does not want it")
		}
	}
	t.settle()
}

func (t *Node) decline(jobs []string) {
	if t.table.Leader != 0 && len(jobs) > 0 {
		t.send(t.table.Leader, &Message{Declined: jobs})
	}
}

// offered answers who would do jobs.
func (t *Node) offered(from swim.ID, jobs []string) {
	var wish, not []string
	for _, job := range jobs {
		if t.can(job) {
			wish = append(wish, job)
		} else {
			not = append(not, job)
		}
	}
	t.send(from, &Message{Bids: wish, Declined: not, BootID: t.life})
}

// RequestStepDown has a job go to somebody else, as an operator wants.
func (t *Node) RequestStepDown(now float64, job string) {
	t.enter(now)
	if !t.over && t.table.Leader != 0 {
		t.send(t.table.Leader, &Message{StepDown: job})
	}
	t.settle()
}

// moved takes that a job is to go to somebody else: who owns it gives it back.
func (t *Node) moved(job string) {
	if h := t.holding(job); h != nil {
		t.decline([]string{job})
		t.end(h, "it is to go to another member")
	}
}

// Leave gives everything back, and says nothing more as an elector once another leads.
func (t *Node) Leave(now float64) {
	t.enter(now)
	if !t.leaving && !t.over {
		t.leaving, t.leftAt = true, t.now
		t.endAll("this member leaves")
		t.tickLeader()
	}
	t.settle()
}

// HasLeft tells whether all that was given back is known to be, and another leads.
func (t *Node) HasLeft() bool {
	return t.over || t.leaving && len(t.held) == 0 && t.handed && !slices.ContainsFunc(t.done, t.stillOurs)
}

func (t *Node) holderNext() float64 {
	next := min(t.renewAt, t.wishAt)
	for _, h := range t.held {
		if h.owned {
			next = min(next, h.until)
		}
	}
	return next
}

// holderWants are the links that who owns anything needs.
func (t *Node) holderWants() []swim.ID {
	if len(t.held) == 0 && len(t.done) == 0 {
		return nil
	}
	return append(slices.Clone(t.table.Voters), t.table.Leader)
}
