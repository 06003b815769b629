package stages

import "math"

const (
	// decodeTarget is the fraction of their slots and KV cache that decode servers should use if no server reports its prefill
	// load.
	decodeTarget = 0.42
	// prefillSaturation and decodeSaturation are the utilizations at which the two stages count as equally loaded: the fraction of
	// time that prefill servers are busy, and the fraction of slots and KV cache that decode servers use. Above them waits grow
	// fast.
	prefillSaturation = 0.75
	decodeSaturation  = 0.6
	// The split is rebalanced if the utilization of a stage, relative to its saturation, reaches pressureThreshold. Above
	// urgentThreshold that is urgent.
	pressureThreshold = 0.5
	urgentThreshold   = 0.9
	// minPerStage is the least number of servers of each stage, if there are at least twice as many servers in total.
	minPerStage = 2
	// idlePrefillFraction is the fraction of prefill servers of a service that never had demand. The first prompts need full
	// prefill, since no prefix is cached, and few answers are in progress yet; decode servers can do prefill, too.
	idlePrefillFraction = 0.65
	// idleDelaySeconds is for how long proxies must have reported no demand before that split is ordered.
	idleDelaySeconds = 1.5
)

// DesiredPrefillServers returns how many of n servers should do prefill: all those that answers in progress do not need. It
// returns -1 if there is no demand for prefill. It is used if no server reports its prefill load, since then the slots and KV
// cache that answers need are known but the speed of prefill is not.
func DesiredPrefillServers(n int, slots, kvTokens float64, demand Demand) int {
	if demand.PrefillTokensPerSecond < 1 || slots <= 0 {
		return -1
	}
	decodeServers := demand.decodeLoad(slots, kvTokens) / decodeTarget
	return clampPrefillServers(n, n-int(math.Ceil(decodeServers)))
}

// BalancedPrefillServers returns how many of n servers should do prefill so that both stages are equally close to saturation.
// Loads are given as numbers of busy servers.
func BalancedPrefillServers(n int, prefillLoad, decodeLoad float64) int {
	prefill, decode := prefillLoad/prefillSaturation, decodeLoad/decodeSaturation
	return clampPrefillServers(n, int(math.Round(float64(n)*prefill/(prefill+decode))))
}

// clampPrefillServers returns the number of prefill servers closest to the given one that leaves each stage at least minPerStage
// of n servers.
func clampPrefillServers(n, prefillServers int) int {
	minServers := min(minPerStage, n/2)
	return min(max(prefillServers, minServers), n-minServers)
}

// utilization is the load of each stage as a fraction of its saturation.
type utilization struct {
	prefill, decode float64
}

func (u utilization) highest() float64 { return max(u.prefill, u.decode) }

// desiredPrefill returns the desired number of prefill servers, or -1 if the split should not be changed, and whether a change is
// urgent.
func (p *Planner) desiredPrefill(now float64, service *Service, demand *Demand, slots float64, prefillServers, decodeServers int) (int, bool) {
	n := prefillServers + decodeServers
	if p.isIdle(now, service.Name, demand) {
		return int(math.Round(idlePrefillFraction * float64(n))), true
	}
	if demand.PrefillLoad.Reporting == 0 || slots <= 0 || n == 0 {
		desired := DesiredPrefillServers(n, slots, service.KVTokensPerServer, *demand)
		return desired, desired > prefillServers
	}
	mean := p.prefillLoads[service.Name]
	if mean == nil {
		mean = &movingAverage{updatedAt: now, value: demand.PrefillLoad.BusyServers}
		p.prefillLoads[service.Name] = mean
	}
	prefillLoad, decodeLoad := mean.add(now, demand.PrefillLoad.BusyServers), demand.decodeLoad(slots, service.KVTokensPerServer)
	utilized := utilization{prefill: prefillLoad / prefillSaturation / float64(max(prefillServers, 1)),
		decode: decodeLoad / decodeSaturation / float64(max(decodeServers, 1))}
	if utilized.highest() < pressureThreshold {
		return -1, false
	}
	return BalancedPrefillServers(n, prefillLoad, decodeLoad), utilized.highest() > urgentThreshold
}

// isIdle reports whether a service never had demand and proxies have reported that for a while. Without reports from proxies,
// requests may be in progress, so the service does not count as idle.
func (p *Planner) isIdle(now float64, service string, demand *Demand) bool {
	if !demand.isZero() {
		p.hadDemand[service] = true
	}
	if p.hadDemand[service] || demand.Reports == 0 {
		delete(p.idleSince, service)
		return false
	}
	since, known := p.idleSince[service]
	if !known {
		p.idleSince[service] = now
		return false
	}
	return now-since >= idleDelaySeconds
}
