package stages

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"hazelwheel/internal/message"
)

const (
	// minImbalance is the fraction of the servers below which a difference from the desired number is ignored.
	minImbalance = 0.06
	// urgentDelaySeconds and normalDelaySeconds are how long a change in one direction must have been desired, where a stage
	// is near saturation and where none is.
	urgentDelaySeconds = 0.8
	normalDelaySeconds = 6.0
	// urgentStep and normalStep are the fractions of the difference that are moved in one round.
	urgentStep = 0.7
	normalStep = 0.5
	// maxChangingFraction is the fraction of a stage's servers that may change in one round.
	maxChangingFraction = 0.34
	// pendingMarginSeconds is added to the time that a change takes, until answers in progress have ended and the platform's
	// list shows the change.
	pendingMarginSeconds = 10
	// minRoundIntervalSeconds is the time between two rounds of changes of a service. Answers take seconds, so that the
	// effect of fewer decode servers shows late.
	minRoundIntervalSeconds = 2.5
)

// Service is a service with its servers as the platform lists them.
type Service struct {
	Name              string
	SwitchSeconds     float64 // how long a change of the stage takes
	KVTokensPerServer float64 // tokens that one server's KV cache holds, 0: unknown
	Instances         []message.Instance
}

// StageChange is a change of one server's stage.
type StageChange struct {
	Instance message.Instance
	Stage    message.Stage // the new stage
}

// pendingChange is a change that was ordered and that the platform's list does not show yet.
type pendingChange struct {
	stage     message.Stage
	expiresAt float64
}

// direction is a desired direction of change.
type direction struct {
	morePrefill bool
	since       float64
}

// Planner plans the changes of stages of all services. One process runs it at a time, the lease holder of the role.
type Planner struct {
	pending      map[string]pendingChange  // by instance
	directions   map[string]direction      // by service
	lastRoundAt  map[string]float64        // by service; when changes were last ordered
	prefillLoads map[string]*movingAverage // by service; number of busy prefill servers
	idleSince    map[string]float64        // by service; since when there is no demand, for services that never had any
	hadDemand    map[string]bool           // by service
}

// New returns a planner without pending changes.
func New() *Planner {
	return &Planner{pending: map[string]pendingChange{}, directions: map[string]direction{}, lastRoundAt: map[string]float64{},
		prefillLoads: map[string]*movingAverage{}, idleSince: map[string]float64{}, hadDemand: map[string]bool{}}
}

// AdoptPending adopts the pending changes of the lease holder before, by instance, so that they are not ordered again.
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

// HandleRejected withdraws a change that a server has rejected.
func (p *Planner) HandleRejected(change StageChange) { delete(p.pending, change.Instance.ID) }

// PlanChanges returns the changes of a service to order now. They are pending from then on. The caller calls it several
// times a second and reports changes that could not be ordered to HandleRejected.
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
	// Demand shows late and a peak may pass, so only a part of the difference is moved; the rest follows if it lasts.
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

// stageOf returns the stage of a server once its pending change is complete. It drops changes that are complete or expired.
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

// hasPersisted reports whether a change in one direction has been desired for long enough.
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

// chooseServers chooses up to count servers to move from one stage to another, in the zones where the other one has the fewest.
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

// hashID returns a hash by which servers are ordered, so that those which change together are not neighbours in the subsets
// of proxies.
func hashID(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // never fails
	return hash.Sum64()
}

// pendingCount returns 1 for a server with a pending change, else 0.
func (p *Planner) pendingCount(now float64, instance *message.Instance) int {
	if change, ok := p.pending[instance.ID]; ok && now <= change.expiresAt {
		return 1
	}
	return 0
}
