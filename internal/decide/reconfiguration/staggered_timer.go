package reconfiguration

// turnS is how long a process has for its turn before the next one tries as well, in seconds.
const turnS = 0.7

// StaggeredTimer keeps for how long a change of the voters has been needed.
type StaggeredTimer struct {
	needed bool
	since  float64
}

// IsDue tells whether it is this process's turn: the process of rank 0 acts at once, each next one where the need is still there a
// turn later. Danger: two processes may act at the same time. Changes of the register allow that; turns only make it rare.
func (t *StaggeredTimer) IsDue(now float64, needed bool, rank int) bool {
	if !needed {
		t.needed = false
		return false
	}
	if !t.needed {
		t.needed, t.since = true, now
	}
	return now-t.since >= turnS*float64(rank)
}
