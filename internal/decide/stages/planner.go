package stages

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"hazelwheel/internal/message"
)

const (
	// minImbalance is the smallest difference from the desired number of prefill servers that leads to changes, as a fraction of
	// all servers.
	minImbalance = 0.06
	// urgentDelaySeconds and normalDelaySeconds are for how long a change in one direction must have been desired if it is urgent
	// (a stage is near saturation) and if it is not.
	urgentDelaySeconds = 0.8
	normalDelaySeconds = 6.0
	// urgentStep and normalStep are the fractions of the difference that are moved in one round of changes.
	urgentStep = 0.7
	normalStep = 0.5
	// maxChangingFraction is the fraction of a stage's servers that may change in one round.
	maxChangingFraction = 0.34
	// pendingMarginSeconds is added to the time that a change takes. It covers the end of answers in progress and the delay until
	// the platform's list shows the change.
	pendingMarginSeconds = 10
	// minRoundIntervalSeconds is the least time between two rounds of changes of a service. Answers take seconds, so the effect of
	// fewer decode servers shows with a delay.
	minRoundIntervalSeconds = 2.5
)

// Service is a service with its servers, as listed by the platform.
type Service struct {
	Name              string
	SwitchSeconds     float64 // how long a change of the stage takes
	KVTokensPerServer float64 // tokens that one server's KV cache holds; 0 if unknown
	Instances         []message.Instance
}

// StageChange is a change of one server's stage.
type StageChange struct {
	Instance message.Instance
	Stage    message.Stage // the new stage
}

// pendingChange is a change that was ordered but is not shown by the platform's list yet.
type pendingChange struct {
	stage     message.Stage
	expiresAt float64
}

// direction is the direction of the desired change and the time since when it is desired.
type direction struct {
	morePrefill bool
	since       float64
}

// Planner plans the stage changes of all services. Only the holder of the lease for this role runs one.
type Planner struct {
	pending      map[string]pendingChange  // by instance
	directions   map[string]direction      // by service
	lastRoundAt  map[string]float64        // by service; when changes were last ordered
	prefillLoads map[string]*movingAverage // by service; average number of busy prefill servers
	idleSince    map[string]float64        // by service that never had demand; since when proxies report no demand
	hadDemand    map[string]bool           // by service
}

// New returns a planner without pending changes.
func New() *Planner {
	return &Planner{pending: map[string]pendingChange{}, directions: map[string]direction{}, lastRoundAt: map[string]float64{},
		prefillLoads: map[string]*movingAverage{}, idleSince: map[string]float64{}, hadDemand: map[string]bool{}}
}

// AdoptPending takes over the pending changes of the previous lease holder, by instance, so that they are not ordered again.
func (p *Planner) AdoptPending(now float64, changes map[string]message.Stage) {
	for id, stage := range changes {
		if _, known := p.pending[id]; !known {
			p.pending[id] = pendingChange{stage, now + pendingMarginSeconds}
		}
	}
}

// Pending returns the new stages of the servers with pending changes, by instance.
func (p *Planner) Pending(now float64) map[string]message.Stage {
	out := map[string]message.Stage{}
	for id, change := range p.pending {
		if now <= change.expiresAt {
			out[id] = change.stage
		}
	}
	return out
}

// HandleRejected withdraws a pending change that a server has rejected or that could not be ordered.
func (p *Planner) HandleRejected(change StageChange) { delete(p.pending, change.Instance.ID) }

// PlanChanges returns the changes of a service to be ordered now. They are pending from then on. It should be called several
// times a second. The caller must report changes that could not be ordered to HandleRejected.
func (p *Planner) PlanChanges(now float64, service Service, demand Demand) []StageChange {
	var prefillServers, decodeServers []message.Instance
	slots := 0.0
	for _, instance := range service.Instances {
		if instance.Draining {
			continue
		}
		slots = max(slots, float64(instance.Slots))
		switch p.stageOf(now, &instance) {
		case message.Prefill:
			prefillServers = append(prefillServers, instance)
		case message.Decode:
			decodeServers = append(decodeServers, instance)
		}
	}
	n := len(prefillServers) + len(decodeServers)
	desired, isUrgent := p.desiredPrefill(now, &service, &demand, slots, len(prefillServers), len(decodeServers))
	missing := desired - len(prefillServers)
	if desired < 0 || math.Abs(float64(missing)) < max(1, minImbalance*float64(n)) {
		delete(p.directions, service.Name)
		return nil
	}
	last, hasLast := p.lastRoundAt[service.Name]
	if !p.hasPersisted(now, service.Name, missing > 0, isUrgent) || hasLast && now-last < minRoundIntervalSeconds {
		return nil
	}
	p.lastRoundAt[service.Name] = now
	// The demand is known only with a delay and a peak may pass, so only a part of the difference is moved. The rest follows if
	// the difference lasts.
	step := normalStep
	if isUrgent {
		step = urgentStep
	}
	count := int(math.Ceil(step * math.Abs(float64(missing))))
	if missing > 0 {
		return p.chooseServers(now, service, decodeServers, prefillServers, count, message.Prefill)
	}
	return p.chooseServers(now, service, prefillServers, decodeServers, count, message.Decode)
}

// stageOf returns the stage that a server has or, if a change is pending, will have. It forgets changes that are complete or have
// expired.
func (p *Planner) stageOf(now float64, instance *message.Instance) message.Stage {
	change, ok := p.pending[instance.ID]
	if !ok {
		return instance.Stage
	}
	if now > change.expiresAt || change.stage == instance.Stage {
		delete(p.pending, instance.ID)
		return instance.Stage
	}
	return change.stage
}

// hasPersisted reports whether a change in the given direction has been desired for long enough.
func (p *Planner) hasPersisted(now float64, service string, morePrefill, isUrgent bool) bool {
	known, ok := p.directions[service]
	if !ok || known.morePrefill != morePrefill {
		p.directions[service] = direction{morePrefill, now}
		return false
	}
	if isUrgent {
		return now-known.since >= urgentDelaySeconds
	}
	return now-known.since >= normalDelaySeconds
}

// chooseServers chooses up to count servers to move from one stage to another, preferably in the zones where the other stage has
// the fewest servers.
func (p *Planner) chooseServers(now float64, service Service, from, to []message.Instance, count int, stage message.Stage) (changes []StageChange) {
	count = min(count, max(int(maxChangingFraction*float64(len(from))), 1), len(from)-min(minPerStage, len(from)))
	perZone := map[string]int{}
	for _, instance := range to {
		perZone[instance.Zone]++
	}
	from = slices.Clone(from)
	for range count {
		best := slices.MinFunc(from, func(a, b message.Instance) int {
			return cmp.Or(cmp.Compare(p.pendingCount(now, &a), p.pendingCount(now, &b)), cmp.Compare(perZone[a.Zone], perZone[b.Zone]),
				cmp.Compare(hashID(a.ID), hashID(b.ID)))
		})
		if p.pendingCount(now, &best) > 0 {
			return changes
		}
		from = slices.DeleteFunc(from, func(i message.Instance) bool { return i.ID == best.ID })
		perZone[best.Zone]++
		p.pending[best.ID] = pendingChange{stage, now + service.SwitchSeconds + pendingMarginSeconds}
		changes = append(changes, StageChange{best, stage})
	}
	return changes
}

// hashID returns a hash by which servers are ordered, so that servers which change together are not neighbours in the subsets of
// proxies, which are ordered by ID.
func hashID(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // never fails
	return hash.Sum64()
}

// pendingCount returns 1 for a server with a pending change, otherwise 0.
func (p *Planner) pendingCount(now float64, instance *message.Instance) int {
	if change, ok := p.pending[instance.ID]; ok && now <= change.expiresAt {
		return 1
	}
	return 0
}
