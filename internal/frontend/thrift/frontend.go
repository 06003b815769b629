// Package thrift is the front that speaks framed Thrift, in the binary and the compact protocol: its client connections, the calls
// that go on to servers, and its probes. A call goes on in the encoding in which it came.
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

// mostFrame bounds a message, as an HTTP one's body.
const maxFrameBytes = sidecar.MaxBodyBytes

// Front speaks Thrift as the operators' file says.
type Frontend struct {
	sidecarName  string // of this sidecar
	settings     sidecarconfig.Settings
	config       featureconfig.Thrift
	methods      map[string]*class
	lastSequence int32  // of the last attempt
	generatedIDs uint64 // ids for calls that bring none
}

// class is what the calls of one class have in common.
type class struct {
	featureconfig.ThriftClass
	policy.Class
	index int
	paths []thrift.Path // of id, key, patience and the mark of a retry
}

var _ sidecar.Frontend = (*Frontend)(nil)

// New returns a front for the classes of a configuration.
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

// ListenAddress returns where clients come.
func (f *Frontend) ListenAddress() string { return f.config.Listen }

// BackendAddress returns where a listed server speaks Thrift.
func (f *Frontend) BackendAddress(listed string) string {
	if f.config.Port == 0 {
		return listed
	}
	if host, _, err := net.SplitHostPort(listed); err == nil {
		return net.JoinHostPort(host, strconv.Itoa(f.config.Port))
	}
	return listed
}

// NewClient returns a link that has read nothing.
func (f *Frontend) NewClient() sidecar.ClientCodec { return &clientConn{front: f} }

// id returns one of the sidecar's own for a call that brings none. It is for logs and captures alone.
func (f *Frontend) generateID() string {
	f.generatedIDs++
	return fmt.Sprintf("%s-thrift-%d", f.sidecarName, f.generatedIDs)
}

// number returns the next attempt's sequence number. Danger: a backend connection carries one call at a time, but what comes late
// of an earlier one must not be taken for this one's.
func (f *Frontend) nextSequence() int32 {
	f.lastSequence++
	return f.lastSequence
}
