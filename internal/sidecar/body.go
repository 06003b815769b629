package sidecar

// Body is a request's body, which may still be on its way in.
type Body struct {
	Buffered     []byte // what is held of it, from the byte From on
	DroppedBytes int    // bytes that have been sent and dropped
	SentBytes    int    // bytes that the present attempt has been given
	Length       int    // in all; -1: it is not told beforehand
	IsComplete   bool   // its end has come
}

// Next returns the next bytes for the present attempt, at most so many, and counts them as sent.
func (b *Body) Next(most int) []byte {
	part := b.Buffered[b.SentBytes-b.DroppedBytes:]
	part = part[:min(len(part), most)]
	b.SentBytes += len(part)
	return part
}

// UnsentBytes returns how many bytes that have come are still to be sent.
func (b *Body) UnsentBytes() int { return b.DroppedBytes + len(b.Buffered) - b.SentBytes }

// HasDropped tells whether the begin of the body is no longer held: it can't be sent again.
func (b *Body) HasDropped() bool { return b.DroppedBytes > 0 }

// drop lets go of what has been sent.
func (b *Body) dropSent() {
	n := copy(b.Buffered, b.Buffered[b.SentBytes-b.DroppedBytes:])
	b.Buffered, b.DroppedBytes = b.Buffered[:n], b.SentBytes
}
