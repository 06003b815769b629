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
	// stateDirName is the directory for hot restarts, in the one for temporary files.
	stateDirName = "hazelwheel"
	// pollInterval is the time between two checks for operators' commands at other processes; every tenth also checks which processes live.
	pollInterval = 50 * time.Millisecond
)

// startFromPredecessor takes over the passed listener and the state that an earlier process has saved. It returns an error if the listener
// can't be used; without a usable state the process starts without one.
func (p *Process) startFromPredecessor() (err error) {
	if err := p.loop.Inherit(p.passedSocket); err != nil {
		return fmt.Errorf("%s: %w", sidecarconfig.EnvPassed, err)
	}
	p.restartStore, err = hotrestart.Open(filepath.Join(os.TempDir(), stateDirName), func(err error) {
		p.log.Error("hot restart state can't be saved", "error", err)
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
			p.log.Error("replaced process can't be notified", "error", err)
		}
	})
	go p.watchOtherProcesses(others)
	return nil
}

// retryListenHealth opens the health port once the process that is replaced has closed it.
func (p *Process) retryListenHealth() {
	for p.ListenHealth() != nil {
		select {
		case <-p.stopped:
			return
		case <-time.After(pollInterval):
		}
	}
}

// watchOtherProcesses reports to the event loop how many other processes live, and that operators have given one of them commands.
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
