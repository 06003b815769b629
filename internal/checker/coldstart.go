package checker

// recordColdWork records work that reaches a cold server, and forgets what is older than the overload window.
func (c *Checker) recordColdWork(server *serverState, e *Event) {
	if server.servingSince == 0 {
		return
	}
	expired := 0
	for expired < len(server.recentWork) && server.recentWork[expired].at < e.At-c.rules.OverloadWindowSeconds {
		expired++
	}
	server.recentWork = append(server.recentWork[:0], server.recentWork[expired:]...)
	sidecar := c.sidecar(e.Sidecar)
	server.recentWork = append(server.recentWork, coldWork{e.At, e.Work, sidecar != nil && c.knewOfStart(sidecar, server, e.Server, e.At)})
}

// knewOfStart reports whether a sidecar was notified of a server's present start, or counts as notified.
func (c *Checker) knewOfStart(sidecar *sidecarState, server *serverState, serverID int32, at float64) bool {
	if entry := sidecar.entry(serverID); entry.status != 0 && entry.servingSince >= server.servingSince-timeToleranceSeconds {
		return true
	}
	for i := len(server.listChanges) - 1; i >= 0; i-- {
		if change := &server.listChanges[i]; change.Status == Serving && change.ServingSince >= server.servingSince-timeToleranceSeconds {
			return c.notifiedAt(sidecar, change, at) <= at
		}
	}
	return false
}

// checkColdOverload checks whether sidecars that knew of its start have overloaded a cold server.
func (c *Checker) checkColdOverload(server *serverState, e *Event) {
	total, notified := 0.0, 0.0
	for _, work := range server.recentWork {
		if work.at >= e.At-c.rules.OverloadWindowSeconds {
			if total += work.seconds; work.isFromNotified {
				notified += work.seconds
			}
		}
	}
	if total > 0 && notified >= c.rules.ColdLoadShare*total {
		c.addViolation(ColdServer, -1, e.Server, 0, nil, "%.3f s of work in %g s brought it down, %.0f %% of it from sidecars that knew of its start",
			total, c.rules.OverloadWindowSeconds, 100*notified/total)
	}
}
