package swim

// Hello is how each end of a link begins.
type Hello struct {
	Self      Record    `msgpack:"Self"`
	Heartbeat Heartbeat `msgpack:"Beat"`
}

// Hello returns what this member says first on a link.
func (v *View) Hello() Hello { return Hello{v.self.Record, Heartbeat{Digest: v.digest}} }

// Beat is what neighbours say again and again.
type Heartbeat struct {
	Digest uint64 `msgpack:"s"`           // of the whole view
	Wanted bool   `msgpack:"w,omitempty"` // the sender wants the link: the other is its neighbour on a ring
}

// Message is what goes over a link. Each field stands for itself.
type Message struct {
	Heartbeat     *Heartbeat `msgpack:"b,omitempty"`
	Records       []Record   `msgpack:"r,omitempty"`
	BucketDigests []uint64   `msgpack:"s,omitempty"` // of the view, by bucket; the other answers with what differs
	WantedBuckets []uint64   `msgpack:"w,omitempty"` // the buckets, as bits, whose records the sender lacks or holds otherwise
	Closing       bool       `msgpack:"y,omitempty"` // the link ends, and that says nothing of its sender
}
