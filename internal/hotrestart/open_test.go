package hotrestart

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A process starts while its neighbours look, without a pause, who lives.
func TestOpenWhileNeighboursLook(t *testing.T) {
	const opens = 300
	dir := t.TempDir()
	first, err := Open(dir, func(error) {})
	require.NoError(t, err)
	defer first.Close()
	stop := make(chan struct{})
	var looking sync.WaitGroup
	for range 2 {
		looking.Go(func() {
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
	looking.Wait()
}
