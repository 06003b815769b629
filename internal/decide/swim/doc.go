// Package swim implements the membership of sidecars: which of them are alive, suspect, dead, or have left. It follows SWIM (Das,
// Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with Lifeguard
// (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018), over persistent links in
// place of datagrams. A View is a state machine without I/O and without goroutines: its caller passes the time, links and messages,
// and executes the Actions that it requests. It is deterministic: the same sequence of calls has the same results.
//
// Failure detection: each member keeps links to its neighbors on a few rings. Each ring orders the members pseudo-randomly, so that the
// graph of all links is an expander (as in Rapid). Neighbors send heartbeats; a member that receives nothing from a neighbor for
// silenceTimeoutSeconds makes it Suspect and adds itself to the record's Accusers.
//
// Suspicion: a suspect member that receives the record refutes it with a greater incarnation. If it does not, it is Dead after a timeout
// that falls with the number of independent accusers. The silence timeout rises with the local health score of the accuser.
//
// Dissemination: a changed record is sent over all links at once. Heartbeats contain a digest of the sender's view. If digests differ,
// updates were lost, and the views are repaired bucket by bucket (anti-entropy). docs/design/peers.md compares the alternatives.
package swim
