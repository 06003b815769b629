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
		current, peak := s.process.Descriptors()
		if failures := s.process.DescriptorFailures(); failures > s.reportedFailures {
			peak, s.reportedFailures = d.spec.MaxDescriptors+failures-s.reportedFailures, failures
		}
		if peak != s.reportedDescriptors {
			s.reportedDescriptors = peak
			d.observeNow(checker.Event{Kind: checker.DescriptorsCounted, Sidecar: int32(s.number), Count: int32(max(current, peak))})
		}
	}
}

// reportLeftovers reports the resources that sidecars still use at the day's end.
func (d *day) reportLeftovers() {
	for _, s := range d.sidecars {
		if s.process == nil || !s.process.IsRunning() {
			continue
		}
		leftovers := s.program.Leftovers()
		unsent := 0
		for _, c := range s.process.Conns() {
			if _, peer := c.Context().(*peers.Link); !peer { // they are never idle; checkPeerQueues checks their queues
				unsent += c.OutboundBuffered()
			}
		}
		leftovers = append(leftovers, Leftover{"dials", excess(s.process.Dialing(), idleConns)}, Leftover{"bytes that are not sent", unsent})
		for _, leftover := range leftovers {
			if leftover.Count != 0 {
				d.observeNow(checker.Event{Kind: checker.LeftoversCounted, Sidecar: int32(s.number), Count: int32(leftover.Count), Text: leftover.Name})
			}
		}
	}
}
