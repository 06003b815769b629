// Package thrift is the frontend for framed Thrift, in the binary and the compact protocol: its client connections, the calls that it
// forwards to servers, and its probes. A call is forwarded in the encoding in which it came.
package thrift

import (
	"fmt"
	"net"
	"strconv"

	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/sidecar"
	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/internal/thrift"
	"hazelwheel/policy"
)

// maxFrameBytes limits a message to the size of a buffered HTTP body.
const maxFrameBytes = sidecar.MaxBodyBytes

// Frontend speaks Thrift with clients and servers.
type Frontend struct {
	sidecarName  string // part of generated IDs
	settings     sidecarconfig.Settings
	config       featureconfig.Thrift
	methods      map[string]*class
	lastSequence int32  // sequence number of the last attempt
	generatedIDs uint64 // how many IDs were generated, for calls without one
}

// class is the configuration of the calls of one class.
type class struct {
	featureconfig.ThriftClass
	policy.Class
	index int
	paths []thrift.Path // of the ID, the idempotency key, the time-out and the retry flag, in this order
}

var _ sidecar.Frontend = (*Frontend)(nil)

// New returns a frontend for the classes of a configuration.
func New(cfg sidecarconfig.Config, config featureconfig.Thrift) *Frontend {
	f := &Frontend{sidecarName: cfg.Name, settings: cfg.Settings, config: config, methods: map[string]*class{}}
	for _, t := range config.Classes {
		for i, c := range cfg.Settings.Policy.Classes {
			if c.Name != t.Class {
				continue
			}
			served := &class{ThriftClass: t, Class: c, index: i, paths: []thrift.Path{t.ID, t.Key, t.Patience, t.Retry}}
			for _, name := range t.Methods {
				f.methods[name] = served
			}
		}
	}
	return f
}

// ListenAddress implements sidecar.Frontend.
func (f *Frontend) ListenAddress() string { return f.config.Listen }

// BackendAddress implements sidecar.Frontend: servers speak Thrift at a port of their own if the configuration names one.
func (f *Frontend) BackendAddress(listed string) string {
	if f.config.Port == 0 {
		return listed
	}
	if host, _, err := net.SplitHostPort(listed); err == nil {
		return net.JoinHostPort(host, strconv.Itoa(f.config.Port))
	}
	return listed
}

// NewClient implements sidecar.Frontend.
func (f *Frontend) NewClient() sidecar.ClientCodec { return &clientConn{frontend: f} }

// generateID returns an ID for a call without one. It appears only in logs and captures.
func (f *Frontend) generateID() string {
	f.generatedIDs++
	return fmt.Sprintf("%s-thrift-%d", f.sidecarName, f.generatedIDs)
}

// nextSequence returns the sequence number for a new attempt. All attempts have different ones: a backend connection carries one call at a
// time, but a late reply to an earlier call must not be taken for the reply to this one.
func (f *Frontend) nextSequence() int32 {
	f.lastSequence++
	return f.lastSequence
}
