// Package endpointset keeps the list of servers (endpoints) of service discovery and turns it into what package policy reads. It
// parses the objects of the watch stream, applies snapshots and deltas, overlays cordons and maintenance on the listed states,
// and writes the list for other sidecars and for a hot restart. It does no I/O and is not safe for concurrent use; times are
// seconds of Unix time.
package endpointset
