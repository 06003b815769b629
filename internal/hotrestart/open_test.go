package hotrestart

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Open succeeds while other goroutines call OtherProcesses without a pause, which locks the files of processes briefly.
func TestOpenWhileOthersProbe(t *testing.T) {
	const opens = 300
	dir := t.TempDir()
	first, err := Open(dir, func(error) {})
	require.NoError(t, err)
	defer first.Close()
	stop := make(chan struct{})
	var probing sync.WaitGroup
	for range 2 {
		probing.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					first.OtherProcesses()
				}
			}
		})
	}
	for range opens {
		s, err := Open(dir, func(error) {})
		if assert.NoError(t, err) {
			s.Close()
		}
	}
	close(stop)
	probing.Wait()
}
