package lease

import (
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/msgpacklimit"
)

// command is an entry of the electors' log: a job goes to somebody, if its token still is the one that was meant.
type command struct {
	Job   string  `msgpack:"j"`
	Owner swim.ID `msgpack:"o,omitempty"` // 0: nobody, the token stays
	Life  uint64  `msgpack:"l,omitempty"`
	Was   uint64  `msgpack:"w,omitempty"` // the token so far; 0: the job is new
	Put   *Record `msgpack:"p,omitempty"` // the command is to keep this, and nothing else
}

// machine is the replicated state: who has been granted what. Equal logs make equal machines.
type machine struct {
	Epoch  uint64  `msgpack:"e"`
	Grants []Grant `msgpack:"g,omitempty"` // by job; a job never goes, so that its tokens only grow
	// Records are by job, and never go either, so that their versions only grow.
	Records []Record `msgpack:"r,omitempty"`
}

const counterBits = 40 // of a token; above is the epoch

// apply takes a command and tells whether it changed anything.
func (m *machine) apply(c command) bool {
	if c.Put != nil {
		return m.put(c.Put)
	}
	i, known := placeOf(m.Grants, c.Job)
	switch {
	case !known && (c.Was != 0 || c.Owner == 0 || len(m.Grants) >= mostJobs):
		return false
	case !known:
		m.Grants = slices.Insert(m.Grants, i, Grant{Role: c.Job, Token: m.Epoch << counterBits})
	case m.Grants[i].Token != c.Was:
		return false // somebody else was faster: what was meant by it does not hold any more
	}
	g := &m.Grants[i]
	if g.Holder, g.BootID = c.Owner, c.Life; c.Owner != 0 {
		g.Token++
	}
	return true
}

// grant returns what holds of a job.
func (m *machine) grant(job string) (Grant, bool) {
	i, known := placeOf(m.Grants, job)
	if !known {
		return Grant{Role: job}, false
	}
	return m.Grants[i], true
}

func (m *machine) bytes() []byte { return pack(m) }

// pack packs what always packs: numbers, names and lists of them.
func pack(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("tenure: %v", err))
	}
	return b
}

// unpack reads what came from a disk or another member.
func unpack(b []byte, v any) (err error) {
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
