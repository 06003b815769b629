package gossip

import (
	"math"
	"math/rand/v2"
	"time"

	"hazelwheel/internal/message"
)

const (
	// loadsFor is how long what a server told of its load is passed on.
	loadsFor = 1500 * time.Millisecond
	// loadsMost bounds the loads that go with one exchange.
	loadsMost = 200
)

// loads is what servers told any proxy of their load lately. The youngest word on a server counts, so that pictures merge in any
// order and any number of times.
type loads struct {
	heard map[uint32]heardLoad
}

type heardLoad struct {
	load message.Load
	at   time.Time
}

// merge takes what a peer or the own proxy told.
func (l *loads) merge(told []message.Load) {
	if l.heard == nil {
		l.heard = map[uint32]heardLoad{}
	}
	now := time.Now()
	for _, load := range told {
		at := now.Add(-time.Duration(load.AgeMs) * time.Millisecond)
		if known, ok := l.heard[load.InstanceKey]; !ok || at.After(known.at) {
			l.heard[load.InstanceKey] = heardLoad{load, at}
		}
	}
}

// young returns the loads to pass on, and forgets the old ones.
func (l *loads) young() (out []message.Load) {
	now := time.Now()
	for key, heard := range l.heard {
		age := now.Sub(heard.at)
		if age > loadsFor {
			delete(l.heard, key)
			continue
		}
		load := heard.load
		load.AgeMs = uint16(min(age.Milliseconds(), math.MaxUint16))
		out = append(out, load)
	}
	if len(out) > loadsMost {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:loadsMost]
	}
	return out
}

// SetLoads takes what the own proxy was told by servers.
func (n *Node) SetLoads(told []message.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads.merge(told)
}

// Loads returns what servers told any proxy lately.
func (n *Node) Loads() []message.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loads.young()
}
