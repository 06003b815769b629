package lease

import (
	"cmp"
	"slices"

	"hazelwheel/internal/decide/swim"
)

// Record is what is agreed of a job beyond who owns it: its owner writes it, the electors keep it over all owners. Danger: an owner
// that stood still goes on to write; so a record is written under a grant and in place of one version, and is not where the job has
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
	// mostLogged bounds what entries hold before they become a snapshot, in bytes: all of it is written with each change.
	mostLogged = 96 << 10
)

func placeOfRecord(records []Record, job string) (int, bool) {
	return slices.BinarySearchFunc(records, job, func(r Record, job string) int { return cmp.Compare(r.Role, job) })
}

// record returns what is kept of a job.
func (m *machine) record(job string) Record {
	if i, known := placeOfRecord(m.Records, job); known {
		return m.Records[i]
	}
	return Record{Role: job}
}

// put takes a record, if its job still has the grant under which it is written, and the version before it.
func (m *machine) put(r *Record) bool {
	g, known := m.grant(r.Role)
	if now := m.record(r.Role); !known || g.Holder == 0 || g.Token != r.Token || now.Version+1 != r.Version || len(r.Body) > MaxRecordBytes {
		return false
	}
	i, kept := placeOfRecord(m.Records, r.Role)
	if !kept {
		m.Records = slices.Insert(m.Records, i, Record{})
	}
	m.Records[i] = *r
	return true
}

// --- at the owner ---

// keepsRecord tells whether this member wants the record of a job that it owns.
func (t *Node) keepsRecord(job string) bool { return slices.Contains(t.set.RecordedRoles, job) }

// WriteRecord asks that a record takes the place of the version before it. Actions.Agreed follows once one is agreed, which may be
// another's; until then Write is to be called again. It tells nothing of what is lost on the way.
func (t *Node) WriteRecord(now float64, job string, version uint64, body []byte) {
	t.enter(now)
	if h := t.holding(job); h != nil && h.owned && t.table.Leader != 0 && !t.over && len(body) <= MaxRecordBytes {
		t.send(t.table.Leader, &Message{WriteRecord: &Record{Role: job, Version: version, Token: h.Token, Body: body}})
	}
	t.settle()
}

// known are the versions that this member knows of the records of what it holds.
func (t *Node) knownRecords() (all []Record) {
	for _, h := range t.held {
		if t.keepsRecord(h.Role) {
			all = append(all, Record{Role: h.Role, Version: h.version})
		}
	}
	return all
}

// learnRecords takes records that are agreed.
func (t *Node) learnRecords(records []Record) {
	for i := range records {
		r := &records[i]
		h := t.holding(r.Role)
		if h == nil || !t.keepsRecord(r.Role) || r.Version <= h.version || len(r.Body) > MaxRecordBytes {
			continue
		}
		h.version, h.record = r.Version, *r
		if h.owned {
			t.do.RecordCommitted(*r)
		}
	}
}

// --- at the leader ---

// write has a record agreed that an owner wants.
func (t *Node) write(from swim.ID, r *Record) {
	g, known := t.group.machine.grant(r.Role)
	p := t.post(r.Role)
	switch now := t.group.machine.record(r.Role); {
	case !known || p == nil || g.Holder != from || g.Token != r.Token || p.freed == g.Token || p.pending || len(r.Body) > MaxRecordBytes:
		// it is not the owner, or not for long any more
	case now.Version >= r.Version: // it is agreed, or another was faster
		t.send(from, &Message{Records: []Record{now}})
	case now.Version+1 == r.Version && p.writing != r.Version:
		if p.writing = r.Version; !t.propose(command{Job: r.Role, Put: r}) {
			p.writing = 0
		}
	}
}

// wrote takes that a record is agreed, or turned out to be too late.
func (t *Node) wrote(r *Record) {
	if !t.group.leads {
		return
	}
	if p := t.post(r.Role); p != nil {
		p.writing = 0
	}
	if g, known := t.group.machine.grant(r.Role); known && g.Holder != 0 {
		t.send(g.Holder, &Message{Records: []Record{t.group.machine.record(r.Role)}})
	}
}

// newerRecords returns what is kept of jobs beyond what the asker knows.
func (t *Node) newerRecords(known []Record) (all []Record) {
	for _, k := range known {
		if now := t.group.machine.record(k.Role); now.Version > k.Version {
			all = append(all, now)
		}
	}
	return all
}
