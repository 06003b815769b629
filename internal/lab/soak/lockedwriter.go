package soak

import (
	"bytes"
	"sync"
)

// lockedWriter lets processes write to one place.
type lockedWriter struct {
	mu  sync.Mutex
	out interface{ Write([]byte) (int, error) }
}

func (w *lockedWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(bytes.Clone(data))
}
