// Package membership maintains the membership list of the fleet by gossip. Each process has a View: a record of every process
// that it knows, and a small partial view of peers for exchanges, whose content changes with the exchanges.
//
// In each exchange two processes send each other a random sample of records (SampleRecords, MergeRecords) and as many
// heartbeat counters as fit (SampleHeartbeats, MergeHeartbeats). A process whose heartbeat has not grown for a while counts
// as unreachable; later its record is dropped. A record is superseded by one with a higher incarnation; a process that receives
// a record of an older run of itself with a higher incarnation raises its own above that (refutation, as in SWIM).
//
// The package does no input or output and is not safe for concurrent use. Times are seconds on the host's monotonic clock.
package membership
