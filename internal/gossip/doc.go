// Package gossip implements gossip between the processes of a fleet. A Node exchanges membership records, the configuration,
// the platform's list of endpoints, lease grants and server loads with other processes until all know the newest of each.
//
// There are two kinds of messages. An exchange, made regularly with a partner, carries records, heartbeats and loads, and names
// the versions that the sender holds. An update, sent at once to a few processes when something changes, carries only the
// versions; each receiver that lacks something fetches it and sends an update itself. Configuration and endpoints are large:
// they are attached only to messages whose receiver has requested them, and a process requests them from one peer at a time.
//
// A node never replaces what it knows by an older version. Package membership decides which members are alive and which
// partners a node contacts.
package gossip
