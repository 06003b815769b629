package sidecar

// lifecycle is how far a process is on its way to its end.
type lifecycle struct {
	isDrained         bool    // by operators, until they undo it
	isShuttingDown    bool    // graceful shutdown has started
	shutdownStartedAt float64 // valid if isShuttingDown
	isReplaced        bool    // another process accepts connections in this one's place
	isStopping        bool    // the event loop is being stopped
}

// startShutdown marks the start of the graceful shutdown, and reports whether that is new.
func (l *lifecycle) startShutdown(now float64) bool {
	if l.isShuttingDown {
		return false
	}
	l.isShuttingDown, l.shutdownStartedAt = true, now
	return true
}

// closesAfterResponse reports whether every response is to be the last on its connection.
func (l *lifecycle) closesAfterResponse() bool { return l.isShuttingDown || l.isDrained }
