package stages

import "math"

const (
	// decodeTarget is the fraction of their slots and KV cache that decode servers are to use where no server reports its
	// prefill load.
	decodeTarget = 0.42
	// prefillSaturation and decodeSaturation are the fractions of time, and of slots and KV cache, at which servers of the
	// two stages count as equally loaded: above them waits grow fast.
	prefillSaturation = 0.75
	decodeSaturation  = 0.6
	// pressureThreshold is the utilization of a stage from which on the split is balanced, urgentThreshold the one from which
	// on that is urgent.
	pressureThreshold = 0.5
	urgentThreshold   = 0.9
	// minPerStage is the number of servers that each stage keeps, where there are twice as many.
	minPerStage = 2
	// idlePrefillFraction is the fraction of prefill servers of a service that never had demand. The first prompts need full
	// prefill, since no prefix is cached, while few answers are in progress yet; and decode servers can do prefill too.
	idlePrefillFraction = 0.65
	// idleDelaySeconds is how long there must have been no demand until that split is ordered.
	idleDelaySeconds = 1.5
)

// DesiredPrefillServers returns the number of n servers that are to do prefill: all that answers leave; -1 without demand for
// prefill. It is used where no server reports its prefill load: the slots and KV cache that answers need are known, the speed
// of prefill is not.
func DesiredPrefillServers(n int, slots, kvTokens float64, demand Demand) int {
	if demand.PrefillTokensPerSecond < 1 || slots <= 0 {
		return -1
	}
	decodeServers := demand.decodeLoad(slots, kvTokens) / decodeTarget
	return clampPrefillServers(n, n-int(math.Ceil(decodeServers)))
}

// BalancedPrefillServers returns the number of n servers that are to do prefill so that both stages are equally near to
// saturation. Loads are numbers of servers.
func BalancedPrefillServers(n int, prefillLoad, decodeLoad float64) int {
	prefill, decode := prefillLoad/prefillSaturation, decodeLoad/decodeSaturation
	return clampPrefillServers(n, int(math.Round(float64(n)*prefill/(prefill+decode))))
}

// clampPrefillServers returns the number of prefill servers nearest to the given one that leaves each stage minPerStage of n.
func clampPrefillServers(n, prefillServers int) int {
	minServers := min(minPerStage, n/2)
	return min(max(prefillServers, minServers), n-minServers)
}

// utilization is the load of each stage as a fraction of its saturation.
type utilization struct {
	prefill, decode float64
}

func (u utilization) highest() float64 { return max(u.prefill, u.decode) }

// desiredPrefill returns the desired number of prefill servers, -1 where the split is to be left alone, and whether a change
// is urgent.
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

// isIdle reports whether a service never had demand and proxies have been reporting that for a while. Danger: without
// reports of proxies requests may well be in progress.
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
