package coordination

import (
	"fmt"
	"log/slog"

	"hazelwheel/internal/decide/swim"
)

// notes bounds the log of changes: so many at once, and so many a second; the rest are counted.
type notes struct {
	left, at float64
	unsaid   int
	saidAt   float64
}

const (
	notesPerS   = 2.0
	notesAtOnce = 40.0
	unsaidEvery = 5.0
)

func (n *notes) room(now float64) bool {
	n.left, n.at = min(n.left+(now-n.at)*notesPerS, notesAtOnce), now
	if n.left < 1 {
		n.unsaid++
		return false
	}
	n.left--
	return true
}

// changed tells of a change.
func (n *notes) changed(now float64, log *slog.Logger, r swim.Record, was swim.State, known bool) {
	if !n.room(now) {
		return
	}
	before := was.String()
	if !known {
		before = "unknown"
	}
	log.Info("peer", "name", r.Name, "id", r.ID, "is", r.State, "was", before, "incarnation", r.Version.Incarnation, "address", r.Address,
		"by", fmt.Sprint(r.Accusers))
}

// flush tells how many changes were not told.
func (n *notes) flush(now float64, log *slog.Logger) {
	if n.unsaid > 0 && now > n.saidAt+unsaidEvery {
		log.Info("more changes of peers than the log takes", "unsaid", n.unsaid)
		n.unsaid, n.saidAt = 0, now
	}
}
