package maintenance

import (
	"fmt"
	"slices"
	"strings"

	"hazelwheel/internal/decide/swim"
)

// Why a box is not known to be empty.
const (
	notHeard = "the sidecars have not been heard"
	byHand   = "in use there by hand"
)

// mostWho is how many are named.
const mostWho = 10

// needed tells whether a member must be heard: it may send.
func (p *Plan) needed(m *Member, laterS float64) bool {
	switch m.State {
	case swim.Dead:
		return m.StateAgeSeconds+laterS < p.Spec.goneS()
	case swim.Left:
		return m.StateAgeSeconds+laterS < min(p.Spec.goneS(), leftS)
	}
	return true
}

// occupied tells who does not hold a box for empty, and why it is not known to be; without a why it is. Danger: silence is no
// consent, of nobody who may still send; and a process that began anew knows nothing of what the one before it has said.
func (c *Coordinator) occupied(p *Plan, b *Server) (who []string, why string) {
	round := c.fresh()
	if round == nil || len(round.Members) == 0 {
		return nil, notHeard
	}
	t := c.boxTime(p.Number, b.Name)
	if t == nil || !b.Stage.IsCordoned() || t.stage != b.Stage {
		return nil, "it is not agreed yet that nothing goes there"
	}
	silent := c.silent(p, round, t.banned)
	var open []string
	hand := false
	for i := range round.Report.InUse {
		if o := &round.Report.InUse[i]; o.Server == b.Name {
			open = append(open, name(round, o.Member))
			hand = hand || o.Uncordoned
		}
	}
	var parts []string
	if len(silent) > 0 {
		parts = append(parts, "not heard to have stopped sending there")
	}
	if len(open) > 0 && hand {
		parts = append(parts, byHand)
	} else if len(open) > 0 {
		parts = append(parts, "has something out there, or has sent there just now")
	}
	if seen := c.fleet.box(b.Name); seen != nil && seen.Busy && seen.ListedBy > 0 {
		parts = append(parts, "its own report says that it works")
	}
	who = append(silent, open...)
	slices.Sort(who)
	return slices.Compact(who), strings.Join(parts, "; ")
}

// takenInUse tells why the mechanic who has a box is not told of it again; empty: it is. Danger: its hand-over may have been agreed
// after everybody had given up on it (the owner lost its majority, which returned with it), so that the mechanic never heard of it and an
// operator has put the box back in use since.
func (c *Coordinator) takenInUse(b *Server) string {
	if c.fresh() == nil {
		return notHeard
	}
	if len(c.usedByHand(b.Name)) > 0 {
		return byHand
	}
	return ""
}

// usedByHand names who has put a box that is out back in use by hand, by the last round.
func (c *Coordinator) usedByHand(box string) (who []string) {
	round := c.fresh()
	if round == nil {
		return nil
	}
	for i := range round.Report.InUse {
		if o := &round.Report.InUse[i]; o.Server == box && o.Uncordoned {
			who = append(who, name(round, o.Member))
		}
	}
	slices.Sort(who)
	return who
}

// silent returns the names of members who may send and have not said that they go by a version, or a later one.
func (c *Coordinator) silent(p *Plan, round *FleetSnapshot, version uint64) (names []string) {
	for i := range round.Members {
		m := &round.Members[i]
		if p.needed(m, c.now-c.heardAt) && !slices.ContainsFunc(round.Report.Reporters, func(f Reporter) bool {
			return f.ID == m.ID && f.BootID == m.BootID && f.Version >= version
		}) {
			names = append(names, m.Name)
		}
	}
	return names
}

func name(round *FleetSnapshot, id swim.ID) string {
	for i := range round.Members {
		if round.Members[i].ID == id {
			return round.Members[i].Name
		}
	}
	return fmt.Sprintf("%016x", uint64(id))
}

// unheard returns who keeps boxes from leaving: who may send, and is not there to be asked.
func (c *Coordinator) unheard(p *Plan) []string {
	round := c.fresh()
	if round == nil {
		return nil
	}
	names := c.silent(p, round, 0)
	for i := range round.Members {
		if m := &round.Members[i]; m.State != swim.Alive && p.needed(m, c.now-c.heardAt) {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return names[:min(len(names), mostWho)]
}
