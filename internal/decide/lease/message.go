package lease

import "hazelwheel/internal/decide/swim"

// Grant assigns a role to a member. For a vacant role it has no holder and keeps the last token.
type Grant struct {
	Role   string  `msgpack:"j"`
	Holder swim.ID `msgpack:"o,omitempty"` // 0: the role is vacant
	Token  uint64  `msgpack:"t"`           // fencing token; the role's next grant has a higher one
	BootID uint64  `msgpack:"l,omitempty"` // of the holder's process; a later process with the same identity releases the grant
}

// Table is a copy of all grants after an entry of the voters' log was applied. Tables are ordered by Epoch, Index and Term. Each
// member keeps the newest one and forwards a newer one once over all its links. A Table without Voters carries no grants: it asks
// the receiver for a newer one.
type Table struct {
	Epoch  uint64    `msgpack:"e"` // of the group's founding
	Index  uint64    `msgpack:"i"` // of the last log entry that is applied
	Term   uint64    `msgpack:"t"`
	Leader swim.ID   `msgpack:"l"`
	Voters []swim.ID `msgpack:"m,omitempty"`
	Grants []Grant   `msgpack:"g,omitempty"` // by role
}

// Message is what two members exchange. Any combination of the fields may be set; each is handled independently. The msgpack keys
// are part of the wire form, which earlier versions read.
type Message struct {
	// Raft traffic between members of the group.
	Epoch    uint64   `msgpack:"e,omitempty"` // of the group that Raft belongs to
	Raft     []byte   `msgpack:"r,omitempty"` // a raftpb.Message
	Serial   uint64   `msgpack:"s,omitempty"` // of the sender's persisted state; without Raft, of the receiver's state as the sender knows it
	WriterID uint32   `msgpack:"y,omitempty"` // of the process that wrote that state
	Lineage  []Writer `msgpack:"z,omitempty"` // the writers up to that state; not in every message

	Founding *Founding `msgpack:"f,omitempty"`
	Table    *Table    `msgpack:"t,omitempty"`

	// Between lease holders and the leader.
	RenewRequest *Renewal `msgpack:"n,omitempty"` // to the leader
	RenewReply   *Renewal `msgpack:"d,omitempty"` // from the leader, after a quorum has confirmed that it leads
	Released     []Grant  `msgpack:"b,omitempty"` // to the leader: the sender no longer acts under these grants
	Declined     []string `msgpack:"x,omitempty"` // to the leader: roles that the sender does not accept at present
	Bids         []string `msgpack:"w,omitempty"` // to the leader: roles that the sender accepts
	Offered      []string `msgpack:"o,omitempty"` // from the leader: roles that need a holder; answered by Bids and Declined
	BootID       uint64   `msgpack:"l,omitempty"` // of the sender's process, with Bids and RenewRequest
	WriteRecord  *Record  `msgpack:"k,omitempty"` // to the leader: the holder's next version of its role's record
	Records      []Record `msgpack:"a,omitempty"` // from the leader: committed records
	StepDown     string   `msgpack:"v,omitempty"` // to the leader: an operator's request to move this role; from the leader: the holder must release it
}

// Renewal requests the renewal of all leases of a member, or confirms it.
type Renewal struct {
	Number uint64  `msgpack:"n"` // matches replies to requests
	Grants []Grant `msgpack:"g,omitempty"`
	// Records holds, in a request, the versions that the holder has, without bodies; in a reply, the newer records. A reply includes
	// every record that was committed under an earlier grant of the role.
	Records []Record `msgpack:"r,omitempty"`
}

// Founding is a message of the single-decree Paxos by which the members at the configured addresses agree on the first voters. All
// of them must promise and accept, not only a majority, so that no member that kept the state of an earlier group is left out.
type Founding struct {
	Ballot   uint64       `msgpack:"b"`
	Accepted uint64       `msgpack:"a,omitempty"` // the ballot at which Voters was accepted
	Epoch    uint64       `msgpack:"e,omitempty"` // of the group; in a promise, the highest epoch that the sender knows
	Voters   []swim.ID    `msgpack:"m,omitempty"` // in the order of Settings.InitialVoters
	Step     FoundingStep `msgpack:"s"`
}
