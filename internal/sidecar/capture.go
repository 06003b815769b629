package sidecar

import (
	"iter"
	"os"
	"time"

	"hazelwheel/internal/capture"
)

// captureFlushS is the time between two looks at what the capture's files have not been given yet.
const captureFlushS = 0.2

// witness is what the capture asks of the sidecar.
type witness struct{ *Sidecar }

var _ capture.Source = witness{}

// Checkpoint asks the decisions for their state.
func (w witness) Checkpoint(dst []byte, most int) ([]byte, bool) {
	return w.balancer.Checkpoint(dst, most)
}

// HostName names a server.
func (w witness) HostName(id uint32) string {
	if h := w.hosts.Host(id); h != nil {
		return h.Name
	}
	return ""
}

// HostNames names all servers that are known.
func (w witness) HostNames() iter.Seq2[uint32, string] { return w.hosts.Names }

// RequestLabels names the requests that the decisions may still speak of.
func (w witness) RequestLabels() iter.Seq2[uint32, capture.Label] {
	return func(yield func(uint32, capture.Label) bool) {
		for id, r := range w.requests {
			if !yield(id, r.label()) {
				return
			}
		}
	}
}

// label is how a request is called outside.
func (r *request) label() capture.Label { return capture.Label{ID: r.name, Class: r.class} }

// noteFor notes a decision about a request.
func (s *Sidecar) noteFor(id uint32, d capture.Decision) {
	if s.capture == nil {
		return
	}
	if r := s.requests[id]; r != nil {
		d.ID, d.Class = r.name, r.class
	}
	d.Request = id
	s.capture.Decide(d)
}

// flushCapture hands what is new to the capture's files, again and again.
func (s *Sidecar) flushCapture() {
	s.capture.Flush()
	s.timers.at(s.clock.now()+captureFlushS, s.flushCapture)
}

// heedDumps writes the capture to standard error at each signal, one dump at a time. Danger: whoever reads that may be
// slow; so the loop makes a copy and goes on.
func (s *Sidecar) heedDumps() {
	for range s.dumps {
		s.dumping.Lock()
		text := make(chan []byte, 1)
		s.post(func() { text <- s.capture.Dump(s.clock.now()) })
		select {
		case dump := <-text:
			if err := capture.Write(os.Stderr, dump); err != nil {
				s.log.Error("capture can't be written", "error", err)
			}
		case <-s.over: // the event loop has gone
		}
		s.dumping.Unlock()
	}
}

// dumpWithinS is how long a dump may go on once the event loop has gone.
const dumpWithinS = 2

// endCapture ends the capture once the event loop has gone: what is being written is written to its end, unless nobody
// reads it.
func (s *Sidecar) endCapture() {
	close(s.over)
	s.capture.Close()
	idle := make(chan struct{})
	go func() {
		s.dumping.Lock()
		close(idle)
	}()
	select {
	case <-idle:
	case <-time.After(dumpWithinS * time.Second):
	}
}
