package reconfiguration

// stepSeconds is by how much each rank starts later than the previous one.
const stepSeconds = 0.7

// StaggeredTimer measures for how long a change of the voters has been needed. The zero value is ready for use.
type StaggeredTimer struct {
	isRunning bool
	startedAt float64
}

// IsDue reports whether a process of the given rank should change the voters now: rank 0 at once, each next rank stepSeconds
// later. It has to be called regularly; a call with isNeeded false stops the timer.
func (t *StaggeredTimer) IsDue(now float64, isNeeded bool, rank int) bool {
	if !isNeeded {
		t.isRunning = false
		return false
	}
	if !t.isRunning {
		t.isRunning, t.startedAt = true, now
	}
	return now-t.startedAt >= stepSeconds*float64(rank)
}
