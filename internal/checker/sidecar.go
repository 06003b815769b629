package checker

import "math"

// sidecarState is what is known of a sidecar and its present process.
type sidecarState struct {
	cordons       map[int32]float64 // by server: since when its operators have cordoned it
	incarnation   int
	startedAt     float64
	killedAt      float64
	terminatingAt float64 // 0: it was not told to shut down
	reloadedAt    float64
	suspendedAt   float64 // start of its last suspension, which ends at resumedAt
	resumedAt     float64

	openWatches        int
	stalledWatches     []uint64 // connections of the open watches to which nothing is written any more
	stalledAt          float64  // since when all its watches are stalled, also after they have closed; 0: one is not, or they ended otherwise
	polledAt           float64  // last call to discovery
	pollFailed         bool
	isPolledSinceWatch bool // it has called discovery since its last watch closed

	pendingRequests []*request
	entries         []notifiedEntry // by server
	listIndex       uint64          // of the latest list of which it has an entry
}

// notifiedEntry is what a sidecar's present process knows of a server.
type notifiedEntry struct {
	status       int32   // 0: nothing
	changedAt    float64 // when it learned that the server serves, or that it no longer does
	servingSince float64 // of the last entry with the status Serving
	event        Event
}

// sidecar returns the state of a sidecar; nil: there is none such.
func (c *Checker) sidecar(sidecar int32) *sidecarState {
	if sidecar < 0 || int(sidecar) >= len(c.sidecars) {
		return nil
	}
	return &c.sidecars[sidecar]
}

// entry returns what the sidecar knows of a server.
func (s *sidecarState) entry(server int32) *notifiedEntry {
	for int(server) >= len(s.entries) {
		s.entries = append(s.entries, notifiedEntry{})
	}
	return &s.entries[server]
}

// noteStalledWatches sets stalledAt if all open watches are stalled.
func (s *sidecarState) noteStalledWatches(at float64) {
	if s.openWatches > 0 && s.openWatches <= len(s.stalledWatches) && s.stalledAt == 0 {
		s.stalledAt = at
	}
}

// hasLiveWatch reports whether a watch is open that is not stalled.
func (s *sidecarState) hasLiveWatch() bool { return s.openWatches > len(s.stalledWatches) }

// addPending adds a request to pendingRequests. Their order depends on the order of events alone, never on that of a map.
func (s *sidecarState) addPending(request *request) {
	if request.pendingIndex < 0 {
		request.pendingIndex = len(s.pendingRequests)
		s.pendingRequests = append(s.pendingRequests, request)
	}
}

// removePending removes a request from pendingRequests; the last one takes its place.
func (s *sidecarState) removePending(request *request) {
	if request.pendingIndex < 0 {
		return
	}
	last := s.pendingRequests[len(s.pendingRequests)-1]
	s.pendingRequests[request.pendingIndex], last.pendingIndex = last, request.pendingIndex
	s.pendingRequests = s.pendingRequests[:len(s.pendingRequests)-1]
	request.pendingIndex = -1
}

// observeProcess handles what a sidecar's process and its platform report.
func (c *Checker) observeProcess(sidecar *sidecarState, e *Event) {
	switch e.Kind {
	case SidecarStarted:
		c.sidecarStarted(sidecar, e)
	case SidecarKilled:
		c.sidecarKilled(sidecar, e)
	case SidecarTerminating:
		sidecar.terminatingAt = e.At
	case SidecarExited:
		if sidecar.terminatingAt == 0 {
			c.addViolation(NoCrash, e.Sidecar, -1, 0, nil, "the process ended unasked with status %d", e.Status)
		} else if e.Status != 0 {
			c.addViolation(NoCrash, e.Sidecar, -1, 0, nil, "the process ended with status %d", e.Status)
		}
	case SidecarPanicked:
		c.addViolation(NoCrash, e.Sidecar, -1, 0, nil, "panic: %s", e.Text)
	case SidecarSuspended:
		sidecar.suspendedAt, sidecar.resumedAt = e.At, math.Inf(1)
	case SidecarResumed:
		c.sidecarResumed(sidecar, e)
	case SidecarReloaded:
		sidecar.reloadedAt = e.At
	case DescriptorsCounted:
		if int(e.Count) > c.rules.MaxDescriptors {
			c.addViolation(DescriptorLimit, e.Sidecar, -1, 0, nil, "%d descriptors of %d", e.Count, c.rules.MaxDescriptors)
		}
	case LeftoversCounted:
		if e.Count > 0 {
			c.addViolation(NoLeftovers, e.Sidecar, -1, 0, nil, "%d %s left when the day was over", e.Count, e.Text)
		}
	}
}

// sidecarStarted replaces the state of the former process. What outlasts a process stays: its open connections as long as
// their end has not been reported, and its unanswered requests.
func (c *Checker) sidecarStarted(sidecar *sidecarState, e *Event) {
	*sidecar = sidecarState{
		incarnation:     sidecar.incarnation + 1,
		startedAt:       e.At,
		killedAt:        sidecar.killedAt,
		openWatches:     sidecar.openWatches,
		stalledWatches:  sidecar.stalledWatches,
		polledAt:        e.At,
		pollFailed:      c.discoveryDownAt > 0, // its first call is refused, which no actor observes
		pendingRequests: sidecar.pendingRequests,
		entries:         sidecar.entries[:0],
	}
}

// sidecarKilled excuses the pending requests of a killed process, except for those that it accepted long after it was told
// to shut down.
func (c *Checker) sidecarKilled(sidecar *sidecarState, e *Event) {
	sidecar.killedAt = e.At
	grace := c.rules.TermGraceSeconds
	for len(sidecar.pendingRequests) > 0 {
		request := sidecar.pendingRequests[0]
		isTakenLate := sidecar.terminatingAt > 0 && request.sentAt > sidecar.terminatingAt+grace+c.rules.SocketSlackSeconds
		if isTakenLate && e.At < request.deadline {
			c.addViolation(OneAnswer, request.sidecar, -1, request.id, nil, "taken %.3f s after the order to end and not answered when killed", request.sentAt-sidecar.terminatingAt)
		}
		c.endRequest(request, excused, e.At)
	}
	sidecar.incarnation++
}

// sidecarResumed ends a suspension. Entries that were delivered meanwhile are known from now on.
func (c *Checker) sidecarResumed(sidecar *sidecarState, e *Event) {
	sidecar.resumedAt, sidecar.polledAt = e.At, max(sidecar.polledAt, e.At)
	for i := range sidecar.entries {
		if entry := &sidecar.entries[i]; entry.changedAt >= sidecar.suspendedAt {
			entry.changedAt = e.At
		}
	}
}

// observeCordon handles what a sidecar confirms to its operators.
func (c *Checker) observeCordon(sidecar *sidecarState, e *Event) {
	switch e.Kind {
	case ServerCordoned:
		if sidecar.cordons == nil {
			sidecar.cordons = map[int32]float64{}
		}
		if sidecar.cordons[e.Server] == 0 {
			sidecar.cordons[e.Server] = e.At
		}
	case ServerUncordoned:
		delete(sidecar.cordons, e.Server)
	}
}
