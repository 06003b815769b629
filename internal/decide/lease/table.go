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
func (n *Node) handleTable(from swim.ID, table *Table) {
	switch {
	case from == n.self || len(table.Grants) > maxRoles || len(table.Voters) > 2*maxInitialVoters:
	case n.table.isNewerThan(table):
		n.actions.Send(from, n.tableMessage())
	case !table.isNewerThan(&n.table):
	case len(table.Voters) == 0:
		n.actions.Send(from, &Message{Table: &Table{Epoch: n.table.Epoch, Index: n.table.Index, Term: n.table.Term}})
	default:
		n.adoptTable(table, from)
	}
}

// adoptTable takes a newer table and passes it on.
func (n *Node) adoptTable(table *Table, except swim.ID) {
	n.table = *table
	n.highestEpoch = max(n.highestEpoch, n.table.Epoch)
	if n.founding != nil && n.founding.Epoch < n.table.Epoch {
		n.actions.Log("another electors' group has been founded: this member leaves the old one", "epoch", n.table.Epoch)
		n.founding, n.group, n.acceptedFounding, n.dirty = nil, nil, nil, true
	}
	n.actions.Broadcast(&Message{Table: table}, except)
	n.applyTable()
}

// tableMessage tells what is known as of now, whenever it is read.
func (n *Node) tableMessage() *Message {
	table := n.table
	return &Message{Table: &table}
}

// publishTable makes the table of what this elector has applied.
func (n *Node) publishTable() {
	g := n.group
	if g.appliedIndex == 0 {
		return
	}
	table := Table{Epoch: n.founding.Epoch, Index: g.appliedIndex, Term: g.term, Leader: g.leaderID, Grants: slices.Clone(g.machine.Grants)}
	for _, id := range slices.Concat(g.confState.GetVoters(), g.confState.GetVotersOutgoing()) { // while one is replaced, both count
		table.Voters = append(table.Voters, swim.ID(id))
	}
	slices.Sort(table.Voters)
	table.Voters = slices.Compact(table.Voters)
	if table.Leader == 0 && !table.isNewerThan(&n.table) {
		return
	}
	if table.isNewerThan(&n.table) || table.Epoch == n.table.Epoch && table.Index == n.table.Index && table.Term == n.table.Term && table.Leader != n.table.Leader {
		n.adoptTable(&table, 0)
	}
}
