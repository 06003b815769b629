package sidecar

// noticeEveryS is the least time between two lines of one kind.
const logIntervalSeconds = 1.0

// notices bounds what is logged of what happens by the thousand.
type logLimiter map[string]*limitedLine

type limitedLine struct {
	loggedAt   float64
	suppressed int // how many have come since the last line
}

// notice logs what has happened, at most once a second for each text, with how many times since the last line. Danger: a
// flood must not become a flood of the log.
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
