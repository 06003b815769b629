package lease

import (
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/msgpacklimit"
)

// command is an entry of the electors' log: a role goes to somebody, if its token still is the one that was meant.
type command struct {
	Role          string  `msgpack:"j"`
	Holder        swim.ID `msgpack:"o,omitempty"` // 0: nobody, the token stays
	BootID        uint64  `msgpack:"l,omitempty"`
	ExpectedToken uint64  `msgpack:"w,omitempty"` // the token so far; 0: the role is new
	Record        *Record `msgpack:"p,omitempty"` // the command is to keep this, and nothing else
}

// stateMachine is the replicated state: who has been granted what. Equal logs make equal machines.
type stateMachine struct {
	Epoch  uint64  `msgpack:"e"`
	Grants []Grant `msgpack:"g,omitempty"` // by role; a role never goes, so that its tokens only grow
	// Records are by role, and never go either, so that their versions only grow.
	Records []Record `msgpack:"r,omitempty"`
}

const tokenCounterBits = 40 // of a token; above is the epoch

// apply takes a command and tells whether it changed anything.
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
		return false // somebody else was faster: what was meant by it does not hold any more
	}
	g := &m.Grants[i]
	if g.Holder, g.BootID = c.Holder, c.BootID; c.Holder != 0 {
		g.Token++
	}
	return true
}

// grant returns what holds of a role.
func (m *stateMachine) grant(role string) (Grant, bool) {
	i, known := grantIndex(m.Grants, role)
	if !known {
		return Grant{Role: role}, false
	}
	return m.Grants[i], true
}

func (m *stateMachine) snapshotData() []byte { return encode(m) }

// encode packs what always packs: numbers, names and lists of them.
func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("tenure: %v", err))
	}
	return b
}

// decode reads what came from a disk or another member.
func decode(b []byte, v any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("it can't be read: %v", cause)
		}
	}()
	if err := msgpacklimit.Whole(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}
