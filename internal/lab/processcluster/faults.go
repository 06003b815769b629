package processcluster

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"hazelwheel/internal/environment"
)

// PeersCut starts or ends a cut of the links from one sidecar to another.
func (c *Cluster) PeersCut(from, to int, on bool) {
	c.changeLinkFault(from, to, func(r *LinkFault) { r.Cut = on })
}

// PeersHold holds the bytes from one sidecar to another while their links stay established, or lets them pass again.
func (c *Cluster) PeersHold(from, to int, on bool) {
	c.changeLinkFault(from, to, func(r *LinkFault) { r.Hold = on })
}

// PeersSlow limits the bytes per second of each link from one sidecar to another; 0 ends the limit.
func (c *Cluster) PeersSlow(from, to int, bytesPerSecond float64) {
	c.changeLinkFault(from, to, func(r *LinkFault) { r.BytesPerSecond = bytesPerSecond })
}

// PeersReset resets the links between two sidecars.
func (c *Cluster) PeersReset(a, b int) {
	c.recordFault(0)
	c.proxy.ResetLinks(c.members[a].name, c.members[b].name)
}

// changeLinkFault changes the fault of a direction, which may combine several. Like all faults it is called from the play's loop alone.
func (c *Cluster) changeLinkFault(from, to int, change func(*LinkFault)) {
	direction := c.direction(from, to)
	before := c.linkFaults[direction]
	after := before
	change(&after)
	c.linkFaults[direction] = after
	switch none := (LinkFault{}); {
	case before == none && after != none:
		c.recordFault(1)
	case before != none && after == none:
		c.recordFault(-1)
	default:
		c.recordFault(0)
	}
	c.proxy.SetFault(after, direction)
}

// direction returns the direction from one sidecar to another.
func (c *Cluster) direction(from, to int) Direction {
	return Direction{c.members[from].name, c.members[to].name}
}

// recordFault records a fault between sidecars now, and the change of the number of faults that last.
func (c *Cluster) recordFault(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ongoingFaults += change
	c.faultAt, c.isAgreed = time.Now(), false
}

// PeersDeaf connects a peer to a sidecar that sends requests at a rate and reads nothing, until the given time.
func (c *Cluster) PeersDeaf(sidecar int, perSecond float64, until time.Time) {
	c.recordFault(1)
	c.stalledPeers.Go(func() {
		defer c.recordFault(-1)
		c.members[sidecar].stall(perSecond, until, c.done)
	})
}

// DiskFull puts a file in place of a sidecar's folder, so that no write succeeds there for any user, or puts the folder back.
func (c *Cluster) DiskFull(sidecar int, on bool) {
	m := c.members[sidecar]
	asidePath := m.stateDir + "-aside"
	if on && !m.isDiskFull {
		if err := os.Rename(m.stateDir, asidePath); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return // no fault is injected
		}
		m.isDiskFull = os.WriteFile(m.stateDir, nil, 0o600) == nil
	} else if !on && m.isDiskFull {
		m.isDiskFull = false
		_ = os.Remove(m.stateDir)            // the file that was put there
		_ = os.Rename(asidePath, m.stateDir) // fails if there was no folder
	}
}

// Spoil removes, truncates or replaces by an older version the stored state of a sidecar that is not running, as environment.StateLost, StateTorn and
// StateOld say. Errors leave the state as it is.
func (c *Cluster) Spoil(sidecar int, state environment.StoredState) {
	file := filepath.Join(c.members[sidecar].stateDir, "peer")
	current, err := os.ReadFile(file)
	if err != nil {
		return // it has stored nothing yet
	}
	switch older := c.members[sidecar].olderState; {
	case state == environment.StateLost:
		_ = os.Remove(file) // the next incarnation starts with what is there
	case state == environment.StateOld && older != nil:
		_ = os.WriteFile(file, older, 0o600)
	case state == environment.StateTorn:
		_ = os.WriteFile(file, current[:len(current)/2], 0o600)
	}
}

// Standing records that the process of a sidecar runs or goes on, or has exited or been stopped.
func (c *Cluster) Standing(sidecar int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, now := c.members[sidecar], time.Now()
	if state, err := os.ReadFile(filepath.Join(m.stateDir, "peer")); err == nil && m.olderState == nil {
		m.olderState = state
	}
	if m.isRunning && !on {
		m.stoppedAt = now
	}
	if !m.isRunning && on && !m.changedAt.IsZero() {
		c.absences = append(c.absences, absence{sidecar, unixSeconds(m.changedAt), unixSeconds(now)})
	}
	m.isRunning, m.changedAt = on, now
	c.faultAt, c.isAgreed = now, false
}

// absence is a time in which a sidecar did not run, in Unix seconds.
type absence struct {
	sidecar  int
	from, to float64
}

// rejoinSeconds is how long a sidecar that had counted as dead may take to receive what was agreed meanwhile.
const rejoinSeconds = 3.0

// hadCountedAsDead reports whether a sidecar was absent for longer than deadSeconds, which makes it count as dead, and returned just before a time.
func (c *Cluster) hadCountedAsDead(sidecar int, at, deadSeconds float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.absences, func(a absence) bool {
		return a.sidecar == sidecar && a.to-a.from > deadSeconds && at >= a.from && at < a.to+rejoinSeconds
	})
}
