// Package maintenance decides in which order the servers of a maintenance plan are drained, when a drained server may be worked on
// and by whom, and when it serves again. One Coordinator, at the sidecar that holds the lease of this singleton role, decides for the
// whole fleet. It is a state machine without I/O and without goroutines: its caller passes the time, the committed State, snapshots
// of the fleet and commands, and receives the next State to commit.
//
// Nothing takes effect before it is committed. The caller proposes the State that Step returns to the voters, as the successor of the
// version that Version returns, and calls ApplyCommitted with whatever State was committed. Sidecars cordon the servers that the
// committed State names, and a Reply that depends on a State is returned by Replies only after that State is committed.
//
// A plan has a disruption budget: how many servers may be out of service, in all and per site, which fraction of the capacity stays in
// service, and which fraction of requests may be rejected beyond the fleet's own baseline (see rejectionBaseline).
// docs/design/works.md compares the alternatives.
//
// The lease holder may stall, or be replaced without noticing, at any instant. Each step is therefore a new State that replaces one
// particular version, and a maintenance agent receives a fencing token that contains the new version: tokens only grow.
package maintenance
