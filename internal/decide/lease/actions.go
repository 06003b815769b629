package lease

import "hazelwheel/internal/decide/swim"

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
	// Granted tells that this member owns a role from now on, while Holds says so.
	LeaseStarted(role string, token uint64)
	// Agreed tells what is kept of a role that this member owns: after Granted for each that has a record, also where nothing was kept
	// yet, and then whenever one is agreed.
	RecordCommitted(r Record)
	// Ended tells that it no longer does: nothing more may be done under the token.
	LeaseEnded(role string, token uint64, why string)
	// Renounce asks for another identity: what was promised under this one is not known any more. The Tenure says nothing
	// more; a new one takes its place.
	ReplaceIdentity(why string)
	// Note tells something that an operator should read in the log.
	Log(text string, args ...any)
}
