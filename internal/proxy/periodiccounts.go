package proxy

import (
	"sync"
	"time"
)

// countsLogInterval is the minimum time between two log lines of one kind of counts.
const countsLogInterval = 5 * time.Second

// periodicCounts counts events by key, to be logged at intervals. It is safe for concurrent use.
type periodicCounts[Key comparable, Counts any] struct {
	mu      sync.Mutex      // guards what follows
	counts  map[Key]*Counts // since takenAt
	takenAt time.Time
}

// newPeriodicCounts returns empty counts.
func newPeriodicCounts[Key comparable, Counts any]() *periodicCounts[Key, Counts] {
	return &periodicCounts[Key, Counts]{counts: map[Key]*Counts{}, takenAt: time.Now()}
}

// update calls add with the counts of a key under the lock.
func (p *periodicCounts[Key, Counts]) update(key Key, add func(counts *Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts[key]
	if counts == nil {
		counts = new(Counts)
		p.counts[key] = counts
	}
	add(counts)
}

// takeDue returns the counts and resets them if a log line is due. It returns nil if none is due or there was no event.
func (p *periodicCounts[Key, Counts]) takeDue(now time.Time) map[Key]*Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.counts) == 0 || now.Sub(p.takenAt) < countsLogInterval {
		return nil
	}
	counts := p.counts
	p.counts, p.takenAt = map[Key]*Counts{}, now
	return counts
}
