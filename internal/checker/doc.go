// Package checker checks the invariants of a deployment from what crossed the wire, and never from what a sidecar
// reports of itself.
//
// The actors of an environment (clients, servers, discovery, the network, the processes) report events to a [Checker] in
// the order of their time. It keeps the violations of its [Rules], the service that the clients received, and what that
// service cost. It is a state machine without clock, I/O or goroutine: the same events give the same violations.
//
// A client's operation consists of one or more requests: the first one and the client's retries, each with an id of its
// own. A sidecar forwards a request to servers in one or more attempts.
package checker
