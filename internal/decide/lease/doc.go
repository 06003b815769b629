// Package lease decides who does what one sidecar does on behalf of all: a named job has at most one owner by grant, each
// grant has a token that only grows, and who owns a job may act while its lease, by its own clock, has not ended. Grants are
// agreed among a few electors, by Raft's published state machine. It is a pure state machine: it is told the time, of members
// and of messages, and asks for messages and for its state to be kept. The same calls give the same calls back.
//
// What makes two owners harmless is not the lease but the token: whoever takes an effect keeps the greatest token that it has
// seen for the job (Greatest) and turns lower ones away. docs/design/owner.md weighs the ways.
package lease

import "hazelwheel/internal/decide/swim"

// Grant is a job in one member's hands, or, without an owner, the last token of one that nobody has.
type Grant struct {
	Role   string  `msgpack:"j"`
	Holder swim.ID `msgpack:"o,omitempty"` // 0: nobody
	Token  uint64  `msgpack:"t"`           // of this grant; the job's next one is greater
	BootID uint64  `msgpack:"l,omitempty"` // of the owner's process: another one with its identity gives the job back
}

// Table is what is known of all grants. Of two the one of the greater Epoch, then Index, then Term, is newer; it goes to all
// members, each over all its links, once. Without Electors it only asks whether the other has a newer one.
type Table struct {
	Epoch  uint64    `msgpack:"e"` // of the electors' founding
	Index  uint64    `msgpack:"i"` // of the electors' log up to which it holds
	Term   uint64    `msgpack:"t"`
	Leader swim.ID   `msgpack:"l"`
	Voters []swim.ID `msgpack:"m,omitempty"`
	Grants []Grant   `msgpack:"g,omitempty"` // by job
}

// Member is what is known of one, from the decisions about who is there.
type Member struct {
	ID              swim.ID
	Address         string
	State           swim.State
	Durable         bool    // its identity is on disk: it can be an elector
	StateAgeSeconds float64 // for how long the state has held
}

// Settings are what a Tenure is told at its start.
type Settings struct {
	// Electors are the addresses of 3, 5 or 7 members that found the group together, once, each as others dial it. They are
	// the same at all members; those that come and go for good later take each other's place without it. Empty: there are no
	// electors, and nobody owns anything.
	InitialVoters []string
	Address       string   // of this member
	Roles         []string // that this member can do, and wants owned; by name
	RecordedRoles []string // of these, such as have a record
	Seed          uint64   // drawn anew by each process: what one life was granted the next must not go on with
}

// Message goes between two members. Each field stands for itself.
type Message struct {
	Epoch        uint64    `msgpack:"e,omitempty"` // of Raft
	Raft         []byte    `msgpack:"r,omitempty"` // a message of the electors' group
	Serial       uint64    `msgpack:"s,omitempty"` // of the sender's state on disk, with Raft
	WriterID     uint32    `msgpack:"y,omitempty"` // the life that wrote that state
	Lineage      []Writer  `msgpack:"z,omitempty"` // whose states it came of; now and then
	Founding     *Founding `msgpack:"f,omitempty"`
	Table        *Table    `msgpack:"t,omitempty"`
	RenewRequest *Renewal  `msgpack:"n,omitempty"` // to the leader
	RenewReply   *Renewal  `msgpack:"d,omitempty"` // from it: what a quorum has confirmed since the Renew of that number came
	Released     []Grant   `msgpack:"b,omitempty"` // to the leader: given back, nothing is done under them any more
	Declined     []string  `msgpack:"x,omitempty"` // to the leader: jobs that the sender does not want for now
	Bids         []string  `msgpack:"w,omitempty"` // to the leader: jobs that the sender can do, so that they have an owner
	Offered      []string  `msgpack:"o,omitempty"` // from the leader: who would do these; answered with Wish or Decline
	BootID       uint64    `msgpack:"l,omitempty"` // of the sender's process, with Wish
	WriteRecord  *Record   `msgpack:"k,omitempty"` // to the leader: the owner wants this to be kept of its job
	Records      []Record  `msgpack:"a,omitempty"` // from it: what is kept
	StepDown     string    `msgpack:"v,omitempty"` // to the leader: an operator wants the job to go to somebody else; from it: give it back
}

// Renewal asks that leases go on, all those of a member at once, or says that they do.
type Renewal struct {
	Number uint64  `msgpack:"n"`
	Grants []Grant `msgpack:"g,omitempty"`
	// Records are, in the question, the versions that the owner knows, without bodies, and in the answer those that are newer: what
	// was agreed under any grant before this one is among them.
	Records []Record `msgpack:"r,omitempty"`
}

// Actions is what a Tenure asks for. None may call back into it.
type Actions interface {
	// Send sends a message to a member; what can't be sent is lost.
	Send(to swim.ID, m *Message)
	// Flood sends a message over all links but those to one member (0: over all).
	Broadcast(m *Message, except swim.ID)
	// Want asks for links to these members, beside those that there are, in place of what was asked for before.
	RequestLinks(members []swim.ID)
	// Save keeps the state: with the member's identity in one write, synced. Saved follows, and until then nothing that
	// depends on it is said. One Save at a time.
	Persist(state []byte)
	// Granted tells that this member owns a job from now on, while Holds says so.
	LeaseStarted(job string, token uint64)
	// Agreed tells what is kept of a job that this member owns: after Granted for each that has a record, also where nothing was kept
	// yet, and then whenever one is agreed.
	RecordCommitted(r Record)
	// Ended tells that it no longer does: nothing more may be done under the token.
	LeaseEnded(job string, token uint64, why string)
	// Renounce asks for another identity: what was promised under this one is not known any more. The Tenure says nothing
	// more; a new one takes its place.
	ReplaceIdentity(why string)
	// Note tells something that an operator should read in the log.
	Log(text string, args ...any)
}

// Founding is a word of the agreement on who the first electors are: one decree of Paxos among the listed addresses, which
// wants all of them, so that nobody who kept its state can be passed over.
type Founding struct {
	Ballot   uint64    `msgpack:"b"`
	Accepted uint64    `msgpack:"a,omitempty"` // the ballot at which Members was accepted
	Epoch    uint64    `msgpack:"e,omitempty"` // the group's; of who promises, the greatest that it knows of
	Voters   []swim.ID `msgpack:"m,omitempty"` // in the order of Settings.Electors
	Step     uint8     `msgpack:"s"`           // prepare, promise, accept, accepted, chosen, refused, asked
}

// ReasonNotRenewed is why a job has ended whose lease was not confirmed in time: nobody need have been granted it since.
const ReasonNotRenewed = "the lease was not renewed in time"
