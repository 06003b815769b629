package sidecar

// Body is a request's body, which may still be arriving.
type Body struct {
	Buffered     []byte // starting at offset DroppedBytes
	DroppedBytes int    // bytes at the start that were sent and are no longer buffered
	SentBytes    int    // passed to the current attempt
	Length       int    // total; -1 if it is not known in advance
	IsComplete   bool   // all of it has arrived
}

// Next returns the next bytes for the current attempt, at most maxBytes, and counts them as sent.
func (b *Body) Next(maxBytes int) []byte {
	next := b.Buffered[b.SentBytes-b.DroppedBytes:]
	next = next[:min(len(next), maxBytes)]
	b.SentBytes += len(next)
	return next
}

// UnsentBytes returns how many of the bytes that have arrived are not sent yet.
func (b *Body) UnsentBytes() int { return b.DroppedBytes + len(b.Buffered) - b.SentBytes }

// HasDropped reports whether the start of the body is no longer buffered, so that it can't be sent again.
func (b *Body) HasDropped() bool { return b.DroppedBytes > 0 }

// dropSent removes the bytes that were sent from the buffer.
func (b *Body) dropSent() {
	n := copy(b.Buffered, b.Buffered[b.SentBytes-b.DroppedBytes:])
	b.Buffered, b.DroppedBytes = b.Buffered[:n], b.SentBytes
}
