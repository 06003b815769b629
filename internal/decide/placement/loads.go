package placement

import (
	"math"

	"hazelwheel/internal/message"
)

// RecordLoad records the load that a server has reported to this proxy: the numbers of running and waiting requests.
func (e *Endpoint) RecordLoad(now float64, running, waiting int) {
	e.engine.setLoad(now, running, waiting)
	e.engine.hasNewLoad = true
}

// setLoad sets the load that a server had at the given time.
func (v *engineState) setLoad(at float64, running, waiting int) {
	v.running, v.waiting, v.loadReportedAt = running, waiting, at
}

// MergeLoads applies loads that servers have reported to other proxies, if they are newer than the known ones.
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

// TakeNewLoads returns the loads that members have reported to this proxy since the last call, to be forwarded to other proxies.
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

// clampUint16 returns a count, limited to the range of uint16.
func clampUint16(count int) uint16 { return uint16(min(max(count, 0), math.MaxUint16)) }
