package swim

// Hello is the first message that each end of a link sends.
type Hello struct {
	Self      Record    `msgpack:"Self"`
	Heartbeat Heartbeat `msgpack:"Beat"`
}

// Heartbeat is sent over each link every heartbeatIntervalSeconds.
type Heartbeat struct {
	Digest uint64 `msgpack:"s"`           // of the sender's view
	Wanted bool   `msgpack:"w,omitempty"` // the receiver is a neighbor of the sender, which wants to keep the link
}

// Message is what is sent over a link after the Hello. Its fields are independent of each other.
type Message struct {
	Heartbeat     *Heartbeat `msgpack:"b,omitempty"`
	Records       []Record   `msgpack:"r,omitempty"`
	BucketDigests []uint64   `msgpack:"s,omitempty"` // of the sender's view; the receiver replies with the buckets that differ
	WantedBuckets []uint64   `msgpack:"w,omitempty"` // one bit set, which holds the buckets whose records the receiver is to send
	Closing       bool       `msgpack:"y,omitempty"` // the sender closes the link, which is no sign of a failure
}

// Hello returns the first message that this member sends over a link.
func (v *View) Hello() Hello { return Hello{v.self.Record, Heartbeat{Digest: v.digest}} }
