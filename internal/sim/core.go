package sim

import (
	"log/slog"

	"hazelwheel/internal/config"
	"hazelwheel/internal/features"
	"hazelwheel/internal/front/http1"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/rewrite"
	"hazelwheel/internal/sidecar"
)

// Cores are what a day can be played with, by name.
var Cores = map[string]Core{"sidecar": Sidecar, "random": Plain(Random), "least": Plain(LeastOutstanding)}

// core is the sidecar as a Program.
type core struct{ *sidecar.Sidecar }

// Sidecar is the Core of the real sidecar, without the operators' features.
func Sidecar(cfg config.Config, net netio.Net, log *slog.Logger) (Program, error) {
	s, err := sidecar.New(cfg, features.Features{}, []sidecar.Front{http1.New(cfg, rewrite.Settings{})}, net, log)
	if err != nil {
		return nil, err
	}
	return core{s}, nil
}

// What a sidecar at rest may hold: a few links to each box, which probes use; for each a timer, and some for the sweep, the
// watch, the probes and the decisions.
const (
	restingLinks  = 64
	restingTimers = 2*restingLinks + 32
)

// Held says what the sidecar holds beyond what one at rest does.
func (c core) Held() []Holding {
	h := c.Sidecar.Holdings()
	return []Holding{{"requests", h.Requests}, {"client links", h.ClientLinks}, {"bytes that are not read", h.Buffered},
		{"events", h.Events}, {"links to boxes", beyond(h.ServerLinks, restingLinks)}, {"timers", beyond(h.Timers, restingTimers)}}
}

func beyond(n, most int) int {
	if n <= most {
		return 0
	}
	return n
}
