package sim

import (
	"errors"

	"hazelwheel/internal/coordination"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/netio"
)

// disk is a sidecar's disk over all its lives: what was synced stays. It answers after a while, and a process that has been
// killed by then has written nothing.
type simulatedDisk struct {
	sidecar      *instance
	loop         netio.EventLoop
	writeSeconds float64 // how long a write takes
}

func (d simulatedDisk) Save(data []byte, done func(error)) {
	s, life := d.sidecar, d.sidecar.process
	kept := append([]byte(nil), data...)
	s.day.network.Schedule(s.day.network.Now()+d.writeSeconds, func() {
		if s.process == life && life.IsRunning() {
			var err error
			if s.isDiskFull {
				err = errDiskFull
			} else {
				if s.oldStates = append(s.oldStates, s.state.Data); len(s.oldStates) > maxOldStates {
					s.oldStates = s.oldStates[1:]
				}
				s.state = coordination.SavedState{Data: kept}
			}
			d.loop.Post(func() { done(err) })
		}
	})
}

var errDiskFull = errors.New("no space left on device")

// mostOlder is how many states that a disk has held can be put back.
const maxOldStates = 8

// DiskFull has nothing be written to a sidecar's disk, or ends that.
func (d *day) FillDisk(sidecar int, on bool) { d.sidecars[sidecar].isDiskFull = on }

// Spoil changes what a sidecar's disk holds.
func (d *day) DamageState(sidecar int, state string) {
	s := d.sidecars[sidecar]
	s.isStateDamaged = s.isStateDamaged || state != environment.StateKept
	if d.hasRoles && state == environment.StateTorn && s.starts%2 == 0 {
		state = environment.StateOld
	}
	switch {
	case state == environment.StateLost:
		s.state = coordination.SavedState{}
	case state == environment.StateOld:
		if len(s.oldStates) > 0 && s.oldStates[0] != nil {
			s.state = coordination.SavedState{Data: s.oldStates[0], IsCopy: true}
		}
	case len(s.state.Data) > 0:
		s.state.Data = s.state.Data[:len(s.state.Data)/2]
	}
}
