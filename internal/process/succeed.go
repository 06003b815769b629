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
	stateFolder = "hazelwheel"
	// lookEvery is the time between two looks at what operators have said to a neighbour; at each tenth, at who lives.
	lookEvery = 50 * time.Millisecond
)

// succeed takes the passed socket and what an earlier process has left. What can't be taken means a plain start.
func (p *Process) succeed() (err error) {
	if err := p.loop.Inherit(p.passed); err != nil {
		return fmt.Errorf("%s: %w", sidecarconfig.EnvPassed, err)
	}
	p.store, err = hotrestart.Open(filepath.Join(os.TempDir(), stateFolder), func(err error) {
		p.log.Error("nothing is kept for a successor", "error", err)
	})
	if err != nil {
		return err
	}
	switch st, err := p.store.Load(); {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		p.log.Warn("a plain start", "error", err)
	default:
		if err := p.RestoreState(st); err != nil {
			p.log.Warn("a plain start", "error", err)
		} else {
			p.log.Info("going on from another process's state", "age_s", p.loop.Now()-st.UnixSeconds)
		}
	}
	p.SetStateStore(p.store)
	n, _ := p.store.OtherProcesses()
	p.neighbours = n
	p.Do(func() {
		p.ShareLimits(n)
		if err := p.store.MarkServing(); err != nil {
			p.log.Error("the process that is replaced can't be told", "error", err)
		}
	})
	go p.lookAround(n)
	return nil
}

// listenSideLater opens the side port once the process that is replaced has left it.
func (p *Process) listenSideLater() {
	for p.ListenHealth() != nil {
		select {
		case <-p.over:
			return
		case <-time.After(lookEvery):
		}
	}
}

// lookAround tells the loop of its neighbours, and of what operators have said to them.
func (p *Process) lookAround(neighbours int) {
	said := p.store.OperatorStamp()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for i := 0; ; i++ {
		select {
		case <-p.over:
			return
		case <-look.C:
		}
		if now := p.store.OperatorStamp(); now != said {
			said = now
			p.Do(p.ReconcileOperatorState)
		}
		if i%10 == 0 {
			if n, _ := p.store.OtherProcesses(); n != neighbours {
				neighbours = n
				p.Do(func() { p.ShareLimits(n) })
			}
		}
	}
}
