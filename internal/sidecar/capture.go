package sidecar

import (
	"iter"
	"maps"
	"slices"

	"hazelwheel/internal/capture"
)

// captureFlushIntervalSeconds is the time between two flushes of the capture to its files.
const captureFlushIntervalSeconds = 0.2

// captureSource implements capture.Source.
type captureSource struct{ *Sidecar }

var _ capture.Source = captureSource{}

// Checkpoint appends the policy's state to dst, or returns false if it is larger than maxBytes.
func (c captureSource) Checkpoint(dst []byte, maxBytes int) ([]byte, bool) {
	return c.balancer.Checkpoint(dst, maxBytes)
}

// HostName returns a server's name, empty if it is unknown.
func (c captureSource) HostName(id uint32) string {
	if h := c.endpoints.Host(id); h != nil {
		return h.Name
	}
	return ""
}

// HostNames iterates over the names of all known servers.
func (c captureSource) HostNames() iter.Seq2[uint32, string] { return c.endpoints.Names }

// RequestLabels iterates over the labels of the requests that the policy may still refer to, in order of their IDs.
func (c captureSource) RequestLabels() iter.Seq2[uint32, capture.Label] {
	return func(yield func(uint32, capture.Label) bool) {
		for _, id := range slices.Sorted(maps.Keys(c.requests.byID)) {
			if !yield(id, c.requests.byID[id].label()) {
				return
			}
		}
	}
}

// label returns a request's client ID and class, which identify it to clients and operators.
func (r *request) label() capture.Label { return capture.Label{ID: r.clientID, Class: r.className} }

// recordDecision records a decision about a request in the capture.
func (s *Sidecar) recordDecision(id uint32, d capture.Decision) {
	if s.capture == nil {
		return
	}
	if r := s.requests.byID[id]; r != nil {
		d.ID, d.Class = r.clientID, r.className
	}
	d.Request = id
	s.capture.RecordDecision(d)
}

// flushCapture periodically writes new records to the capture's files.
func (s *Sidecar) flushCapture() {
	s.capture.Flush()
	s.timers.schedule(s.now()+captureFlushIntervalSeconds, s.flushCapture)
}

// DumpCapture returns the capture's segments as text, nil if capture is off.
func (s *Sidecar) DumpCapture() []byte {
	if s.capture == nil {
		return nil
	}
	return s.capture.Dump(s.now())
}

// Close writes the last quota snapshot and closes the capture. It must be called after the event loop has ended.
func (s *Sidecar) Close() {
	s.closeQuotas()
	s.capture.Close()
}
