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

// Checkpoint appends the policy's state, of at most so many bytes; false: it is larger.
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

// HostNames iterates over all servers that are known.
func (c captureSource) HostNames() iter.Seq2[uint32, string] { return c.endpoints.Names }

// RequestLabels iterates over the requests that the policy may still refer to, in order of their IDs.
func (c captureSource) RequestLabels() iter.Seq2[uint32, capture.Label] {
	return func(yield func(uint32, capture.Label) bool) {
		for _, id := range slices.Sorted(maps.Keys(c.requests.byID)) {
			if !yield(id, c.requests.byID[id].label()) {
				return
			}
		}
	}
}

// label returns the names by which clients and operators know a request.
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

// flushCapture writes what is new to the capture's files, periodically.
func (s *Sidecar) flushCapture() {
	s.capture.Flush()
	s.timers.schedule(s.now()+captureFlushIntervalSeconds, s.flushCapture)
}

// DumpCapture returns the capture's segments as text, empty if there is no capture.
func (s *Sidecar) DumpCapture() []byte {
	if s.capture == nil {
		return nil
	}
	return s.capture.Dump(s.now())
}

// Close ends what is written in the background. It is called after the event loop has ended.
func (s *Sidecar) Close() {
	s.closeQuotas()
	s.capture.Close()
}
