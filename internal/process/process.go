// Package process runs a sidecar as a process: on the host's sockets, within its limits, and controlled by the signals of the platform and
// the operators.
package process

import (
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"hazelwheel/internal/capture"
	"hazelwheel/internal/coordination"
	"hazelwheel/internal/coordination/statefile"
	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/frontend/admin"
	"hazelwheel/internal/frontend/http1"
	"hazelwheel/internal/frontend/thrift"
	"hazelwheel/internal/hotrestart"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/netio/multiplex"
	"hazelwheel/internal/netio/sockets"
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/sidecarconfig"
)

const (
	// memoryFraction is the part of the memory limit that the garbage collector is given; the rest is for what it does not count.
	memoryFraction = 0.75
	// gcPercent is the garbage collector's target percentage. Danger: a sidecar's live heap is a few MB, and at the default of 100 the one
	// core would collect thirty times a second. The memory limit takes precedence.
	gcPercent = 400
	// dumpTimeout bounds a dump that is still being written when the event loop has ended.
	dumpTimeout = 2 * time.Second
)

// Process is a sidecar with the event loop that calls it.
type Process struct {
	*sidecar.Sidecar
	loop       *sockets.EventLoop
	handler    netio.Handler      // of the event loop: the sidecar, or the sidecar and its fleet
	fleet      *coordination.Node // nil: it is not part of one
	stateFiles *statefile.Store   // of the fleet; nil: nothing is stored
	admin      *admin.Server      // nil: there is none

	queryFleet   func() // runs before there are clients; nil: nothing is queried
	passedSocket int
	restartStore *hotrestart.Store // nil: no hot restarts

	otherProcesses int // that served beside this one at the start
	log            *slog.Logger
	dumpLock       sync.Mutex    // held while a dump of the capture is written
	stopped        chan struct{} // closed when the event loop has ended
}

// New returns a process that is not started. The error is that of an invalid configuration.
func New(cfg sidecarconfig.Config, features featureconfig.Features, log *slog.Logger) (*Process, error) {
	httpConfig := cfg
	if features.Thrift.Only {
		httpConfig.Settings.Policy.Classes = nil // only the sidecar's own paths are left
	}
	fronts, listen := []sidecar.Frontend{http1.New(httpConfig, features.Rewrites)}, []string{cfg.Listen}
	if features.Thrift.On() {
		fronts, listen = append(fronts, thrift.New(cfg, features.Thrift)), append(listen, features.Thrift.Listen)
	}
	loop := sockets.New(log, listen...)
	p := &Process{loop: loop, log: log, passedSocket: cfg.Passed, stopped: make(chan struct{})}
	var coreNet netio.EventLoop = loop
	var shared *multiplex.SharedLoop
	if features.Fleet.On() {
		shared = multiplex.New(loop)
		coreNet = shared.Core()
	}
	s, err := sidecar.New(cfg, features, fronts, coreNet, log)
	if err != nil {
		return nil, err
	}
	s.OnLimitsChange = applyLimits
	p.Sidecar, p.handler = s, s
	if cfg.Ops != "" {
		p.admin = admin.New(cfg.Ops, s, loop.Now)
	}
	if shared != nil {
		return p, p.joinFleet(cfg, features.Fleet, shared)
	}
	return p, nil
}

// applyLimits passes the limits to the Go runtime.
func applyLimits(l sidecarconfig.Limits) {
	runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	debug.SetMemoryLimit(int64(memoryFraction * float64(l.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

// Run serves until the process is signalled to end and all its requests are answered. Each signal on reloads calls load, outside the event loop,
// for a new configuration; each signal on dumps writes the capture to standard error.
func (p *Process) Run(reloads, dumps <-chan os.Signal, load func() (sidecarconfig.Config, error)) error {
	defer p.closeAfterLoop()
	if p.passedSocket > 0 {
		if err := p.startFromPredecessor(); err != nil {
			return err
		}
		defer p.restartStore.Close()
	}
	if err := p.ListenHealth(); err != nil {
		if p.otherProcesses == 0 {
			return err
		}
		go p.retryListenHealth()
	}
	if p.admin != nil {
		if err := p.admin.Listen(); err != nil {
			return err
		}
		defer p.admin.Close()
	}
	if p.stateFiles != nil {
		defer p.stateFiles.Close()
		p.loadFleetState()
	}
	if p.queryFleet != nil {
		p.queryFleet()
	}
	shutdowns := make(chan os.Signal, 1)
	signal.Notify(shutdowns, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-shutdowns
		if p.restartStore != nil {
			if _, isReplaced := p.restartStore.OtherProcesses(); isReplaced {
				p.Do(p.MarkReplaced)
			}
		}
		p.Do(p.Drain)
		if p.fleet != nil {
			p.Do(p.fleet.CheckShutdown)
		}
		<-shutdowns // a second signal ends the process at once
		os.Exit(1)
	}()
	go p.reloadOnSignal(reloads, load)
	go p.dumpOnSignal(dumps)
	return p.loop.Run(p.handler)
}

// reloadOnSignal reads the configuration again at each signal. Signals during a read count as one more: the file is read again after the
// last of them.
func (p *Process) reloadOnSignal(reloads <-chan os.Signal, load func() (sidecarconfig.Config, error)) {
	for range reloads {
		cfg, err := load()
		tree, quotaErr := p.ReadQuotaTree()
		p.Do(func() {
			p.Reload(cfg, err)
			p.ApplyQuotaTree(tree, quotaErr)
		})
	}
}

// dumpOnSignal writes the capture to standard error at each signal, one dump at a time. Danger: its reader may be slow; so the event loop
// only makes a copy.
func (p *Process) dumpOnSignal(dumps <-chan os.Signal) {
	for range dumps {
		p.dumpLock.Lock()
		text := make(chan []byte, 1)
		p.Do(func() { text <- p.DumpCapture() })
		select {
		case dump := <-text:
			if err := capture.WriteDump(os.Stderr, dump); err != nil {
				p.log.Error("capture can't be written", "error", err)
			}
		case <-p.stopped: // the event loop has ended
		}
		p.dumpLock.Unlock()
	}
}

// closeAfterLoop closes the capture after the event loop has ended: a dump that is being written is written to its end, for at most
// dumpTimeout.
func (p *Process) closeAfterLoop() {
	close(p.stopped)
	p.Sidecar.Close()
	idle := make(chan struct{})
	go func() {
		p.dumpLock.Lock()
		close(idle)
	}()
	select {
	case <-idle:
	case <-time.After(dumpTimeout):
	}
}
