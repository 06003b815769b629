package policy

// baseSettings returns settings with one class of each effect, without probes and load reports.
func baseSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "safe", Effect: Safe, LatencyTargetSeconds: 0.3, TotalTimeoutSeconds: 1, PriorityWeight: 1},
			{Name: "keyed", Effect: Keyed, Group: GroupCell, DedupWindowSeconds: 0.2, LatencyTargetSeconds: 0.3, TotalTimeoutSeconds: 1, PriorityWeight: 1},
			{Name: "unsafe", Effect: Unsafe, LatencyTargetSeconds: 0.3, TotalTimeoutSeconds: 1, PriorityWeight: 1},
		},
		Replicas: 1, TickSeconds: 0.001, MaxAttempts: 3, CanCancel: true, HedgingAllowed: true, MaxRetryAfterSeconds: 2,
		DrainGraceSeconds: 0.25, SlowStartFraction: 0.3, SlowStartSeconds: 8, SlowStartMultiple: 3, SlowStartWindowSeconds: 2, MaxListRequestGapSeconds: 10,
	}
}

// polledSettings returns settings where load reports come with probe answers only.
func polledSettings() Settings {
	s := baseSettings()
	s.ProbesEnabled, s.ReportsOnProbe, s.ReportFields = true, true, []ReportField{FieldInflight}
	return s
}

// readyHosts returns ready hosts with the given IDs; ten in a row share a cell.
func readyHosts(ids ...uint32) []HostInfo {
	var list []HostInfo
	for _, id := range ids {
		list = append(list, HostInfo{ID: id, Cell: int(id) / 10, State: Ready})
	}
	return list
}

// manyHosts returns n ready hosts with IDs from 1; four in a row share a cell.
func manyHosts(n int) []HostInfo {
	list := make([]HostInfo, n)
	for i := range list {
		list[i] = HostInfo{ID: uint32(i + 1), Cell: i / 4, State: Ready}
	}
	return list
}
