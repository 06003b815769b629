package sim

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/coordination"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/netio/virtual"
	"hazelwheel/internal/sidecarconfig"
)

// simulatedSidecar is a sidecar of the day, across the restarts of its process.
type simulatedSidecar struct {
	day                 *day
	number              int
	spec                environment.SidecarSpec
	vm                  *virtual.Machine
	process             *virtual.Process // the last one; nil: none was started
	program             Program
	isTerminating       bool       // Terminate was called
	reportedDescriptors int        // that the checker knows of
	reportedFailures    int        // to find a descriptor, that the checker knows of
	stallRand           *rand.Rand // draws the stalls of its loop

	node             *coordination.Node      // of the present process; nil without a fleet
	state            coordination.SavedState // on its disk
	oldStates        [][]byte                // earlier states of its disk, the oldest first
	starts           int                     // of its process so far
	deadIncarnations map[string]uint64       // by member ID, the incarnation in which the present process has seen it dead or left; for lookups, never iterated
	deadInStart      int                     // value of starts that deadIncarnations belongs to
	isSuspended      bool
	isStateDamaged   bool    // its disk was lost, torn or restored since its last start
	startedBlind     bool    // its present process knew no maintenance record and could query nobody
	isolatedSince    float64 // since when most others can't reach it; 0: they can
	isDiskFull       bool    // writes fail
	clockRate        float64 // 0: the network's
	upSince          float64 // 0: not up yet
	downSince        float64 // 0: up
}

// start starts a process of the sidecar with the configuration that the platform writes now.
func (s *simulatedSidecar) start() error {
	d := s.day
	cfg, err := sidecarconfig.Parse(d.environment.StartConfiguration(s.number, d.network.Now()))
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", s.spec.Name, err)
	}
	if d.configuredSidecars > 0 {
		cfg.Settings.Policy.Replicas, cfg.Settings.Policy.Self = d.configuredSidecars, s.number%d.configuredSidecars
	}
	w := &d.conditions
	// A process has descriptors other than connections: standard streams, pollers, files.
	listen := []string{s.spec.Address}
	if d.spec.Protocol.IsThrift() {
		listen = append(listen, environment.ThriftAddress(s.spec.Address))
	}
	s.process = s.vm.Process(virtual.ProcessOptions{Name: s.spec.Name, Listen: listen, MaxDescriptors: d.spec.MaxDescriptors,
		ReservedDescriptors: 8, Backlog: w.backlog, SendBuffer: w.sendBuffer, ReceiveBuffer: w.receiveBuffer, MaxWakeDelaySeconds: w.maxWakeDelaySeconds, CallSeconds: w.callSeconds, Shuffle: w.shuffle,
		OnExit: s.exited})
	s.isTerminating, s.reportedDescriptors, s.reportedFailures = false, 0, 0
	core := d.factory
	if d.hasFleet {
		core = d.fleetFactory(s)
	}
	s.isSuspended = false
	if s.program, err = core(cfg, s.process, slog.New(&logHandler{sidecar: s})); err != nil {
		return fmt.Errorf("%s: %w", s.spec.Name, err)
	}
	if err := s.process.Run(s.program); err != nil {
		return err
	}
	if s.clockRate != 0 {
		s.process.SetClockRate(s.clockRate)
	}
	if w.stallIntervalSeconds > 0 {
		s.scheduleStall(s.process)
	}
	return nil
}

// scheduleStall stalls the event loop of a process from time to time, until that process has ended.
func (s *simulatedSidecar) scheduleStall(process *virtual.Process) {
	w := &s.day.conditions
	s.day.network.Schedule(s.day.network.Now()+w.stallIntervalSeconds*s.stallRand.ExpFloat64(), func() {
		if s.process == process && process.IsRunning() {
			process.Stall(s.day.network.Now() + w.maxStallSeconds*s.stallRand.Float64())
			s.scheduleStall(process)
		}
	})
}

// exited reports that the process has exited by itself.
func (s *simulatedSidecar) exited() {
	s.day.observeNow(checker.Event{Kind: checker.SidecarExited, Sidecar: int32(s.number)})
}

// logHandler passes a sidecar's log to the trace, and its panics to the checker.
type logHandler struct{ sidecar *simulatedSidecar }

// Enabled implements slog.Handler.
func (l *logHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError || l.sidecar.day.trace != nil
}

// Handle implements slog.Handler.
func (l *logHandler) Handle(_ context.Context, r slog.Record) error {
	d := l.sidecar.day
	if r.Level >= slog.LevelError && r.Message == "panic" {
		text := ""
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "cause" {
				text = a.Value.String()
			}
			return true
		})
		d.observeNow(checker.Event{Kind: checker.SidecarPanicked, Sidecar: int32(l.sidecar.number), Text: text})
	}
	if d.trace != nil {
		line := fmt.Sprintf("%-12s log: %s", l.sidecar.spec.Name, r.Message)
		r.Attrs(func(a slog.Attr) bool {
			line += fmt.Sprintf(" %s=%s", a.Key, a.Value)
			return true
		})
		d.trace(d.network.Now()-d.spec.Start, line)
	}
	return nil
}

// WithAttrs implements slog.Handler; the sidecar does not use it.
func (l *logHandler) WithAttrs([]slog.Attr) slog.Handler { return l }

// WithGroup implements slog.Handler; the sidecar does not use it.
func (l *logHandler) WithGroup(string) slog.Handler { return l }
