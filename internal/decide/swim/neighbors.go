package swim

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Want asks for links to these members, beside the neighbours on the rings and in place of what was asked for before; what is
// beyond 16 is left out. Who is gone gets none until it lives again.
func (v *View) RequestLinks(now float64, ids []ID) {
	v.advanceClock(now)
	if ids = ids[:min(len(ids), maxRequestedLinks)]; !slices.Equal(ids, v.requested) {
		v.requested, v.neighborsStale = slices.Clone(ids), true
	}
	v.finishEvent()
}

// choose takes the neighbours on the rings, on each the next one after this member, and those that Want has asked for. Those that
// are suspected are watched on, and the next one beside them, so that a fleet that loses many at once is joined again soon.
func (v *View) chooseNeighbors() {
	for _, e := range v.neighbors {
		if e.State.IsDeadOrLeft() {
			e.watchedUntil = 0
		}
		e.isNeighbor = false
	}
	v.neighbors = v.neighbors[:0]
	if v.lostIdentity || v.hasLeft {
		v.nearestLive = noNeighbors
		return
	}
	var suspected []*entry // by ID
	for _, e := range v.active {
		if e.State == Suspect {
			suspected = append(suspected, e)
		}
	}
	slices.SortFunc(suspected, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	for ring := range ringCount {
		own := ringPosition(v.self.ID, ring)
		after := math.Inf(1) // of the first that is not suspected
		dist := func(id ID) float64 { return float64(ringPosition(id, ring) - own) }
		var next *entry
		for i, id := range v.ids {
			if d := dist(id); d < after {
				if e := v.entries[i]; e.State == Alive && e != v.self {
					next, after = e, d
				}
			}
		}
		v.nearestLive[ring] = after
		passed := 0
		wantNext := func(before *entry) { // in the order of IDs
			if next != nil && (before == nil || next.ID < before.ID) {
				v.addNeighbor(next)
				next = nil
			}
		}
		for _, e := range suspected {
			if dist(e.ID) < after && passed < ringCount {
				passed++
				wantNext(e)
				v.addNeighbor(e)
			}
		}
		wantNext(nil)
	}
	for _, id := range v.requested {
		if e := v.byID[id]; e != nil && e != v.self && !e.State.IsDeadOrLeft() {
			v.addNeighbor(e)
		}
	}
}

// want has a link kept to one.
func (v *View) addNeighbor(e *entry) {
	if !e.isNeighbor {
		v.restartSilence(e)
		e.isNeighbor = true
		v.neighbors = append(v.neighbors, e)
	}
	v.activate(e)
}

// await has one that is to be a neighbour, and to whom there is no link, have its time anew.
func (v *View) restartSilence(e *entry) {
	if e.link == nil && v.now >= e.watchedUntil {
		e.lastHeard, e.nextDial, e.failedDials = v.now, v.now, 0
	}
}

var noNeighbors = func() (d [ringCount]float64) {
	for i := range d {
		d[i] = math.Inf(1)
	}
	return d
}()

// near tells whether a change of one can change who the neighbours are: on some ring it is no farther than the next one that is
// not suspected. Danger: chosen anew with each change, a fleet that forms costs by the cube of its size.
func (v *View) affectsNeighbors(e *entry) bool {
	if slices.Contains(v.requested, e.ID) {
		return true
	}
	for ring := range ringCount {
		if float64(ringPosition(e.ID, ring)-ringPosition(v.self.ID, ring)) <= v.nearestLive[ring] {
			return true
		}
	}
	return false
}

// ringOrder is a member's place on a ring.
func ringPosition(id ID, ring int) uint64 {
	return mix(uint64(id) + bits.RotateLeft64(0x9e3779b97f4a7c15, 11*ring))
}
