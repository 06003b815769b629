package lease

import "hazelwheel/internal/decide/swim"

// Grant is a role in one member's hands, or, without an owner, the last token of one that nobody has.
type Grant struct {
	Role   string  `msgpack:"j"`
	Holder swim.ID `msgpack:"o,omitempty"` // 0: nobody
	Token  uint64  `msgpack:"t"`           // of this grant; the role's next one is greater
	BootID uint64  `msgpack:"l,omitempty"` // of the owner's process: another one with its identity gives the role back
}

// Table is what is known of all grants. Of two the one of the greater Epoch, then Index, then Term, is newer; it goes to all
// members, each over all its links, once. Without Electors it only asks whether the other has a newer one.
type Table struct {
	Epoch  uint64    `msgpack:"e"` // of the electors' founding
	Index  uint64    `msgpack:"i"` // of the electors' log up to which it holds
	Term   uint64    `msgpack:"t"`
	Leader swim.ID   `msgpack:"l"`
	Voters []swim.ID `msgpack:"m,omitempty"`
	Grants []Grant   `msgpack:"g,omitempty"` // by role
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
	Declined     []string  `msgpack:"x,omitempty"` // to the leader: roles that the sender does not want for now
	Bids         []string  `msgpack:"w,omitempty"` // to the leader: roles that the sender can do, so that they have an owner
	Offered      []string  `msgpack:"o,omitempty"` // from the leader: who would do these; answered with Wish or Decline
	BootID       uint64    `msgpack:"l,omitempty"` // of the sender's process, with Wish
	WriteRecord  *Record   `msgpack:"k,omitempty"` // to the leader: the owner wants this to be kept of its role
	Records      []Record  `msgpack:"a,omitempty"` // from it: what is kept
	StepDown     string    `msgpack:"v,omitempty"` // to the leader: an operator wants the role to go to somebody else; from it: give it back
}

// Renewal asks that leases go on, all those of a member at once, or says that they do.
type Renewal struct {
	Number uint64  `msgpack:"n"`
	Grants []Grant `msgpack:"g,omitempty"`
	// Records are, in the question, the versions that the owner knows, without bodies, and in the answer those that are newer: what
	// was agreed under any grant before this one is among them.
	Records []Record `msgpack:"r,omitempty"`
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
