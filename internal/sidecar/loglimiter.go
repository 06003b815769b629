package sidecar

// logIntervalSeconds is the minimum time between two log lines with the same message.
const logIntervalSeconds = 1.0

// logLimiter limits the rate of log lines about frequent events, by message.
type logLimiter map[string]*limitedLine

type limitedLine struct {
	loggedAt   float64
	suppressed int // occurrences since the last line
}

// warnLimited logs a warning at most once per logIntervalSeconds for each message, with the number of occurrences since its last line, so
// that a flood of requests does not flood the log.
func (s *Sidecar) warnLimited(text string) {
	n, now := s.logLimiter[text], s.now()
	if n == nil {
		n = &limitedLine{loggedAt: now - logIntervalSeconds}
		s.logLimiter[text] = n
	}
	if n.suppressed++; now-n.loggedAt >= logIntervalSeconds {
		s.log.Warn(text, "times", n.suppressed)
		n.loggedAt, n.suppressed = now, 0
	}
}
