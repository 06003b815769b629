package sim

import (
	"hazelwheel/internal/checker"
	"hazelwheel/internal/peers"
)

// observationIntervalSeconds is the time between two checks of the processes' resources.
const observationIntervalSeconds = 0.1

// reportDescriptors reports the sidecars' open descriptors, and accepts and dials that found none free.
func (d *day) reportDescriptors() {
	for _, s := range d.sidecars {
		if s.process == nil || !s.process.IsRunning() {
			continue
		}
		held, most := s.process.Descriptors()
		if denied := s.process.DescriptorFailures(); denied > s.reportedFailures {
			most, s.reportedFailures = d.spec.MaxDescriptors+denied-s.reportedFailures, denied
		}
		if most != s.reportedDescriptors {
			s.reportedDescriptors = most
			d.observeNow(checker.Event{Kind: checker.DescriptorsCounted, Sidecar: int32(s.number), Count: int32(max(held, most))})
		}
	}
}

// reportLeftovers reports what sidecars still hold at the day's end.
func (d *day) reportLeftovers() {
	for _, s := range d.sidecars {
		if s.process == nil || !s.process.IsRunning() {
			continue
		}
		held := s.program.Leftovers()
		unsent := 0
		for _, c := range s.process.Conns() {
			if _, peer := c.Context().(*peers.Link); !peer { // they are never at rest; what waits on them is looked at all day long
				unsent += c.OutboundBuffered()
			}
		}
		held = append(held, Leftover{"dials", excess(s.process.Dialing(), idleConns)}, Leftover{"bytes that are not sent", unsent})
		for _, h := range held {
			if h.Count != 0 {
				d.observeNow(checker.Event{Kind: checker.LeftoversCounted, Sidecar: int32(s.number), Count: int32(h.Count), Text: h.Name})
			}
		}
	}
}
