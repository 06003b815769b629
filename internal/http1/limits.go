package http1

// Limits bound the memory that a message may take.
type Limits struct {
	HeadBytes         int // of the start line and header section; also of a chunk's header and of the trailer section
	BufferedBodyBytes int // of a body that the parser buffers
	// StreamedBodyBytes bounds a body that the caller takes by TakeBody as it is received. A value below BufferedBodyBytes has no effect.
	StreamedBodyBytes int
}

// maxBodyBytes returns the longest body that is accepted.
func (l *Limits) maxBodyBytes() int { return max(l.BufferedBodyBytes, l.StreamedBodyBytes) }
