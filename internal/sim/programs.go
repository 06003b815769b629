package sim

import (
	"encoding/json"
	"log/slog"

	"hazelwheel/internal/environment"
	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/frontend/http1"
	"hazelwheel/internal/frontend/thrift"
	"hazelwheel/internal/netio"
	"hazelwheel/internal/rewrite"
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/sidecarconfig"
)

// Cores are what a day can be played with, by name; nil is the sidecar, with or without a fleet as the seed says.
var Factories = map[string]Factory{"sidecar": nil, "random": PlainBalancer(Random), "least": PlainBalancer(LeastOutstanding)}

// core is the sidecar as a Program.
type core struct{ *sidecar.Sidecar }

// Sidecar is the Core of the real sidecar, without the operators' features.
func NewSidecar(cfg sidecarconfig.Config, net netio.EventLoop, log *slog.Logger) (Program, error) {
	s, err := sidecar.New(cfg, featureconfig.Features{}, []sidecar.Frontend{http1.New(cfg, rewrite.Settings{})}, net, log)
	if err != nil {
		return nil, err
	}
	return core{s}, nil
}

// OverThrift is the Core of the real sidecar with a Thrift port, as the world's applications and boxes speak it.
func NewThriftSidecar(cfg sidecarconfig.Config, net netio.EventLoop, log *slog.Logger) (Program, error) {
	var classes []map[string]any
	for _, c := range cfg.Settings.Policy.Classes {
		classes = append(classes, map[string]any{"class": c.Name, "methods": []string{c.Name}, "id": environment.ThriftID,
			"key": environment.ThriftKey, "patience_us": environment.ThriftTimeout, "retry": environment.ThriftRetry})
	}
	raw, err := json.Marshal(map[string]any{"thrift": map[string]any{"listen": environment.ThriftAddress(cfg.Listen), "probe": environment.ThriftProbe,
		"classes": classes}})
	if err != nil {
		return nil, err
	}
	on, err := featureconfig.Parse(raw, &cfg)
	if err != nil {
		return nil, err
	}
	s, err := sidecar.New(cfg, on, []sidecar.Frontend{http1.New(cfg, on.Rewrites), thrift.New(cfg, on.Thrift)}, net, log)
	if err != nil {
		return nil, err
	}
	return core{s}, nil
}

// What a sidecar at rest may hold: a few links to each box, which probes use; for each a timer, and some for the sweep, the
// watch, the probes and the decisions.
const (
	idleConns          = 64
	idleConnsPerServer = 2
	idleTimers         = 32
)

// Held says what the sidecar holds beyond what one at rest does.
func (c core) Leftovers() []Leftover {
	h := c.Sidecar.ResourceUsage()
	links := max(idleConns, idleConnsPerServer*h.Servers)
	return []Leftover{{"requests", h.Requests}, {"client links", h.ClientConns}, {"bytes that are not read", h.BufferedBytes},
		{"events", h.Events}, {"links to boxes", excess(h.BackendConns, links)}, {"timers", excess(h.Timers, 2*links+idleTimers)}}
}

func excess(n, allowed int) int {
	if n <= allowed {
		return 0
	}
	return n
}
