package process

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"hazelwheel/internal/hotrestart"
	"hazelwheel/internal/sidecarconfig"
)

const (
	// stateFolder is where a process leaves what its successor needs, in the folder for temporary files.
	stateDirName = "hazelwheel"
	// lookEvery is the time between two looks at what operators have said to a neighbour; at each tenth, at who lives.
	pollInterval = 50 * time.Millisecond
)

// succeed takes the passed socket and what an earlier process has left. What can't be taken means a plain start.
func (p *Process) startFromPredecessor() (err error) {
	if err := p.loop.Inherit(p.passedSocket); err != nil {
		return fmt.Errorf("%s: %w", sidecarconfig.EnvPassed, err)
	}
	p.restartStore, err = hotrestart.Open(filepath.Join(os.TempDir(), stateDirName), func(err error) {
		p.log.Error("nothing is kept for a successor", "error", err)
	})
	if err != nil {
		return err
	}
	switch state, err := p.restartStore.Load(); {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		p.log.Warn("a plain start", "error", err)
	default:
		if err := p.RestoreState(state); err != nil {
			p.log.Warn("a plain start", "error", err)
		} else {
			p.log.Info("going on from another process's state", "age_s", p.loop.Now()-state.UnixSeconds)
		}
	}
	p.SetStateStore(p.restartStore)
	others, _ := p.restartStore.OtherProcesses()
	p.otherProcesses = others
	p.Do(func() {
		p.ShareLimits(others)
		if err := p.restartStore.MarkServing(); err != nil {
			p.log.Error("the process that is replaced can't be told", "error", err)
		}
	})
	go p.watchOtherProcesses(others)
	return nil
}

// listenSideLater opens the side port once the process that is replaced has left it.
func (p *Process) retryListenHealth() {
	for p.ListenHealth() != nil {
		select {
		case <-p.stopped:
			return
		case <-time.After(pollInterval):
		}
	}
}

// lookAround tells the loop of its neighbours, and of what operators have said to them.
func (p *Process) watchOtherProcesses(others int) {
	stamp := p.restartStore.OperatorStamp()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-p.stopped:
			return
		case <-ticker.C:
		}
		if now := p.restartStore.OperatorStamp(); now != stamp {
			stamp = now
			p.Do(p.ReconcileOperatorState)
		}
		if i%10 == 0 {
			if n, _ := p.restartStore.OtherProcesses(); n != others {
				others = n
				p.Do(func() { p.ShareLimits(n) })
			}
		}
	}
}
