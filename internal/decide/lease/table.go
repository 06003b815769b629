package lease

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/swim"
)

const compareIntervalSeconds = 10.0 // between two questions whether others know a newer table

// isNewerThan orders tables.
func (a *Table) isNewerThan(b *Table) bool {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Term, b.Term)) > 0
}

// handleTable takes what another knows of all grants.
func (t *Node) handleTable(from swim.ID, table *Table) {
	switch {
	case from == t.self || len(table.Grants) > maxRoles || len(table.Voters) > 2*maxInitialVoters:
	case t.table.isNewerThan(table):
		t.actions.Send(from, t.tableMessage())
	case !table.isNewerThan(&t.table):
	case len(table.Voters) == 0:
		t.actions.Send(from, &Message{Table: &Table{Epoch: t.table.Epoch, Index: t.table.Index, Term: t.table.Term}})
	default:
		t.adoptTable(table, from)
	}
}

// adoptTable takes a newer table and passes it on.
func (t *Node) adoptTable(table *Table, except swim.ID) {
	t.table = *table
	t.highestEpoch = max(t.highestEpoch, t.table.Epoch)
	if t.founding != nil && t.founding.Epoch < t.table.Epoch {
		t.actions.Log("another electors' group has been founded: this member leaves the old one", "epoch", t.table.Epoch)
		t.founding, t.group, t.acceptedFounding, t.dirty = nil, nil, nil, true
	}
	t.actions.Broadcast(&Message{Table: table}, except)
	t.applyTable()
}

// tableMessage tells what is known as of now, whenever it is read.
func (t *Node) tableMessage() *Message {
	table := t.table
	return &Message{Table: &table}
}

// publishTable makes the table of what this elector has applied.
func (t *Node) publishTable() {
	g := t.group
	if g.appliedIndex == 0 {
		return
	}
	table := Table{Epoch: t.founding.Epoch, Index: g.appliedIndex, Term: g.term, Leader: g.leaderID, Grants: slices.Clone(g.machine.Grants)}
	for _, id := range slices.Concat(g.confState.GetVoters(), g.confState.GetVotersOutgoing()) { // while one is replaced, both count
		table.Voters = append(table.Voters, swim.ID(id))
	}
	slices.Sort(table.Voters)
	table.Voters = slices.Compact(table.Voters)
	if table.Leader == 0 && !table.isNewerThan(&t.table) {
		return
	}
	if table.isNewerThan(&t.table) || table.Epoch == t.table.Epoch && table.Index == t.table.Index && table.Term == t.table.Term && table.Leader != t.table.Leader {
		t.adoptTable(&table, 0)
	}
}

// memberIDs returns all that the group sends to, or may.
func (g *group) memberIDs() []uint64 {
	return slices.Concat(g.confState.GetVoters(), g.confState.GetVotersOutgoing(), g.confState.GetLearners(), g.confState.GetLearnersNext())
}
