package lease

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Record is what is agreed of a role beyond who owns it: its owner writes it, the electors keep it over all owners. Danger: an owner
// that stood still goes on to write; so a record is written under a grant and in place of one version, and is not where the role has
// been granted anew or another version was faster.
type Record struct {
	Role    string `msgpack:"j"`
	Version uint64 `msgpack:"v"`           // one more with each; 0: nothing was written
	Token   uint64 `msgpack:"t,omitempty"` // of the grant under which it was written
	Body    []byte `msgpack:"b,omitempty"`
}

const (
	// MaxRecordBytes bounds a record's body, in bytes: with what goes around it it is one frame between members.
	MaxRecordBytes = 40 << 10
	// maxLogBytes bounds what entries hold before they become a snapshot, in bytes: all of it is written with each change.
	maxLogBytes = 96 << 10
)

func recordIndex(records []Record, role string) (int, bool) {
	return slices.BinarySearchFunc(records, role, func(r Record, role string) int { return cmp.Compare(r.Role, role) })
}

// record returns what is kept of a role.
func (m *stateMachine) record(role string) Record {
	if i, known := recordIndex(m.Records, role); known {
		return m.Records[i]
	}
	return Record{Role: role}
}

// putRecord takes a record, if its role still has the grant under which it is written, and the version before it.
func (m *stateMachine) putRecord(r *Record) bool {
	g, known := m.grant(r.Role)
	if current := m.record(r.Role); !known || g.Holder == 0 || g.Token != r.Token || current.Version+1 != r.Version || len(r.Body) > MaxRecordBytes {
		return false
	}
	i, kept := recordIndex(m.Records, r.Role)
	if !kept {
		m.Records = slices.Insert(m.Records, i, Record{})
	}
	m.Records[i] = *r
	return true
}

// --- at the owner ---

// hasRecord tells whether this member wants the record of a role that it owns.
func (n *Node) hasRecord(role string) bool { return slices.Contains(n.settings.RecordedRoles, role) }

// WriteRecord asks that a record takes the place of the version before it. Actions.Agreed follows once one is agreed, which may be
// another's; until then Write is to be called again. It tells nothing of what is lost on the way.
func (n *Node) WriteRecord(now float64, role string, version uint64, body []byte) {
	n.advanceTo(now)
	if held := n.leaseFor(role); held != nil && held.started && n.table.Leader != 0 && !n.retired && len(body) <= MaxRecordBytes {
		n.send(n.table.Leader, &Message{WriteRecord: &Record{Role: role, Version: version, Token: held.Token, Body: body}})
	}
	n.finishCall()
}

// known are the versions that this member knows of the records of what it holds.
func (n *Node) knownRecordVersions() (all []Record) {
	for _, held := range n.leases {
		if n.hasRecord(held.Role) {
			all = append(all, Record{Role: held.Role, Version: held.recordVersion})
		}
	}
	return all
}

// handleRecords takes records that are agreed.
func (n *Node) handleRecords(records []Record) {
	for i := range records {
		r := &records[i]
		held := n.leaseFor(r.Role)
		if held == nil || !n.hasRecord(r.Role) || r.Version <= held.recordVersion || len(r.Body) > MaxRecordBytes {
			continue
		}
		held.recordVersion, held.record = r.Version, *r
		if held.started {
			n.actions.RecordCommitted(*r)
		}
	}
}

// --- at the leader ---

// proposeRecord has a record agreed that an owner wants.
func (n *Node) proposeRecord(from swim.ID, r *Record) {
	g, known := n.group.machine.grant(r.Role)
	state := n.roleFor(r.Role)
	switch current := n.group.machine.record(r.Role); {
	case !known || state == nil || g.Holder != from || g.Token != r.Token || state.releasedToken == g.Token || state.hasPendingCommand || len(r.Body) > MaxRecordBytes:
		// it is not the owner, or not for long any more
	case current.Version >= r.Version: // it is agreed, or another was faster
		n.send(from, &Message{Records: []Record{current}})
	case current.Version+1 == r.Version && state.writingVersion != r.Version:
		if state.writingVersion = r.Version; !n.propose(command{Role: r.Role, Record: r}) {
			state.writingVersion = 0
		}
	}
}

// recordApplied takes that a record is agreed, or turned out to be too late.
func (n *Node) recordApplied(r *Record) {
	if !n.group.isLeader {
		return
	}
	if state := n.roleFor(r.Role); state != nil {
		state.writingVersion = 0
	}
	if g, known := n.group.machine.grant(r.Role); known && g.Holder != 0 {
		n.send(g.Holder, &Message{Records: []Record{n.group.machine.record(r.Role)}})
	}
}

// newerRecords returns what is kept of roles beyond what the asker knows.
func (n *Node) newerRecords(known []Record) (all []Record) {
	for _, k := range known {
		if current := n.group.machine.record(k.Role); current.Version > k.Version {
			all = append(all, current)
		}
	}
	return all
}
