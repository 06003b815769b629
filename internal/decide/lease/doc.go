// Package lease grants the singleton roles of the sidecars: work that one sidecar does on behalf of all. Each role has at most one
// grant at a time, each grant carries a fencing token that is higher than all earlier ones of the role, and the holder may act for
// the role while its lease has not expired by its own clock. A Raft group of a few voters among the sidecars (go.etcd.io/raft)
// agrees on the grants.
//
// # State machine
//
// A Node is one member's part in the protocol: voter, leader and lease holder in one. It does no I/O, starts no goroutine and reads no
// clock. The caller passes the time, in seconds of the member's own monotonic clock, with each call, and carries out what the Node asks
// for by Actions. Calls to one Node must not overlap. The same calls with the same Settings.Seed lead to the same actions.
//
// # Persist before send
//
// Votes, accepted founding proposals and log entries are written to disk before any message that depends on them is sent: Node asks
// for a write by Actions.Persist and holds back such messages until HandlePersisted. While writes fail the member does not vote.
//
// # Safety
//
// A lease does not exclude two holders by itself, since a process may be paused between checking its lease and acting. The fencing
// token does: whoever applies the effects of a role keeps the highest token that it has seen, in a Fence, and rejects lower ones.
//
// # Related packages
//
// Package election decides for one candidate of the router fleet whether it acts for a role whose grants are stored in the Paxos
// register (package register); it has no group, no log and no messages of its own. This package holds the whole protocol for the
// sidecars, which have no control processes: founding of the voters, their replacement, grants, renewals and records. Package swim
// reports which members are alive. docs/design/owner.md compares the alternatives.
package lease
