package processcluster

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/peers/frames"
)

// Grants keeps the history of grants as it crosses the wire: when each token was seen first, and which grants a leader has
// confirmed, from the question to the answer. It can be used from any goroutine.
type GrantHistory struct {
	mu       sync.Mutex
	began    time.Time
	seen     map[grant]int64 // when, since it began
	asked    map[question]int64
	confirms []confirm
}

type grant struct {
	job   string
	token uint64
}

// question is one renewal, by who has asked whom.
type question struct {
	way    Direction
	number uint64
}

// confirm is a leader's word that a grant held at some instant between two.
type confirm struct {
	grant
	from, to int64
}

// mostAsked bounds the questions that have no answer yet.
const mostAsked = 10_000

// NewGrants returns an empty history.
func NewGrantHistory() *GrantHistory {
	return &GrantHistory{began: time.Now(), seen: map[grant]int64{}, asked: map[question]int64{}}
}

// Tap is for a Switchboard.
func (g *GrantHistory) ObserveFrame(_ uint64, w Direction, topic frames.Topic, body []byte) {
	var m lease.Message
	var e frames.RoleMessage
	switch {
	case topic == frames.TopicLease && frames.Unmarshal(body, &m) == nil:
	case topic == frames.TopicRole && frames.Unmarshal(body, &e) == nil:
	default:
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := int64(time.Since(g.began))
	if e.Token != 0 {
		g.note(grant{e.Role, e.Token}, now)
	}
	if m.Table != nil {
		for _, x := range m.Table.Grants {
			g.note(grant{x.Role, x.Token}, now)
		}
	}
	if m.RenewRequest != nil && len(g.asked) < mostAsked {
		if q := (question{w, m.RenewRequest.Number}); g.asked[q] == 0 { // a process that began again counts anew: the first is the earliest
			g.asked[q] = now
		}
	}
	if m.RenewReply == nil {
		return
	}
	q := question{Direction{w.To, w.From}, m.RenewReply.Number}
	from, ok := g.asked[q]
	delete(g.asked, q)
	for _, x := range m.RenewReply.Grants {
		g.note(grant{x.Role, x.Token}, now)
		if ok {
			g.confirms = append(g.confirms, confirm{grant{x.Role, x.Token}, from, now})
		}
	}
}

func (g *GrantHistory) note(x grant, now int64) {
	if _, ok := g.seen[x]; !ok && x.token != 0 {
		g.seen[x] = now
	}
}

// register is a job's token: a grant raises it, and what is confirmed is the last grant's.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, _ any) (bool, any) {
		if c, ok := in.(confirm); ok {
			return c.token == state.(uint64), state
		}
		x := in.(grant)
		return x.token > state.(uint64), x.token
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(in, _ any) string {
		return fmt.Sprintf("%+v", in)
	},
}

// Check looks for an order of grants and confirmations that all could have seen, and returns how many confirmations have one, or
// why there is none. A grant lies before its token was first seen, and after the last question whose answer confirmed an earlier one.
func (g *GrantHistory) CheckLinearizable() (confirmed int, why string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	histories := map[string][]porcupine.Operation{}
	var names []string
	for x, at := range g.seen {
		from := int64(0)
		for _, c := range g.confirms {
			if c.job == x.job && c.token < x.token && c.from <= at {
				from = max(from, c.from)
			}
		}
		if histories[x.job] == nil {
			names = append(names, x.job)
		}
		histories[x.job] = append(histories[x.job], porcupine.Operation{Input: x, Call: from, Return: at})
	}
	for _, c := range g.confirms {
		histories[c.job] = append(histories[c.job], porcupine.Operation{Input: c, Call: c.from, Return: c.to})
	}
	slices.Sort(names)
	for _, name := range names {
		switch porcupine.CheckOperationsTimeout(register, histories[name], time.Minute) {
		case porcupine.Illegal:
			return 0, fmt.Sprintf("there is no order of the grants of %s and of what leaders confirmed", name)
		case porcupine.Unknown:
			return 0, fmt.Sprintf("no order of the grants of %s was found in time", name)
		}
	}
	return len(g.confirms), ""
}
