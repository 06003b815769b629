package lease

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/swim"
)

const compareS = 10.0 // between two questions whether others know a newer table

// newer orders tables.
func (a *Table) newer(b *Table) bool {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Term, b.Term)) > 0
}

// hearTable takes what another knows of all grants.
func (t *Node) hearTable(from swim.ID, table *Table) {
	switch {
	case from == t.self || len(table.Grants) > mostJobs || len(table.Voters) > 2*mostList:
	case t.table.newer(table):
		t.do.Send(from, t.tableMessage())
	case !table.newer(&t.table):
	case len(table.Voters) == 0:
		t.do.Send(from, &Message{Table: &Table{Epoch: t.table.Epoch, Index: t.table.Index, Term: t.table.Term}})
	default:
		t.take(table, from)
	}
}

// take takes a newer table and passes it on.
func (t *Node) take(table *Table, except swim.ID) {
	t.table = *table
	t.epoch = max(t.epoch, t.table.Epoch)
	if t.founding != nil && t.founding.Epoch < t.table.Epoch {
		t.do.Log("another electors' group has been founded: this member leaves the old one", "epoch", t.table.Epoch)
		t.founding, t.group, t.accepted, t.dirty = nil, nil, nil, true
	}
	t.do.Broadcast(&Message{Table: table}, except)
	t.learn()
}

// tableMessage tells what is known as of now, whenever it is read.
func (t *Node) tableMessage() *Message {
	table := t.table
	return &Message{Table: &table}
}

// publish makes the table of what this elector has applied.
func (t *Node) publish() {
	g := t.group
	if g.applied == 0 {
		return
	}
	table := Table{Epoch: t.founding.Epoch, Index: g.applied, Term: g.current, Leader: g.lead, Grants: slices.Clone(g.machine.Grants)}
	for _, id := range slices.Concat(g.conf.GetVoters(), g.conf.GetVotersOutgoing()) { // while one is replaced, both count
		table.Voters = append(table.Voters, swim.ID(id))
	}
	slices.Sort(table.Voters)
	table.Voters = slices.Compact(table.Voters)
	if table.Leader == 0 && !table.newer(&t.table) {
		return
	}
	if table.newer(&t.table) || table.Epoch == t.table.Epoch && table.Index == t.table.Index && table.Term == t.table.Term && table.Leader != t.table.Leader {
		t.take(&table, 0)
	}
}

// peers returns all that the group sends to, or may.
func (g *group) peers() []uint64 {
	return slices.Concat(g.conf.GetVoters(), g.conf.GetVotersOutgoing(), g.conf.GetLearners(), g.conf.GetLearnersNext())
}
