package sidecar

import (
	"iter"
	"maps"
	"slices"

	"hazelwheel/internal/capture"
)

// captureFlushS is the time between two looks at what the capture's files have not been given yet.
const captureFlushIntervalSeconds = 0.2

// witness is what the capture asks of the sidecar.
type captureSource struct{ *Sidecar }

var _ capture.Source = captureSource{}

// Checkpoint asks the decisions for their state.
func (w captureSource) Checkpoint(dst []byte, most int) ([]byte, bool) {
	return w.balancer.Checkpoint(dst, most)
}

// HostName names a server.
func (w captureSource) HostName(id uint32) string {
	if h := w.endpoints.Host(id); h != nil {
		return h.Name
	}
	return ""
}

// HostNames names all servers that are known.
func (w captureSource) HostNames() iter.Seq2[uint32, string] { return w.endpoints.Names }

// RequestLabels names the requests that the decisions may still speak of.
func (w captureSource) RequestLabels() iter.Seq2[uint32, capture.Label] {
	return func(yield func(uint32, capture.Label) bool) {
		for _, id := range slices.Sorted(maps.Keys(w.requests.byID)) {
			if !yield(id, w.requests.byID[id].label()) {
				return
			}
		}
	}
}

// label is how a request is called outside.
func (r *request) label() capture.Label { return capture.Label{ID: r.clientID, Class: r.className} }

// noteFor notes a decision about a request.
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

// flushCapture hands what is new to the capture's files, again and again.
func (s *Sidecar) flushCapture() {
	s.capture.Flush()
	s.timers.schedule(s.now()+captureFlushIntervalSeconds, s.flushCapture)
}

// DumpCapture returns the capture's segments as text, empty where there is none. It is for the loop.
func (s *Sidecar) DumpCapture() []byte {
	if s.capture == nil {
		return nil
	}
	return s.capture.Dump(s.now())
}

// HandleEOF ends what is written beside the loop once the loop has gone.
func (s *Sidecar) Close() {
	s.closeQuotas()
	s.capture.Close()
}
