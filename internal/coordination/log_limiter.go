package coordination

import (
	"fmt"
	"log/slog"

	"hazelwheel/internal/decide/swim"
)

// logLimiter bounds the log of changes: so many at once, and so many a second; the rest are counted.
type logLimiter struct {
	tokens, at float64
	suppressed int
	reportedAt float64
}

const (
	logsPerSecond = 2.0
	notesAtOnce   = 40.0
	unsaidEvery   = 5.0
)

func (n *logLimiter) allow(now float64) bool {
	n.tokens, n.at = min(n.tokens+(now-n.at)*logsPerSecond, notesAtOnce), now
	if n.tokens < 1 {
		n.suppressed++
		return false
	}
	n.tokens--
	return true
}

// logMemberChange tells of a change.
func (n *logLimiter) logMemberChange(now float64, log *slog.Logger, r swim.Record, was swim.State, known bool) {
	if !n.allow(now) {
		return
	}
	before := was.String()
	if !known {
		before = "unknown"
	}
	log.Info("peer", "name", r.Name, "id", r.ID, "is", r.State, "was", before, "incarnation", r.Version.Incarnation, "address", r.Address,
		"by", fmt.Sprint(r.Accusers))
}

// logSuppressed tells how many changes were not told.
func (n *logLimiter) logSuppressed(now float64, log *slog.Logger) {
	if n.suppressed > 0 && now > n.reportedAt+unsaidEvery {
		log.Info("more changes of peers than the log takes", "unsaid", n.suppressed)
		n.suppressed, n.reportedAt = 0, now
	}
}
