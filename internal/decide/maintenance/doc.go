// Package maintenance decides in which order the servers of a maintenance plan are drained, when a drained server may be worked on
// and by whom, and when it serves again. One Coordinator, at the sidecar that holds the lease of this singleton role, decides for the
// whole fleet. It is a state machine without I/O and without goroutines: its caller passes the time, the committed State, snapshots
// of the fleet and commands, and receives the next State to commit.
//
// Contract of the loop: nothing takes effect before it is committed. The caller passes what Step returns to the voters, in place of
// the version that Version names, and calls ApplyCommitted with whatever was committed. Sidecars cordon a server because the State
// that they were sent says so, and a Reply that depends on a State is returned by Replies only after that State is committed.
//
// A plan bounds its disruption: servers out of service in all and per site, the fraction of the capacity that stays in service, and
// the fraction of requests that may be rejected beyond the fleet's own baseline (see rejectionBaseline). docs/design/works.md compares
// the alternatives.
//
// Danger: the lease holder may stall, or be replaced without noticing, at any instant. Each step is therefore a new State in place of
// one version, and a maintenance agent receives that version as its fencing token, which only grows.
package maintenance
