// Package register implements a compare-and-swap register that is replicated on voters by single-decree Paxos, without a log
// and without a leader. It contains only the state machines; the host sends messages, persists states and keeps time.
//
// Roles. Each voter runs an Acceptor. A process that changes the register runs a Proposal for one ballot: it prepares the
// ballot at a majority, takes the value of the highest accepted ballot, derives the next value from it and has that accepted
// by a majority. A QuorumRead returns the value without a ballot if a majority holds the same one.
//
// Persist before send. An Acceptor returns the state that a request leads to, together with the reply. The host syncs that
// state to disk, calls MarkPersisted and only then sends the reply; if the write fails it sends no reply.
//
// Voters. The set of voters is a part of the value. It changes by joint consensus: while Value.OutgoingVoters is not empty,
// each phase needs a majority of the outgoing and of the current voters.
//
// No type of this package is safe for concurrent use; the host serialises the calls on each state machine.
package register
