package swim

// HealthScore returns the local health score of Lifeguard, from 0 (healthy) to maxHealthScore: the number of recent reasons to
// distrust this member's own observations. Timeouts of silence are multiplied by 1 + the score.
func (v *View) HealthScore() int { return v.healthScore }

func (v *View) raiseHealthScore() {
	v.healthScore, v.healthChangedAt = min(v.healthScore+1, maxHealthScore), v.now
}

func (v *View) decayHealthScore() {
	if v.healthScore > 0 && v.now-v.healthChangedAt > healthDecaySeconds {
		v.healthScore, v.healthChangedAt = v.healthScore-1, v.now
	}
}

// advanceClock takes the time of a call. Danger: a process that stalled has received nothing meanwhile, through no fault of the
// others; the time of the stall counts against nobody.
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
