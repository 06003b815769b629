package lease

import "hazelwheel/internal/decide/swim"

// Actions carries out what a Node asks for. Its methods are called from within calls of the Node, on the caller's goroutine, and
// must not call back into the Node.
type Actions interface {
	// Send sends a message to a member. A message that can't be sent is dropped; the Node retries by itself.
	Send(to swim.ID, m *Message)
	// Broadcast sends a message over all links, except those to the member except; 0 excludes none.
	Broadcast(m *Message, except swim.ID)
	// RequestLinks replaces the set of members that the Node needs links to. Links that exist for other reasons are not affected.
	RequestLinks(members []swim.ID)
	// Persist writes the state and the member's identity to disk in one synced write and then calls Node.HandlePersisted. It is not
	// called again before that. Danger: HandlePersisted without an error releases messages that depend on the state, such as votes, so
	// it must not be called before the write is synced.
	Persist(state []byte)
	// LeaseStarted reports that this member may act for a role from now on, whenever Node.Holds says so.
	LeaseStarted(role string, token uint64)
	// RecordCommitted reports the committed record of a role that this member holds: once after LeaseStarted for each role that has
	// one, with Version 0 if none was written yet, and then for each new version.
	RecordCommitted(r Record)
	// LeaseEnded reports that this member must not act under the token any more.
	LeaseEnded(role string, token uint64, reason EndReason)
	// ReplaceIdentity asks for a new identity and a new Node for it, since votes that this identity gave may be missing from its state.
	// The Node does nothing more after that.
	ReplaceIdentity(reason string)
	// Log writes a line to the operators' log, with key-value pairs as log/slog takes them.
	Log(text string, args ...any)
}
