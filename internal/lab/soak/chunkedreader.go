package soak

import (
	"io"
	"time"
)

// chunkedReader returns a text in chunks of chunkBytes, with a pause before each but the first. A request with such a body has no
// Content-Length.
type chunkedReader struct {
	remaining  string
	hasStarted bool
}

const chunkBytes = 5

// Read implements io.Reader.
func (r *chunkedReader) Read(buffer []byte) (int, error) {
	if r.remaining == "" {
		return 0, io.EOF
	}
	if r.hasStarted {
		time.Sleep(chunkPause)
	}
	r.hasStarted = true
	n := copy(buffer, r.remaining[:min(chunkBytes, len(r.remaining))])
	r.remaining = r.remaining[n:]
	return n, nil
}
