package lease

import (
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/msgpacklimit"
)

// command is a log entry that changes a role's grant or record. It has no effect if the grant has changed since it was proposed.
type command struct {
	Role          string  `msgpack:"j"`
	Holder        swim.ID `msgpack:"o,omitempty"` // 0: the role becomes vacant and the token stays
	BootID        uint64  `msgpack:"l,omitempty"`
	ExpectedToken uint64  `msgpack:"w,omitempty"` // of the grant that the command replaces; 0: the role is new
	Record        *Record `msgpack:"p,omitempty"` // if set, the command only stores this record
}

// stateMachine is the replicated state. The same log leads to the same state on every voter.
type stateMachine struct {
	Epoch  uint64  `msgpack:"e"`
	Grants []Grant `msgpack:"g,omitempty"` // by role; never removed, so that tokens only grow
	// Records is sorted by role. Records are never removed, so that versions only grow.
	Records []Record `msgpack:"r,omitempty"`
}

// tokenCounterBits is how many low bits of a token count grants; the bits above hold the group's epoch.
const tokenCounterBits = 40

// apply applies a command and reports whether it changed anything.
func (m *stateMachine) apply(c command) bool {
	if c.Record != nil {
		return m.putRecord(c.Record)
	}
	i, known := grantIndex(m.Grants, c.Role)
	switch {
	case !known && (c.ExpectedToken != 0 || c.Holder == 0 || len(m.Grants) >= maxRoles):
		return false
	case !known:
		m.Grants = slices.Insert(m.Grants, i, Grant{Role: c.Role, Token: m.Epoch << tokenCounterBits})
	case m.Grants[i].Token != c.ExpectedToken:
		return false // another command was first
	}
	g := &m.Grants[i]
	if g.Holder, g.BootID = c.Holder, c.BootID; c.Holder != 0 {
		g.Token++
	}
	return true
}

// grant returns a role's grant.
func (m *stateMachine) grant(role string) (Grant, bool) {
	i, known := grantIndex(m.Grants, role)
	if !known {
		return Grant{Role: role}, false
	}
	return m.Grants[i], true
}

// snapshotData returns the state as Raft's snapshots hold it.
func (m *stateMachine) snapshotData() []byte { return encode(m) }

// encode encodes types of this package, for which msgpack has no errors.
func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("lease: %v", err))
	}
	return b
}

// decode decodes data from disk or from another member. It may be crafted, so its length is checked before it is decoded.
func decode(b []byte, v any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("decode: %v", cause)
		}
	}()
	if err := msgpacklimit.Whole(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}
