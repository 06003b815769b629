package swim

// Health returns how many doubts the member has about itself.
func (v *View) HealthScore() int { return v.healthScore }

// doubt notes that this member has reason to doubt itself.
func (v *View) raiseHealthScore() {
	v.healthScore, v.healthChangedAt = min(v.healthScore+1, maxHealthScore), v.now
}
