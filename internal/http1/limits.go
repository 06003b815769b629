package http1

// Limits bound the memory that a message may use, in bytes.
type Limits struct {
	HeadBytes         int // for the start line and header section; also for the line with a chunk's size and for the trailer section
	BufferedBodyBytes int // for a body that the parser buffers
	// StreamedBodyBytes bounds a body that the caller takes by TakeBody as it is received. A value below BufferedBodyBytes has no effect.
	StreamedBodyBytes int
}

// maxBodyBytes returns the maximum size of a body.
func (l *Limits) maxBodyBytes() int { return max(l.BufferedBodyBytes, l.StreamedBodyBytes) }
