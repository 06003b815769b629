package coordination

import (
	"fmt"
	"log/slog"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers/tokenbucket"
)

const (
	// logsPerSecond and logBurst limit the lines of one logLimiter.
	logsPerSecond = 2.0
	logBurst      = 40.0
	// suppressedLogSeconds is the minimum time between two lines about suppressed lines.
	suppressedLogSeconds = 5.0
)

// logLimiter limits the rate of log lines that peers can cause. Lines above the limit are counted, and the count is logged.
type logLimiter struct {
	bucket     tokenbucket.Bucket
	suppressed int     // lines since reportedAt
	reportedAt float64 // when suppressed lines were last logged
}

// allow reports whether a line may be written now, and counts it as suppressed if not.
func (l *logLimiter) allow(now float64) bool {
	if l.bucket.TryTake(now, 1, logsPerSecond, logBurst) {
		return true
	}
	l.suppressed++
	return false
}

// logMemberChange logs a change of a member's state.
func (l *logLimiter) logMemberChange(now float64, log *slog.Logger, r swim.Record, previous swim.State, known bool) {
	if !l.allow(now) {
		return
	}
	before := previous.String()
	if !known {
		before = "unknown"
	}
	log.Info("peer", "name", r.Name, "id", r.ID, "is", r.State, "was", before, "incarnation", r.Version.Incarnation, "address", r.Address,
		"by", fmt.Sprint(r.Accusers))
}

// logSuppressed logs how many lines were suppressed.
func (l *logLimiter) logSuppressed(now float64, log *slog.Logger) {
	if l.suppressed > 0 && now > l.reportedAt+suppressedLogSeconds {
		log.Info("log lines suppressed", "count", l.suppressed)
		l.suppressed, l.reportedAt = 0, now
	}
}
