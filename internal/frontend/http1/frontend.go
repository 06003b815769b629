// Package http1 is the front that speaks HTTP/1.1: its client connections, what it passes on to servers, and its probes.
package http1

import (
	"hazelwheel/internal/http1"
	"hazelwheel/internal/rewrite"
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/sidecarconfig"
)

var limits = http1.Limits{HeadBytes: sidecar.MaxHeadBytes, BufferedBodyBytes: sidecar.MaxBodyBytes, StreamedBodyBytes: sidecar.MaxStreamBytes}

// Front speaks HTTP/1.1 as the settings say.
type Frontend struct {
	sidecarName string // of this sidecar
	listen      string
	settings    sidecarconfig.Settings
	classes     map[string]int
	rewrites    rewrite.Settings
}

var _ sidecar.Frontend = (*Frontend)(nil)

// New returns a front for the classes of a configuration.
func New(cfg sidecarconfig.Config, rewrites rewrite.Settings) *Frontend {
	f := &Frontend{sidecarName: cfg.Name, listen: cfg.Listen, settings: cfg.Settings, classes: map[string]int{}, rewrites: rewrites}
	for i, c := range cfg.Settings.Policy.Classes {
		f.classes[c.Name] = i
	}
	return f
}

// ListenAddress returns where clients come.
func (f *Frontend) ListenAddress() string { return f.listen }

// BackendAddress returns a server's address as it is listed.
func (f *Frontend) BackendAddress(listed string) string { return listed }

// NewClient returns a link that has read nothing.
func (f *Frontend) NewClient() sidecar.ClientCodec {
	return &clientConn{front: f, parser: http1.NewRequestParser(limits)}
}
