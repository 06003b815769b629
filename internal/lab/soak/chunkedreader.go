package soak

import (
	"io"
	"time"
)

// pieces reads a text piece by piece, with a pause before each but the first.
type chunkedReader struct {
	remaining  string
	hasStarted bool
}

const chunkBytes = 5

func (p *chunkedReader) Read(to []byte) (int, error) {
	if p.remaining == "" {
		return 0, io.EOF
	}
	if p.hasStarted {
		time.Sleep(chunkPause)
	}
	p.hasStarted = true
	n := copy(to, p.remaining[:min(chunkBytes, len(p.remaining))])
	p.remaining = p.remaining[n:]
	return n, nil
}
