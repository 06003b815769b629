// Package swim implements the membership of sidecars: which of them are alive, suspect, dead, or have left. It follows SWIM (Das,
// Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with Lifeguard
// (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018), over persistent links in
// place of datagrams. A View is a state machine without I/O and without goroutines: its caller passes the time, links and messages,
// and carries out the Actions that it asks for. Equal calls have equal results.
//
// Failure detection: each member keeps links to its neighbors on a few rings, on which the members stand in pseudo-random orders, so
// that the graph of all links is an expander (as in Rapid). Neighbors send heartbeats; a member that hears nothing from a neighbor for
// silenceTimeoutSeconds makes it Suspect and adds itself to the record's Accusers.
//
// Suspicion: a suspect member that learns of it refutes with a greater incarnation. One that does not is Dead after a timeout that
// falls with the number of independent accusers, and rises with the local health score of the accuser.
//
// Dissemination: a changed record is sent over all links at once. Lost updates are found by comparing digests of views, which
// heartbeats carry, and repaired bucket by bucket (anti-entropy). docs/design/peers.md compares the alternatives.
package swim
