// Package membership keeps the membership list of the fleet by gossip. Each process holds a View: a record of every process
// that it knows, and a small partial view of peers for exchanges, which is shuffled as exchanges go on.
//
// In each exchange two processes send one another a random sample of records (SampleRecords, MergeRecords) and as many
// heartbeat counters as fit (SampleHeartbeats, MergeHeartbeats). A process whose heartbeat has not grown for a while counts
// as unreachable; later its record is dropped. A record is superseded by one with a higher incarnation; a process that sees
// an older run of itself with a higher incarnation raises its own above that (refutation, as in SWIM).
//
// The package is a pure state machine and not safe for concurrent use. Time comes as seconds on the host's steady clock.
package membership
