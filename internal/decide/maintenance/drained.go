package maintenance

import (
	"slices"
	"strings"
)

// Why a box is not known to be empty.
const (
	reasonNoReports  = "the sidecars have not been heard"
	reasonUncordoned = "in use there by hand"
)

// mostWho is how many are named.
const maxNamedMembers = 10

// occupied tells who does not hold a box for empty, and why it is not known to be; without a why it is. Danger: silence is no
// consent, of nobody who may still send; and a process that began anew knows nothing of what the one before it has said.
func (c *Coordinator) inUse(p *Plan, b *Server) (who []string, why string) {
	round := c.freshSnapshot()
	if round == nil || len(round.Members) == 0 {
		return nil, reasonNoReports
	}
	t := c.serverProgress(p.Number, b.Name)
	if t == nil || !b.Stage.IsCordoned() || t.stage != b.Stage {
		return nil, "it is not agreed yet that nothing goes there"
	}
	silent := c.unreportedMembers(p, round, t.cordonedVersion)
	var open []string
	hand := false
	for i := range round.Report.InUse {
		if o := &round.Report.InUse[i]; o.Server == b.Name {
			open = append(open, memberName(round, o.Member))
			hand = hand || o.Uncordoned
		}
	}
	var parts []string
	if len(silent) > 0 {
		parts = append(parts, "not heard to have stopped sending there")
	}
	if len(open) > 0 && hand {
		parts = append(parts, reasonUncordoned)
	} else if len(open) > 0 {
		parts = append(parts, "has something out there, or has sent there just now")
	}
	if seen := c.fleet.server(b.Name); seen != nil && seen.Busy && seen.ListedBy > 0 {
		parts = append(parts, "its own report says that it works")
	}
	who = append(silent, open...)
	slices.Sort(who)
	return slices.Compact(who), strings.Join(parts, "; ")
}

// takenInUse tells why the mechanic who has a box is not told of it again; empty: it is. Danger: its hand-over may have been agreed
// after everybody had given up on it (the owner lost its majority, which returned with it), so that the mechanic never heard of it and an
// operator has put the box back in use since.
func (c *Coordinator) returnedToUse(b *Server) string {
	if c.freshSnapshot() == nil {
		return reasonNoReports
	}
	if len(c.uncordonedBy(b.Name)) > 0 {
		return reasonUncordoned
	}
	return ""
}

// usedByHand names who has put a box that is out back in use by hand, by the last round.
func (c *Coordinator) uncordonedBy(box string) (who []string) {
	round := c.freshSnapshot()
	if round == nil {
		return nil
	}
	for i := range round.Report.InUse {
		if o := &round.Report.InUse[i]; o.Server == box && o.Uncordoned {
			who = append(who, memberName(round, o.Member))
		}
	}
	slices.Sort(who)
	return who
}
