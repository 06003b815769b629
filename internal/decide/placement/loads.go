package placement

import (
	"math"

	"hazelwheel/internal/message"
)

// RecordLoad records the load that a server has reported to this proxy: requests running and waiting.
func (e *Endpoint) RecordLoad(now float64, running, waiting int) {
	e.engine.setLoad(now, running, waiting)
	e.engine.hasNewLoad = true
}

// setLoad sets the load that a server had at a time.
func (v *engineState) setLoad(at float64, running, waiting int) {
	v.running, v.waiting, v.loadReportedAt = running, waiting, at
}

// MergeLoads adopts loads that servers have reported to other proxies, where they are younger.
func (p *Pool) MergeLoads(now float64, loads []message.Load) {
	if len(loads) == 0 || !p.Engine.IsPresent {
		return
	}
	byKey := make(map[uint32]message.Load, len(loads))
	for _, load := range loads {
		byKey[load.InstanceKey] = load
	}
	for _, e := range p.endpoints {
		load, ok := byKey[e.loadKey]
		if at := now - float64(load.AgeMs)/1000; ok && at > e.engine.loadReportedAt {
			e.engine.setLoad(at, int(load.Running), int(load.Waiting))
		}
	}
}

// TakeNewLoads returns the loads that members have reported to this proxy since the last call.
func (p *Pool) TakeNewLoads(now float64) (loads []message.Load) {
	for _, e := range p.members {
		if !e.engine.hasNewLoad {
			continue
		}
		e.engine.hasNewLoad = false
		age := min(max(now-e.engine.loadReportedAt, 0)*1000, math.MaxUint16)
		loads = append(loads, message.Load{InstanceKey: e.loadKey, Running: clampUint16(e.engine.running),
			Waiting: clampUint16(e.engine.waiting), AgeMs: uint16(age)})
	}
	return loads
}

// clampUint16 returns a count, or the bound of its type that it exceeds.
func clampUint16(count int) uint16 { return uint16(min(max(count, 0), math.MaxUint16)) }
