package soak

import (
	"bytes"
	"io"
	"sync"
)

// lockedWriter serializes the writes of several processes to one destination.
type lockedWriter struct {
	mu          sync.Mutex
	destination io.Writer
}

// Write implements io.Writer.
func (w *lockedWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.destination.Write(bytes.Clone(data))
}
