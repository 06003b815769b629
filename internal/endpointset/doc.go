// Package endpointset maintains the list of servers (endpoints) from service discovery and converts it into the entries that package
// policy uses. It parses the objects of the watch stream, applies snapshots and deltas, overlays cordons and maintenance on the
// listed states, and encodes the list for other sidecars and for a hot restart. It does no I/O and is not safe for concurrent use;
// times are seconds of Unix time.
package endpointset
