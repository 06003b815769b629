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

// instance is a sidecar, over all its lives.
type instance struct {
	day                 *day
	number              int
	spec                environment.SidecarSpec
	vm                  *virtual.Machine
	process             *virtual.Process // the last life; nil: there was none
	program             Program
	isTerminating       bool
	reportedDescriptors int // the descriptors that the judge knows of
	reportedFailures    int
	stallRand           *rand.Rand

	node             *coordination.Node      // of the last life; nil: sidecars do not know each other
	state            coordination.SavedState // on its disk
	oldStates        [][]byte                // what it held before, the oldest first
	starts           int
	goneIncarnations map[string]uint64 // by identity, the incarnation by which the present life has held one for gone; looked up, never walked
	goneInStart      int
	isSuspended      bool
	isStateDamaged   bool    // its disk was lost, torn or put back since its last start
	startedBlind     bool    // its present life knew nothing of boxes that are out, and could ask nobody
	isolatedSince    float64 // since when most of the others do not reach it; 0: they do
	isDiskFull       bool    // its disk takes nothing
	clockRate        float64 // of its clock; 0: as that of the others
	upSince          float64 // since when it has been there; 0: it has not been yet
	downSince        float64 // since when it is not; 0: it is there
}

// begin begins a life of a sidecar, with the configuration that the platform writes now.
func (s *instance) start() error {
	d := s.day
	cfg, err := sidecarconfig.Parse(d.environment.StartConfiguration(s.number, d.network.Now()))
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", s.spec.Name, err)
	}
	if d.configuredSidecars > 0 {
		cfg.Settings.Policy.Replicas, cfg.Settings.Policy.Self = d.configuredSidecars, s.number%d.configuredSidecars
	}
	w := &d.conditions
	// A process holds descriptors beside its links: standard streams, pollers, files.
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

// stall has the loop of a life stand still now and then.
func (s *instance) scheduleStall(process *virtual.Process) {
	w := &s.day.conditions
	s.day.network.Schedule(s.day.network.Now()+w.stallIntervalSeconds*s.stallRand.ExpFloat64(), func() {
		if s.process == process && process.IsRunning() {
			process.Stall(s.day.network.Now() + w.maxStallSeconds*s.stallRand.Float64())
			s.scheduleStall(process)
		}
	})
}

// exited takes the end of a process that has ended by itself.
func (s *instance) exited() {
	s.day.observeNow(checker.Event{Kind: checker.SidecarExited, Sidecar: int32(s.number)})
}

// logs is where a sidecar's log goes: to the trace; and the judge is told of its panics.
type logHandler struct{ sidecar *instance }

func (l *logHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelError || l.sidecar.day.trace != nil
}

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

func (l *logHandler) WithAttrs([]slog.Attr) slog.Handler { return l }

func (l *logHandler) WithGroup(string) slog.Handler { return l }
