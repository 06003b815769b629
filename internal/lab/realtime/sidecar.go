package realtime

import (
	"context"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/process"
)

// readyWithin is how long a process is waited for.
const readyWithin = 10 * time.Second

// sidecar is a sidecar over all lives of its process.
type sidecar struct {
	p      *Play
	number int
	spec   *environment.SidecarSpec
	ctx    context.Context
	group  process.Group
	child  *process.Child // nil: none runs
	pid    atomic.Int64   // of the last process, for who asks beside the loop
	begun  bool
	waits  bool // it stands by
}

// giveWay is the priority of many sidecars that know each other. Danger: where all begin at once there are more of them than cores, and a
// laboratory that comes to its own sockets late takes what it sees late for theirs.
const giveWay = 5

// begin begins a process with the configuration that the platform writes now.
func (s *sidecar) begin(ctx context.Context) error {
	s.ctx = ctx
	path := s.p.configFile(s.number)
	if err := os.WriteFile(path, s.p.World.StartConfiguration(s.number, s.p.Now()), 0o644); err != nil {
		return err
	}
	o := process.Spec{Name: s.spec.Name, Path: s.p.settings.Binary, Args: []string{"serve", "--config", path}, Log: s.p.settings.Log}
	if of := s.p.settings.BinaryOf; of != nil {
		o.Path = of(s.number)
	}
	if c := s.p.settings.Crew; c != nil {
		more, env, err := c.Prepare(s.number)
		if err != nil {
			return err
		}
		o.Args, o.Env, o.Nice = append(o.Args, more...), env, giveWay
	}
	child, err := s.group.Start(o)
	if err != nil {
		return err
	}
	s.pid.Store(int64(child.PID())) // first: it may dial by now
	s.p.standing(s.number, true)
	s.child = child
	first, waited := !s.begun, s.waits
	s.begun, s.waits = true, false
	go func() {
		switch ready := child.Ready(ctx, s.spec.Address, time.Now().Add(readyWithin)) == nil; {
		case ready && waited:
			s.p.Post(func() { s.p.ground.Return(s.spec.IP) }) // the application beside it
		case ready && first:
			s.p.Post(func() { s.p.late = max(s.p.late, s.p.Now()-s.p.Day.Start) })
		}
		<-child.Done()
		s.p.Post(func() { s.ended(child) })
	}()
	return nil
}

// ended takes the end of a process that nobody has killed.
func (s *sidecar) ended(child *process.Child) {
	if s.child != child {
		return
	}
	s.child = nil
	s.p.standing(s.number, false)
	status := int32(0)
	if child.Err() != nil {
		status = 1
	}
	s.see(checker.Event{Kind: checker.SidecarExited, Status: status})
}

func (s *sidecar) see(e checker.Event) {
	e.At, e.Sidecar, e.Server = s.p.Now(), int32(s.number), -1
	s.p.Judge.Observe(e)
	if s.p.settings.Watch != nil {
		s.p.settings.Watch.Observe(e)
	}
}

// endSidecars ends all processes, after the loop has gone.
func (p *Play) endSidecars() {
	for _, s := range p.sidecars {
		s.group.End()
	}
}

// playedMachines is the world's Ground: machines are the ground's, sidecars are processes.
type playedMachines struct{ p *Play }

var _ environment.Hosts = playedMachines{}

func (l playedMachines) at(ip string) *sidecar {
	for _, s := range l.p.sidecars {
		if s.spec.IP == ip {
			return s
		}
	}
	return nil
}

// Kill ends a sidecar's process, or a machine's.
func (l playedMachines) Kill(ip string) {
	s := l.at(ip)
	switch {
	case s == nil:
		l.p.ground.Kill(ip)
	case s.child != nil:
		child := s.child
		s.child = nil
		l.p.standing(s.number, false)
		_ = child.Signal(syscall.SIGKILL) // fails only where it has ended
		<-child.Done()
	}
}

// Vanish takes a machine away.
func (l playedMachines) Vanish(ip string) { l.p.ground.Vanish(ip) }

// Return begins a sidecar's next process, or a machine's.
func (l playedMachines) Start(ip string) {
	s := l.at(ip)
	if s == nil {
		l.p.ground.Return(ip)
		return
	}
	if s.child == nil {
		if err := s.begin(s.ctx); err != nil {
			l.p.stop(err)
		}
	}
}

// Terminate tells a sidecar's process to end.
func (l playedMachines) Terminate(sidecar int) {
	l.p.standing(sidecar, false)
	l.signal(sidecar, syscall.SIGTERM)
}

// Now returns the time of the ground.
func (l playedMachines) Now() float64 { return l.p.Now() }

// TakeOut does nothing: the sidecars of a world in real time have no door.
func (l playedMachines) Cordon(int, string, bool, func()) {}

// What befalls peers, their disks and their states is the crew's.
func (l playedMachines) DropPeerTraffic(from, to int, on bool) {
	if c := l.p.settings.Crew; c != nil {
		c.PeersCut(from, to, on)
	}
}

func (l playedMachines) HoldPeerTraffic(from, to int, on bool) {
	if c := l.p.settings.Crew; c != nil {
		c.PeersHold(from, to, on)
	}
}

func (l playedMachines) ResetPeerConnections(a, b int) {
	if c := l.p.settings.Crew; c != nil {
		c.PeersReset(a, b)
	}
}

func (l playedMachines) LimitPeerTraffic(from, to int, perS float64) {
	if c := l.p.settings.Crew; c != nil {
		c.PeersSlow(from, to, perS)
	}
}

func (l playedMachines) QueryWithoutReading(sidecar int, perS, until float64) {
	if c := l.p.settings.Crew; c != nil {
		c.PeersDeaf(sidecar, perS, time.Now().Add(time.Duration((until-l.p.Now())*float64(time.Second))))
	}
}

func (l playedMachines) FillDisk(sidecar int, on bool) {
	if c := l.p.settings.Crew; c != nil {
		c.DiskFull(sidecar, on)
	}
}

// Clock does nothing: scripts for real processes are read without it.
func (l playedMachines) SetClockRate(int, float64) {}

// LateConnects does nothing: scripts for real processes are read without it.
func (l playedMachines) DelayConnects(string, float64, float64) {}

// Begin begins a sidecar that has stood by; the application beside it follows once it listens.
func (l playedMachines) StartStandby(sidecar int) {
	if sidecar >= len(l.p.sidecars) || !l.p.sidecars[sidecar].waits {
		return
	}
	if s := l.p.sidecars[sidecar]; s.child == nil {
		if err := s.begin(s.ctx); err != nil {
			l.p.stop(err)
		}
	}
}

func (l playedMachines) DamageState(sidecar int, state environment.StoredState) {
	if c := l.p.settings.Crew; c != nil {
		c.Spoil(sidecar, state)
	}
}

// standing tells the crew.
func (p *Play) standing(sidecar int, on bool) {
	if c := p.settings.Crew; c != nil {
		c.Standing(sidecar, on)
	}
}

// Freeze has a process stand still, or go on.
func (l playedMachines) Suspend(sidecar int, on bool) {
	if on {
		l.p.standing(sidecar, false)
		l.signal(sidecar, syscall.SIGSTOP)
	} else {
		l.signal(sidecar, syscall.SIGCONT)
		l.p.standing(sidecar, true)
	}
}

// Hangup tells it to read its configuration again.
func (l playedMachines) Reload(sidecar int, configuration []byte) {
	if sidecar >= len(l.p.sidecars) {
		return
	}
	if err := os.WriteFile(l.p.configFile(sidecar), configuration, 0o644); err != nil {
		l.p.stop(err)
		return
	}
	l.signal(sidecar, syscall.SIGHUP)
}

func (l playedMachines) signal(sidecar int, signal syscall.Signal) {
	if sidecar < len(l.p.sidecars) && l.p.sidecars[sidecar].child != nil {
		_ = l.p.sidecars[sidecar].child.Signal(signal) // fails only where it has ended
	}
}

func (l playedMachines) DropTraffic(from, to string)    { l.p.ground.Partition(from, to) }
func (l playedMachines) RestoreTraffic(from, to string) { l.p.ground.Heal(from, to) }
func (l playedMachines) ResetConnections(a, b string)   { l.p.ground.Reset(a, b) }

// Stall slows what a sidecar's application reads.
func (l playedMachines) LimitReading(sidecar int, share float64) {
	l.p.ground.LimitReading("app-"+l.p.Day.Sidecars[sidecar].Name, share)
}
