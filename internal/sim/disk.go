package sim

import (
	"errors"

	"hazelwheel/internal/coordination"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/netio"
)

// simulatedDisk is the coordination.Store of one process of a sidecar. What was written survives the process; a write that was
// not over when the process was killed is lost.
type simulatedDisk struct {
	sidecar      *simulatedSidecar
	loop         netio.EventLoop
	writeSeconds float64 // duration of a write
}

// Save implements coordination.Store.
func (d simulatedDisk) Save(data []byte, done func(error)) {
	s, process := d.sidecar, d.sidecar.process
	kept := append([]byte(nil), data...)
	s.day.network.Schedule(s.day.network.Now()+d.writeSeconds, func() {
		if s.process == process && process.IsRunning() {
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

// errDiskFull is the error of a write while the disk is full.
var errDiskFull = errors.New("no space left on device")

// maxOldStates is the number of earlier states of a disk that can be restored.
const maxOldStates = 8

// FillDisk implements environment.Hosts: writes to a sidecar's disk fail, or succeed again.
func (d *day) FillDisk(sidecar int, on bool) { d.sidecars[sidecar].isDiskFull = on }

// DamageState implements environment.Hosts: it loses, truncates or replaces the state on a sidecar's disk by an earlier one.
func (d *day) DamageState(sidecar int, state environment.StoredState) {
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
