package checker

import "math"

// checkDrain checks that the sidecar sent an attempt to no server that it knew to be cordoned, draining or gone.
//
// Danger: another server may have started at the address of one that is gone. What counts is what the sidecar knew of the
// address that it used.
func (c *Checker) checkDrain(server *serverState, sidecar *sidecarState, e *Event) {
	grace := c.rules.DrainGraceSeconds + c.rules.SocketSlackSeconds
	if at := sidecar.cordons[e.Server]; at > 0 && e.FirstSent > at+grace {
		c.addViolation(SafeDrain, e.Sidecar, e.Server, e.Request, nil, "sent %.3f s after operators had taken box %d out", e.FirstSent-at, e.Server)
		return
	}
	if entry := sidecar.entry(e.Server); entry.status == Serving && e.FirstSent <= c.notServingSince(sidecar, e.Server, e.FirstSent)+grace {
		return
	}
	latest, latestServer := math.Inf(-1), int32(-1)
	for serverID := range sidecar.entries {
		entry := &sidecar.entries[serverID]
		if entry.status != 0 && entry.event.Address == server.address {
			if since := c.notServingSince(sidecar, int32(serverID), e.FirstSent); since > latest {
				latest, latestServer = since, int32(serverID)
			}
		}
	}
	switch {
	case latestServer < 0:
		c.addViolation(SafeDrain, e.Sidecar, e.Server, e.Request, nil, "sent to an address that the sidecar was never told of")
	case e.FirstSent > latest+grace:
		c.addViolation(SafeDrain, e.Sidecar, e.Server, e.Request, []Event{sidecar.entries[latestServer].event},
			"sent %.3f s after the sidecar was told, or counted as told, that box %d drains or is gone", e.FirstSent-latest, latestServer)
	}
}
