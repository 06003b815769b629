package swim

// DeadHoldSeconds is how long a dead member still counts in ranks.
const DeadHoldSeconds = 8.0

const (
	stableSeconds   = 2.0 // how long a new rank must be stable before it is used
	maxDelaySeconds = 6.0 // how long at most a changing rank is ignored; then the latest one is used
	maxScale        = 32  // factor by which the live count may exceed the configured one or fall below it
)

// StableRank is the rank of a member and the number of ranked members, as decisions use them. It follows View.Rank with a delay, because
// a change of rank or count changes the subset of servers, which discards connections and what is known about servers. It is not safe
// for concurrent use.
type StableRank struct {
	ConfiguredRank, ConfiguredCount int // used while no other member is known
	current, candidate              rankOf
	candidateSince, divergedSince   float64 // when candidate was first observed, and since when the observed rank has differed from current
	isDiverging                     bool
}

// rankOf is a rank out of a count.
type rankOf struct {
	rank, count  int
	isConfigured bool
}

// NewStableRank returns the configured rank and count.
func NewStableRank(rank, count int) StableRank {
	return StableRank{ConfiguredRank: rank, ConfiguredCount: count, current: rankOf{rank, max(count, 1), true}}
}

// Current returns the rank and count to use.
func (r *StableRank) Current() (rank, count int) { return r.current.rank, r.current.count }

// IsConfigured reports whether Current returns the configured values.
func (r *StableRank) IsConfigured() bool { return r.current.isConfigured }

// Update records the observed rank and count, and reports whether Current changed. A member that knows no other one (a count of 1) uses
// its configured values.
func (r *StableRank) Update(now float64, rank, count int) bool {
	isAlone := count <= 1
	configured := max(r.ConfiguredCount, 1)
	if isAlone {
		rank, count = r.ConfiguredRank, configured
	}
	if bounded := min(max(count, (configured+maxScale-1)/maxScale), configured*maxScale); bounded != count {
		rank, count = rank%bounded, bounded
	}
	next := rankOf{rank, count, isAlone}
	if next == r.current {
		r.isDiverging = false
		return false
	}
	if !r.isDiverging {
		r.isDiverging, r.divergedSince, r.candidateSince, r.candidate = true, now, now, next
	} else if next != r.candidate {
		r.candidate, r.candidateSince = next, now
	}
	if now-r.candidateSince < stableSeconds && now-r.divergedSince < maxDelaySeconds {
		return false
	}
	r.isDiverging, r.current = false, next
	return true
}
