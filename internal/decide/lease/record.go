package lease

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Record is data that a role's holder stores with the voters and that the next holder receives. A former holder that was paused may
// still write. So each write names its grant and replaces the version before its own, and is rejected if the role was granted again
// or another version was committed first.
type Record struct {
	Role    string `msgpack:"j"`
	Version uint64 `msgpack:"v"`           // grows by one; 0: nothing was written
	Token   uint64 `msgpack:"t,omitempty"` // of the grant under which it was written
	Body    []byte `msgpack:"b,omitempty"`
}

const (
	// MaxRecordBytes bounds a record's body, so that a message with one record fits into a frame between members.
	MaxRecordBytes = 40 << 10
	// maxLogBytes is the size of the log entries' data from which they are compacted into a snapshot, since every write to disk holds
	// all of them.
	maxLogBytes = 96 << 10
)

// recordIndex finds a role among records sorted by role.
func recordIndex(records []Record, role string) (int, bool) {
	return slices.BinarySearchFunc(records, role, func(r Record, role string) int { return cmp.Compare(r.Role, role) })
}

// record returns a role's record, with Version 0 if there is none.
func (m *stateMachine) record(role string) Record {
	if i, known := recordIndex(m.Records, role); known {
		return m.Records[i]
	}
	return Record{Role: role}
}

// putRecord stores a record, unless its grant or version is outdated.
func (m *stateMachine) putRecord(r *Record) bool {
	g, known := m.grant(r.Role)
	if current := m.record(r.Role); !known || g.Holder == 0 || g.Token != r.Token || current.Version+1 != r.Version || len(r.Body) > MaxRecordBytes {
		return false
	}
	i, found := recordIndex(m.Records, r.Role)
	if !found {
		m.Records = slices.Insert(m.Records, i, Record{})
	}
	m.Records[i] = *r
	return true
}

// The holder's side.

// hasRecord reports whether a role has a record.
func (n *Node) hasRecord(role string) bool { return slices.Contains(n.settings.RecordedRoles, role) }

// WriteRecord proposes the next version of a role's record; version is one more than the last committed one.
// Actions.RecordCommitted is called once a version is committed, which may be one that another process wrote. A lost proposal is not
// reported: the caller repeats WriteRecord until RecordCommitted is called. Without a valid lease, or with a body above
// MaxRecordBytes, WriteRecord does nothing.
func (n *Node) WriteRecord(now float64, role string, version uint64, body []byte) {
	n.advanceTo(now)
	if held := n.leaseFor(role); held != nil && held.started && n.table.Leader != 0 && !n.retired && len(body) <= MaxRecordBytes {
		n.send(n.table.Leader, &Message{WriteRecord: &Record{Role: role, Version: version, Token: held.Token, Body: body}})
	}
	n.finishCall()
}

// knownRecordVersions returns, for each role that this member holds and that has a record, the version that it has, without a body.
func (n *Node) knownRecordVersions() (all []Record) {
	for _, held := range n.leases {
		if n.hasRecord(held.Role) {
			all = append(all, Record{Role: held.Role, Version: held.recordVersion})
		}
	}
	return all
}

// handleRecords handles committed records from the leader.
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

// The leader's side.

// proposeRecord proposes a holder's record to the group.
func (n *Node) proposeRecord(from swim.ID, r *Record) {
	g, known := n.group.machine.grant(r.Role)
	state := n.roleFor(r.Role)
	switch current := n.group.machine.record(r.Role); {
	case !known || state == nil || g.Holder != from || g.Token != r.Token || state.releasedToken == g.Token || state.hasPendingCommand || len(r.Body) > MaxRecordBytes:
		// The sender is not the holder, or is about to lose the role.
	case current.Version >= r.Version: // this version is committed already, or another one was first
		n.send(from, &Message{Records: []Record{current}})
	case current.Version+1 == r.Version && state.writingVersion != r.Version:
		if state.writingVersion = r.Version; !n.propose(command{Role: r.Role, Record: r}) {
			state.writingVersion = 0
		}
	}
}

// recordApplied sends the committed record to the holder after a write was applied or found to be outdated.
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

// newerRecords returns the records that are newer than the versions that a holder has.
func (n *Node) newerRecords(known []Record) (all []Record) {
	for _, k := range known {
		if current := n.group.machine.record(k.Role); current.Version > k.Version {
			all = append(all, current)
		}
	}
	return all
}
