package lease

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// tableQueryIntervalSeconds is the mean time between two requests for newer tables.
const tableQueryIntervalSeconds = 10.0

// isNewerThan compares the versions of two tables.
func (a *Table) isNewerThan(b *Table) bool {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Term, b.Term)) > 0
}

// handleTable adopts a newer table, and replies to an older one.
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

// adoptTable replaces the table by a newer one and forwards it. If the table belongs to a later group than this member does, the
// member leaves its group.
func (n *Node) adoptTable(table *Table, except swim.ID) {
	n.table = *table
	n.highestEpoch = max(n.highestEpoch, n.table.Epoch)
	if n.founding != nil && n.founding.Epoch < n.table.Epoch {
		n.actions.Log("group superseded: this member leaves it", "epoch", n.table.Epoch)
		n.founding, n.group, n.acceptedFounding, n.dirty = nil, nil, nil, true
	}
	n.actions.Broadcast(&Message{Table: table}, except)
	n.applyTable()
}

// tableMessage returns a message with a copy of the present table.
func (n *Node) tableMessage() *Message {
	table := n.table
	return &Message{Table: &table}
}

// publishTable builds a table from what this voter has applied, and adopts it if it is newer or names another leader.
func (n *Node) publishTable() {
	g := n.group
	if g.appliedIndex == 0 {
		return
	}
	table := Table{Epoch: n.founding.Epoch, Index: g.appliedIndex, Term: g.term, Leader: g.leaderID, Grants: slices.Clone(g.machine.Grants)}
	for _, id := range slices.Concat(g.confState.GetVoters(), g.confState.GetVotersOutgoing()) { // during a change of voters, the old and the new ones
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
