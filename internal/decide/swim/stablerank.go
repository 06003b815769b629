package swim

// Part is a sidecar's place in its fleet as its decisions are told it. It follows the live count late: a rank or a count
// moves the subset, and with it links and what is known of hosts.
type StableRank struct {
	ConfiguredRank, ConfiguredCount int // by the settings; they hold where nobody else is heard
	current, candidate              rankOf
	candidateSince, divergedSince   float64 // of next, and of the first that differed
	isDiverging                     bool
}

type rankOf struct {
	rank, count  int
	isConfigured bool // by the settings, as rank the number that they give
}

const (
	stableSeconds   = 2.0 // for which a new place must hold
	maxDelaySeconds = 6.0 // after which the latest is taken even though it goes on changing
	maxScale        = 32  // times the settings' count, or a part of it, that the live one may be: beyond is no fleet that was planned
)

// HoldS is how long one that has died still counts.
const DeadHoldSeconds = 8.0

// NewPart returns the place that the settings tell.
func NewStableRank(self, replicas int) StableRank {
	return StableRank{ConfiguredRank: self, ConfiguredCount: replicas, current: rankOf{self, max(replicas, 1), true}}
}

// Now returns the place that is in force.
func (p *StableRank) Current() (rank, count int) { return p.current.rank, p.current.count }

// Told tells whether that is the settings' number among so many, and no rank among those that live.
func (p *StableRank) IsConfigured() bool { return p.current.isConfigured }

// Update takes what is seen now, and tells whether another place is in force from here on. Who sees nobody else is cut off
// and goes by its settings.
func (p *StableRank) Update(now float64, rank, count int) bool {
	alone := count <= 1
	if alone {
		rank, count = p.ConfiguredRank, max(p.ConfiguredCount, 1)
	}
	told := max(p.ConfiguredCount, 1)
	if bounded := min(max(count, (told+maxScale-1)/maxScale), told*maxScale); bounded != count {
		rank, count = rank%bounded, bounded
	}
	next := rankOf{rank, count, alone}
	if next == p.current {
		p.isDiverging = false
		return false
	}
	if !p.isDiverging {
		p.isDiverging, p.divergedSince, p.candidateSince, p.candidate = true, now, now, next
	} else if next != p.candidate {
		p.candidate, p.candidateSince = next, now
	}
	if now-p.candidateSince < stableSeconds && now-p.divergedSince < maxDelaySeconds {
		return false
	}
	p.isDiverging, p.current = false, next
	return true
}
