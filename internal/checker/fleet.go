package checker

// fleetRules are the rules by the invariant that a FleetInvariantBroken event names in its Status.
var fleetRules = [...]Rule{
	ViewInvariant:        FleetView,
	DeathInvariant:       FalseDeath,
	RankInvariant:        FleetRank,
	IncarnationInvariant: FleetIncarnation,
	QueueInvariant:       FleetQueue,
	TokenInvariant:       StaleOwner,
	OccupiedInvariant:    MaintenanceOccupied,
	BudgetInvariant:      MaintenanceBudget,
	RepeatInvariant:      MaintenanceRepeated,
	RecordInvariant:      MaintenanceRecorded,
}

// observeFleet records violations that observers of the whole fleet have found.
func (c *Checker) observeFleet(e *Event) {
	if e.Kind == FleetInvariantBroken {
		c.addViolation(fleetRules[e.Status], e.Sidecar, -1, 0, nil, "%s", e.Text)
	}
}
