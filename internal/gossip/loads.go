package gossip

import (
	"math"
	"math/rand/v2"
	"time"

	"hazelwheel/internal/message"
)

const (
	// loadRetention is the age up to which a server's load is forwarded.
	loadRetention = 1500 * time.Millisecond
	// maxLoadsPerExchange bounds the loads in one exchange.
	maxLoadsPerExchange = 200
)

// loadReports holds the loads that servers have recently reported to any proxy. It keeps the youngest report of each server, so
// the result of merging doesn't depend on order and repetition. Node.mu guards it.
type loadReports struct {
	byKey map[uint32]loadReport // by message.Load.InstanceKey
}

// loadReport is a server's load and when it was reported.
type loadReport struct {
	load       message.Load
	reportedAt time.Time
}

// merge adopts the loads that are younger than the known ones.
func (l *loadReports) merge(received []message.Load) {
	if l.byKey == nil {
		l.byKey = map[uint32]loadReport{}
	}
	now := time.Now()
	for _, load := range received {
		reportedAt := now.Add(-time.Duration(load.AgeMs) * time.Millisecond)
		if known, ok := l.byKey[load.InstanceKey]; !ok || reportedAt.After(known.reportedAt) {
			l.byKey[load.InstanceKey] = loadReport{load, reportedAt}
		}
	}
}

// recent returns the loads to send, with their ages, and drops the old ones. If there are more than maxLoadsPerExchange, it
// returns a random sample.
func (l *loadReports) recent() (out []message.Load) {
	now := time.Now()
	for key, report := range l.byKey {
		age := now.Sub(report.reportedAt)
		if age > loadRetention {
			delete(l.byKey, key)
			continue
		}
		load := report.load
		load.AgeMs = uint16(min(age.Milliseconds(), math.MaxUint16))
		out = append(out, load)
	}
	if len(out) > maxLoadsPerExchange {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:maxLoadsPerExchange]
	}
	return out
}

// SetLoads adds loads that servers reported to the proxy of this process. They spread with the next exchanges.
func (n *Node) SetLoads(received []message.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.merge(received)
}

// Loads returns the loads that servers have recently reported to any proxy.
func (n *Node) Loads() []message.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loads.recent()
}
