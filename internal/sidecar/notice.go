package sidecar

// noticeEveryS is the least time between two lines of one kind.
const noticeEveryS = 1.0

// notices bounds what is logged of what happens by the thousand.
type notices map[string]*noticed

type noticed struct {
	at    float64
	since int // how many have come since the last line
}

// notice logs what has happened, at most once a second for each text, with how many times since the last line. Danger: a
// flood must not become a flood of the log.
func (s *Sidecar) notice(text string) {
	n, now := s.notices[text], s.now()
	if n == nil {
		n = &noticed{at: now - noticeEveryS}
		s.notices[text] = n
	}
	if n.since++; now-n.at >= noticeEveryS {
		s.log.Warn(text, "times", n.since)
		n.at, n.since = now, 0
	}
}
