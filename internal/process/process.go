// Package process runs a sidecar as a process of its own: on the machine's sockets, within the limits that it is told,
// and by the signals that the platform and the operators send it.
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
	// memoryShare is the part of the memory limit that the garbage collector aims to stay under; the rest
	// is for what it does not count.
	memoryShare = 0.75
	// garbagePercent is how much garbage there may be beside what lives, in percent of that. Danger: a sidecar's own state
	// is a few MB, and at the usual 100 the one core collects thirty times a second. The memory limit goes before it.
	garbagePercent = 400
	// dumpWithin is how long a dump may go on once the event loop has gone.
	dumpWithin = 2 * time.Second
)

// Process is a sidecar with the loop that calls it.
type Process struct {
	*sidecar.Sidecar
	loop   *sockets.EventLoop
	host   netio.Handler      // what the loop calls: the sidecar, or the sidecar and its fleet
	fleet  *coordination.Node // nil: it knows no other sidecar
	folder *statefile.Store   // of the fleet; nil: nothing is kept
	door   *admin.Server      // nil: there is none

	askFirst func() // comes before there are clients; nil: nothing is asked
	passed   int
	store    *hotrestart.Store // nil: there is no successor to think of

	neighbours int // processes that lived here at the start
	log        *slog.Logger
	dumping    sync.Mutex    // held while a dump of the capture is written
	over       chan struct{} // closed once the event loop has gone
}

// New returns a process that does not serve yet.
func New(cfg sidecarconfig.Config, on featureconfig.Features, log *slog.Logger) (*Process, error) {
	http := cfg
	if on.Thrift.Only {
		http.Settings.Policy.Classes = nil // what concerns the sidecar itself is all that is left
	}
	fronts, listen := []sidecar.Frontend{http1.New(http, on.Rewrites)}, []string{cfg.Listen}
	if on.Thrift.On() {
		fronts, listen = append(fronts, thrift.New(cfg, on.Thrift)), append(listen, on.Thrift.Listen)
	}
	loop := sockets.New(log, listen...)
	p := &Process{loop: loop, log: log, passed: cfg.Passed, over: make(chan struct{})}
	var own netio.EventLoop = loop
	var shared *multiplex.SharedLoop
	if on.Fleet.On() {
		shared = multiplex.New(loop)
		own = shared.Core()
	}
	s, err := sidecar.New(cfg, on, fronts, own, log)
	if err != nil {
		return nil, err
	}
	s.OnLimitsChange = obey
	p.Sidecar, p.host = s, s
	if cfg.Ops != "" {
		p.door = admin.New(cfg.Ops, s, loop.Now)
	}
	if shared != nil {
		return p, p.join(cfg, on.Fleet, shared)
	}
	return p, nil
}

// obey gives the runtime what the limits say.
func obey(l sidecarconfig.Limits) {
	runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	debug.SetMemoryLimit(int64(memoryShare * float64(l.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(garbagePercent)
}

// Run serves until the process is told to end and all that was taken is answered. Each hangup has load called,
// beside the event loop, for a new configuration; each signal in dumps has the capture written to standard error.
func (p *Process) Run(hangups, dumps <-chan os.Signal, load func() (sidecarconfig.Config, error)) error {
	defer p.end()
	if p.passed > 0 {
		if err := p.succeed(); err != nil {
			return err
		}
		defer p.store.Close()
	}
	if err := p.ListenHealth(); err != nil {
		if p.neighbours == 0 {
			return err
		}
		go p.listenSideLater()
	}
	if p.door != nil {
		if err := p.door.Listen(); err != nil {
			return err
		}
		defer p.door.Close()
	}
	if p.folder != nil {
		defer p.folder.Close()
		p.remember()
	}
	if p.askFirst != nil {
		p.askFirst()
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ends
		if p.store != nil {
			if _, successor := p.store.OtherProcesses(); successor {
				p.Do(p.MarkReplaced)
			}
		}
		p.Do(p.Drain)
		if p.fleet != nil {
			p.Do(p.fleet.CheckShutdown)
		}
		<-ends // a second one does not wait
		os.Exit(1)
	}()
	go p.heedHangups(hangups, load)
	go p.heedDumps(dumps)
	return p.loop.Run(p.host)
}

// heedHangups reads the configuration again at each SIGHUP. Those that come while it is being read count as one
// more: the file is read again after the last of them.
func (p *Process) heedHangups(hangups <-chan os.Signal, load func() (sidecarconfig.Config, error)) {
	for range hangups {
		cfg, err := load()
		tree, fault := p.ReadQuotaTree()
		p.Do(func() {
			p.Reload(cfg, err)
			p.ApplyQuotaTree(tree, fault)
		})
	}
}

// heedDumps writes the capture to standard error at each signal, one dump at a time. Danger: whoever reads that may be
// slow; so the loop makes a copy and goes on.
func (p *Process) heedDumps(dumps <-chan os.Signal) {
	for range dumps {
		p.dumping.Lock()
		text := make(chan []byte, 1)
		p.Do(func() { text <- p.DumpCapture() })
		select {
		case dump := <-text:
			if err := capture.WriteDump(os.Stderr, dump); err != nil {
				p.log.Error("capture can't be written", "error", err)
			}
		case <-p.over: // the event loop has gone
		}
		p.dumping.Unlock()
	}
}

// end ends the capture once the event loop has gone: what is being written is written to its end, unless nobody
// reads it.
func (p *Process) end() {
	close(p.over)
	p.Sidecar.Close()
	idle := make(chan struct{})
	go func() {
		p.dumping.Lock()
		close(idle)
	}()
	select {
	case <-idle:
	case <-time.After(dumpWithin):
	}
}
