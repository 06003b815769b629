package sidecar

// Body is a request's body, which may still be arriving.
type Body struct {
	Buffered     []byte // from the byte DroppedBytes on
	DroppedBytes int    // sent and no longer buffered
	SentBytes    int    // given to the present attempt
	Length       int    // in all; -1: not known beforehand
	IsComplete   bool   // its end has arrived
}

// Next returns the next bytes for the present attempt, at most so many, and counts them as sent.
func (b *Body) Next(maxBytes int) []byte {
	next := b.Buffered[b.SentBytes-b.DroppedBytes:]
	next = next[:min(len(next), maxBytes)]
	b.SentBytes += len(next)
	return next
}

// UnsentBytes returns how many bytes that have arrived are still to be sent.
func (b *Body) UnsentBytes() int { return b.DroppedBytes + len(b.Buffered) - b.SentBytes }

// HasDropped reports whether the start of the body is no longer buffered: it can't be sent again.
func (b *Body) HasDropped() bool { return b.DroppedBytes > 0 }

// dropSent drops what has been sent from the buffer.
func (b *Body) dropSent() {
	n := copy(b.Buffered, b.Buffered[b.SentBytes-b.DroppedBytes:])
	b.Buffered, b.DroppedBytes = b.Buffered[:n], b.SentBytes
}
