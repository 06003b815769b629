// Package lease decides who does what one sidecar does on behalf of all: a named role has at most one owner by grant, each
// grant has a token that only grows, and who owns a role may act while its lease, by its own clock, has not ended. Grants are
// agreed among a few electors, by Raft's published state machine. It is a pure state machine: it is told the time, of members
// and of messages, and asks for messages and for its state to be kept. The same calls give the same calls back.
//
// What makes two owners harmless is not the lease but the token: whoever takes an effect keeps the greatest token that it has
// seen for the role (Greatest) and turns lower ones away. docs/design/owner.md weighs the ways.
package lease
