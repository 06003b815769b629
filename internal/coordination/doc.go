// Package coordination makes a sidecar a member of its fleet. A Node drives the protocols of packages swim (who is a member), lease
// (who holds which singleton role) and maintenance over the links of package peers, persists the sidecar's identity and votes, and
// tells the sidecar its rank among the live members.
//
// # Goroutines
//
// A Node is a netio.Handler on the sidecar's event loop, beside the sidecar itself. Unless a comment says otherwise all its methods are
// for that loop. They never block: writes to disk are handed to a StateSaver, which answers on the loop. The protocols' actions must
// not call back into the protocol that asked for them; what would do so is postponed to the end of the call (runAfterCall). A panic
// is recovered at the boundary of each call, logged and counted, so that a fault in this package does not end the sidecar.
//
// Serving requests never waits for a Node. Without peers the sidecar goes by its settings.
//
// # Persist before send
//
// The identity's generation is on disk before the first message of an incarnation is sent, and the state of package lease before any
// message that depends on it. A process that can't write its identity takes one that ends with it; a state that was copied from
// elsewhere is not continued, since votes given after the copy are not in it.
//
// # Singleton roles
//
// A role is work that one sidecar does on behalf of all: "list" relays the list of discovery, "report" collects request statistics,
// "drill" starts faults on the whole fleet, "works" orders maintenance of servers. roleManager starts and stops the roles whose lease
// this sidecar holds. Their messages (frames.RoleMessage) carry the fencing token of the lease: each receiver keeps the greatest
// token that it has seen of each role and rejects lower ones before it reads the body, so that a holder that stood still while its
// lease ended can do no harm. Messages for all are flooded over all links, and a replayWindow drops duplicates.
//
// Requests to all members (reports, surveys) form a tree: each member answers over the link by which the request came first, with
// the sum of its own answer and of those that came from behind it.
package coordination
