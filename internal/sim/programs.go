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

// Factories are the programs that a day can be played with, by the name of a flag's value; nil is the sidecar, with the fleet
// that Options.FleetMode determines.
var Factories = map[string]Factory{"sidecar": nil, "random": PlainBalancer(Random), "least": PlainBalancer(LeastOutstanding)}

// sidecarProgram is the sidecar as a Program.
type sidecarProgram struct{ *sidecar.Sidecar }

// NewSidecar is the Factory of the sidecar without optional features.
func NewSidecar(cfg sidecarconfig.Config, loop netio.EventLoop, log *slog.Logger) (Program, error) {
	s, err := sidecar.New(cfg, featureconfig.Features{}, []sidecar.Frontend{http1.New(cfg, rewrite.Settings{})}, loop, log)
	if err != nil {
		return nil, err
	}
	return sidecarProgram{s}, nil
}

// NewThriftSidecar is the Factory of the sidecar with a Thrift listener, configured for the protocol of environment's
// applications and servers.
func NewThriftSidecar(cfg sidecarconfig.Config, loop netio.EventLoop, log *slog.Logger) (Program, error) {
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
	s, err := sidecar.New(cfg, on, []sidecar.Frontend{http1.New(cfg, on.Rewrites), thrift.New(cfg, on.Thrift)}, loop, log)
	if err != nil {
		return nil, err
	}
	return sidecarProgram{s}, nil
}

// Resources of an idle sidecar: some connections to each server, kept by health checks; a timer for each, and some for the
// sweep, the watch, health checks and decisions.
const (
	idleConns          = 64
	idleConnsPerServer = 2
	idleTimers         = 32
)

// Leftovers implements Program.
func (c sidecarProgram) Leftovers() []Leftover {
	h := c.Sidecar.ResourceUsage()
	links := max(idleConns, idleConnsPerServer*h.Servers)
	return []Leftover{{"requests", h.Requests}, {"client links", h.ClientConns}, {"bytes that are not read", h.BufferedBytes},
		{"events", h.Events}, {"links to boxes", excess(h.BackendConns, links)}, {"timers", excess(h.Timers, 2*links+idleTimers)}}
}

// excess returns by how much n exceeds what is allowed.
func excess(n, allowed int) int {
	if n <= allowed {
		return 0
	}
	return n
}
