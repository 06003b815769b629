package swim

// Part is a sidecar's place in its fleet as its decisions are told it. It follows the live count late: a rank or a count
// moves the subset, and with it links and what is known of hosts.
type StableRank struct {
	ConfiguredRank, ConfiguredCount int // by the settings; they hold where nobody else is heard
	now, next                       spot
	since, first                    float64 // of next, and of the first that differed
	on                              bool
}

type spot struct {
	rank, count int
	told        bool // by the settings, as rank the number that they give
}

const (
	calmS  = 2.0 // for which a new place must hold
	longS  = 6.0 // after which the latest is taken even though it goes on changing
	farOff = 32  // times the settings' count, or a part of it, that the live one may be: beyond is no fleet that was planned
)

// HoldS is how long one that has died still counts.
const DeadHoldSeconds = 8.0

// NewPart returns the place that the settings tell.
func NewStableRank(self, replicas int) StableRank {
	return StableRank{ConfiguredRank: self, ConfiguredCount: replicas, now: spot{self, max(replicas, 1), true}}
}

// Now returns the place that is in force.
func (p *StableRank) Current() (rank, count int) { return p.now.rank, p.now.count }

// Told tells whether that is the settings' number among so many, and no rank among those that live.
func (p *StableRank) IsConfigured() bool { return p.now.told }

// Update takes what is seen now, and tells whether another place is in force from here on. Who sees nobody else is cut off
// and goes by its settings.
func (p *StableRank) Update(now float64, rank, count int) bool {
	alone := count <= 1
	if alone {
		rank, count = p.ConfiguredRank, max(p.ConfiguredCount, 1)
	}
	told := max(p.ConfiguredCount, 1)
	if bounded := min(max(count, (told+farOff-1)/farOff), told*farOff); bounded != count {
		rank, count = rank%bounded, bounded
	}
	next := spot{rank, count, alone}
	if next == p.now {
		p.on = false
		return false
	}
	if !p.on {
		p.on, p.first, p.since, p.next = true, now, now, next
	} else if next != p.next {
		p.next, p.since = next, now
	}
	if now-p.since < calmS && now-p.first < longS {
		return false
	}
	p.on, p.now = false, next
	return true
}
