// Package gossip hosts a process's part in the fleet: it exchanges records, the configuration and the list of servers with
// other processes, so that each reaches all. What decides is in internal/decide/membership.
package gossip
