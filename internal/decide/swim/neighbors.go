package swim

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// noNeighbors is the value of View.nearestLive for a member without neighbors.
var noNeighbors = func() (distances [ringCount]float64) {
	for i := range distances {
		distances[i] = math.Inf(1)
	}
	return distances
}()

// RequestLinks requests links to members in addition to the neighbors on the rings. It replaces the earlier request. Members beyond
// maxRequestedLinks are ignored, and there is no link to a dead or left member until it is alive again.
func (v *View) RequestLinks(now float64, ids []ID) {
	v.advanceClock(now)
	if ids = ids[:min(len(ids), maxRequestedLinks)]; !slices.Equal(ids, v.requested) {
		v.requested, v.neighborsStale = slices.Clone(ids), true
	}
	v.finishEvent()
}

// chooseNeighbors recomputes the neighbors: on each ring the next live member after this one and the suspect ones between them, and the
// requested members. With the next live member, a fleet that loses many members at once is soon connected again.
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
	suspects := v.suspectsByID()
	for ring := range ringCount {
		v.chooseOnRing(ring, suspects)
	}
	for _, id := range v.requested {
		if e := v.byID[id]; e != nil && e != v.self && !e.State.IsDeadOrLeft() {
			v.addNeighbor(e)
		}
	}
}

// suspectsByID returns the suspect members in the order of IDs.
func (v *View) suspectsByID() (suspects []*entry) {
	for _, e := range v.active {
		if e.State == Suspect {
			suspects = append(suspects, e)
		}
	}
	slices.SortFunc(suspects, func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	return suspects
}

// chooseOnRing adds the neighbors on one ring, in the order of IDs: the next live member, and up to ringCount suspect ones before it on
// the ring.
func (v *View) chooseOnRing(ring int, suspects []*entry) {
	own := ringPosition(v.self.ID, ring)
	distance := func(id ID) float64 { return float64(ringPosition(id, ring) - own) }
	var next *entry
	nearest := math.Inf(1)
	for i, id := range v.ids {
		if d := distance(id); d < nearest {
			if e := v.entries[i]; e.State == Alive && e != v.self {
				next, nearest = e, d
			}
		}
	}
	v.nearestLive[ring] = nearest
	passed := 0
	for _, e := range suspects {
		if distance(e.ID) >= nearest || passed == ringCount {
			continue
		}
		passed++
		if next != nil && next.ID < e.ID {
			v.addNeighbor(next)
			next = nil
		}
		v.addNeighbor(e)
	}
	if next != nil {
		v.addNeighbor(next)
	}
}

// addNeighbor makes a member a neighbor: this member keeps a link to it and detects its silence.
func (v *View) addNeighbor(e *entry) {
	if !e.isNeighbor {
		v.restartSilence(e)
		e.isNeighbor = true
		v.neighbors = append(v.neighbors, e)
	}
	v.activate(e)
}

// restartSilence restarts the silence timeout of a member that was not watched and to which there is no link.
func (v *View) restartSilence(e *entry) {
	if e.link == nil && v.now >= e.watchedUntil {
		e.lastHeard, e.nextDial, e.failedDials = v.now, v.now, 0
	}
}

// affectsNeighbors reports whether a change of an entry can change the set of neighbors: it is requested, or on some ring it is no
// farther than the next live member. Danger: if each change recomputed the neighbors, the cost of forming a fleet would grow with the
// cube of its size.
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

// ringPosition returns a member's position on a ring.
func ringPosition(id ID, ring int) uint64 {
	return mix(uint64(id) + bits.RotateLeft64(0x9e3779b97f4a7c15, 11*ring))
}
