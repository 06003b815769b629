// Package http1 is the frontend for HTTP/1.1: its client connections, the requests that it forwards to servers, and its probes.
package http1

import (
	"hazelwheel/internal/http1"
	"hazelwheel/internal/rewrite"
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/sidecarconfig"
)

var limits = http1.Limits{HeadBytes: sidecar.MaxHeadBytes, BufferedBodyBytes: sidecar.MaxBodyBytes, StreamedBodyBytes: sidecar.MaxStreamBytes}

// Frontend speaks HTTP/1.1 with clients and servers.
type Frontend struct {
	sidecarName string // in the Host field of probes
	listen      string
	settings    sidecarconfig.Settings
	classes     map[string]int
	rewrites    rewrite.Settings
}

var _ sidecar.Frontend = (*Frontend)(nil)

// New returns a frontend for the classes of a configuration.
func New(cfg sidecarconfig.Config, rewrites rewrite.Settings) *Frontend {
	f := &Frontend{sidecarName: cfg.Name, listen: cfg.Listen, settings: cfg.Settings, classes: map[string]int{}, rewrites: rewrites}
	for i, c := range cfg.Settings.Policy.Classes {
		f.classes[c.Name] = i
	}
	return f
}

// ListenAddress implements sidecar.Frontend.
func (f *Frontend) ListenAddress() string { return f.listen }

// BackendAddress implements sidecar.Frontend: servers speak HTTP at the address in the list.
func (f *Frontend) BackendAddress(listed string) string { return listed }

// NewClient implements sidecar.Frontend.
func (f *Frontend) NewClient() sidecar.ClientCodec {
	return &clientConn{frontend: f, parser: http1.NewRequestParser(limits)}
}
