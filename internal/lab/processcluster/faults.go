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

func (c *Cluster) direction(from, to int) Direction {
	return Direction{c.members[from].name, c.members[to].name}
}

// PeersCut has the connections from one sidecar to another cut, or restored.
func (c *Cluster) PeersCut(from, to int, on bool) {
	c.changeLinkFault(from, to, func(r *LinkFault) { r.Cut = on })
}

// PeersHold has bytes from one sidecar to another stop while the connections stay open, or flow again.
func (c *Cluster) PeersHold(from, to int, on bool) {
	c.changeLinkFault(from, to, func(r *LinkFault) { r.Hold = on })
}

// PeersSlow bounds the bytes a second of each connection from one sidecar to another; 0 ends it.
func (c *Cluster) PeersSlow(from, to int, bytesPerSecond float64) {
	c.changeLinkFault(from, to, func(r *LinkFault) { r.BytesPerSecond = bytesPerSecond })
}

// rule changes what befalls a way, beside what does already. It is for the play's loop, as all that befalls it.
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

// PeersReset resets the connections between two sidecars.
func (c *Cluster) PeersReset(a, b int) {
	c.recordFault(0)
	c.proxy.ResetLinks(c.members[a].name, c.members[b].name)
}

// PeersDeaf has somebody call at a sidecar as a peer does, ask again and again, and read nothing.
func (c *Cluster) PeersDeaf(sidecar int, perSecond float64, until time.Time) {
	c.recordFault(1)
	c.stalledPeers.Go(func() {
		defer c.recordFault(-1)
		c.members[sidecar].stall(perSecond, until, c.done)
	})
}

// DiskFull has a file stand where a sidecar's folder was, so that nothing can be written there, by nobody.
func (c *Cluster) DiskFull(sidecar int, on bool) {
	m := c.members[sidecar]
	asidePath := m.stateDir + "-aside"
	if on && !m.isDiskFull {
		if err := os.Rename(m.stateDir, asidePath); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return // the process goes on as before
		}
		m.isDiskFull = os.WriteFile(m.stateDir, nil, 0o600) == nil
	} else if !on && m.isDiskFull {
		m.isDiskFull = false
		_ = os.Remove(m.stateDir)            // it is ours
		_ = os.Rename(asidePath, m.stateDir) // there may have been none
	}
}

// Spoil has the kept state of a sidecar that is down lost, torn or replaced by an older one.
func (c *Cluster) Spoil(sidecar int, state string) {
	file := filepath.Join(c.members[sidecar].stateDir, "peer")
	current, err := os.ReadFile(file)
	if err != nil {
		return // it has kept nothing yet
	}
	switch older := c.members[sidecar].olderState; {
	case state == environment.StateLost:
		_ = os.Remove(file) // the next process tells what it finds
	case state == environment.StateOld && older != nil:
		_ = os.WriteFile(file, older, 0o600)
	case state == environment.StateTorn:
		_ = os.WriteFile(file, current[:len(current)/2], 0o600)
	}
}

// Standing notes that the process of a sidecar is up, or has ended.
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

// trouble notes that there is one between sidecars now, or one more or less that goes on.
func (c *Cluster) recordFault(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ongoingFaults += change
	c.faultAt, c.isAgreed = time.Now(), false
}

// away is for how long each sidecar was not there before it came back, by when it did.
type absence struct {
	sidecar  int
	from, to float64
}

// wasGone tells whether a sidecar had been away for longer than it takes to count as gone, and had come back just before a time.
func (c *Cluster) hadCountedAsDead(sidecar int, at, deadSeconds float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.absences, func(a absence) bool {
		return a.sidecar == sidecar && a.to-a.from > deadSeconds && at >= a.from && at < a.to+rejoinSeconds
	})
}

// goneAwakeS is how long a sidecar that had counted as gone may take to hear what was agreed meanwhile.
const rejoinSeconds = 3.0
