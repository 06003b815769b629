package swim

// HealthScore returns the local health score of Lifeguard, from 0 (healthy) to maxHealthScore: the number of recent signs that this
// member's own observations are unreliable. Its silence timeouts are multiplied by 1 + the score.
func (v *View) HealthScore() int { return v.healthScore }

func (v *View) raiseHealthScore() {
	v.healthScore, v.healthChangedAt = min(v.healthScore+1, maxHealthScore), v.now
}

func (v *View) decayHealthScore() {
	if v.healthScore > 0 && v.now-v.healthChangedAt > healthDecaySeconds {
		v.healthScore, v.healthChangedAt = v.healthScore-1, v.now
	}
}

// advanceClock sets the current time at the start of a call. Danger: a process that stalled has received nothing meanwhile, which is
// not a sign that the others have failed. The time of the stall must not count towards their timeouts.
func (v *View) advanceClock(now float64) {
	if gap := now - v.now; gap > stallThresholdSeconds {
		v.stats.Stalls++
		for _, e := range v.entries {
			e.lastHeard = max(e.lastHeard, now-silenceTimeoutSeconds/2)
			if e.State == Suspect && e.deadAt > 0 {
				e.deadAt += gap
			}
		}
		v.raiseHealthScore()
	}
	v.now = max(v.now, now)
}
