package http1

// Limits bound what a message may take.
type Limits struct {
	HeadBytes         int // bytes of the first line and the header fields; also of a chunked body's trailers
	BufferedBodyBytes int // bytes of the body that are held
	// Total is how long a body may be that the reader takes off by TakeBody as it comes; 0: no longer than Body.
	StreamedBodyBytes int
}

// most is how long a body may be.
func (l *Limits) maxBodyBytes() int { return max(l.BufferedBodyBytes, l.StreamedBodyBytes) }
