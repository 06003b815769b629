// Package coordination makes a sidecar a member of its fleet. A Node runs the protocols of packages swim (who is a member), lease (who
// holds which singleton role) and maintenance over the links of package peers, persists the sidecar's identity and votes, and tells
// the sidecar its rank among the live members.
//
// # Goroutines
//
// A Node is a netio.Handler on the sidecar's event loop, beside the sidecar itself. Unless a comment says otherwise, all its methods
// must be called on that loop. They never block: writes to disk are handed to a StateSaver, which reports their results on the loop.
// The protocols' actions must not call back into the protocol that asked for them; work that would do so is postponed to the end of
// the call (runAfterCall). A panic is recovered at the boundary of each call, logged and counted, so that a fault in this package does
// not end the sidecar.
//
// Serving requests never waits for a Node. Without peers the sidecar uses the rank and count of its settings.
//
// # Persist before send
//
// The identity's generation is on disk before the first message of an incarnation is sent, and the state of package lease before any
// message that depends on it. A process that can't write its identity uses a new one that ends with the process. A state that was
// copied from elsewhere is not used, since votes given after the copy was made are missing from it.
//
// # Singleton roles
//
// A role is work that one sidecar does on behalf of all: "list" relays the endpoint list of discovery, "report" collects request
// statistics, "drill" starts faults on the whole fleet, "works" coordinates maintenance of servers. roleManager starts and stops the
// roles whose lease this sidecar holds. Their messages (frames.RoleMessage) carry the fencing token of the lease: each receiver keeps
// the highest token that it has seen of each role and rejects lower ones before it reads the body, so that a holder that was paused
// while its lease ended can do no harm. Messages for all members are flooded over all links, and a replayWindow drops duplicates.
//
// Responses to requests for all members (reports, surveys) are merged along a tree: the parent of a member is the link by which the
// request first arrived. The member sends its parent the sum of its own response and of those that it received from its children.
package coordination
