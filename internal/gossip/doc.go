// Package gossip hosts a fleet process's part in the gossip of the fleet. A Node exchanges membership records, the
// configuration, the platform's list of endpoints, lease grants and server loads with other processes until all know the
// newest of each.
//
// There are two kinds of messages. An exchange, made regularly with a partner, carries records, heartbeats and loads and names
// the versions that the sender holds. An update, sent at once to a few processes when something changes, carries the versions
// alone; each receiver that lacks something fetches it and sends an update itself. Configuration and endpoints are large:
// they are attached only to messages whose receiver has asked for them, and a process asks one peer at a time.
//
// What a node has learned never goes back to an older version. The decisions are in internal/decide/membership.
package gossip
