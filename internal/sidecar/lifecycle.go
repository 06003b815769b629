package sidecar

// lifecycle tracks drain and shutdown of the process.
type lifecycle struct {
	isDrained         bool    // by an operator, until an operator undoes it
	isShuttingDown    bool    // graceful shutdown has started
	shutdownStartedAt float64 // valid if isShuttingDown
	isReplaced        bool    // another process accepts connections in place of this one
	isStopping        bool    // the event loop is being stopped
}

// startShutdown marks the start of the graceful shutdown, and reports whether it had not started before.
func (l *lifecycle) startShutdown(now float64) bool {
	if l.isShuttingDown {
		return false
	}
	l.isShuttingDown, l.shutdownStartedAt = true, now
	return true
}

// closesAfterResponse reports whether every response is to be the last on its connection.
func (l *lifecycle) closesAfterResponse() bool { return l.isShuttingDown || l.isDrained }
