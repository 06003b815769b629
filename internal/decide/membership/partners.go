package membership

import (
	"maps"
	"math"
	"slices"
)

// refill takes random live processes into the partial view until it is full.
func (v *View) refill(now float64) {
	if len(v.peers) >= v.settings.PartialViewSize || len(v.peers) >= len(v.entries) {
		return
	}
	names := slices.Sorted(maps.Keys(v.entries))
	v.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if len(v.peers) >= v.settings.PartialViewSize {
			return
		}
		if v.alive(v.entries[name], now) && !slices.Contains(v.peers, name) {
			v.peers = append(v.peers, name)
		}
	}
}

// farWeight is how many processes of the own zone weigh as much as all others when a partner is drawn. Bytes between zones are dear: what
// is known in a zone goes round within it, and each of its processes fetches from others now and then. Where a zone has few, most
// exchanges go beyond it.
const farWeight = 4.0

// near returns the addresses of live processes of the own zone, in order.
func (v *View) near(now float64) (addresses []string) {
	for _, e := range v.entries {
		if e.record.Zone == v.self.Zone && v.alive(e, now) {
			addresses = append(addresses, e.record.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// nearPart is the part of exchanges that stay in the zone.
func nearPart(near int) float64 { return float64(near) / (float64(near) + farWeight) }

// PickPartner returns the address for the next exchange, "" if there is none: of a process of the own zone or of a peer of the partial view;
// now and then, and while nobody is known, of a seed.
func (v *View) PickPartner(now float64) string {
	const seedEvery = 8
	if near := v.near(now); v.rng.Float64() < nearPart(len(near)) {
		return near[v.rng.IntN(len(near))]
	}
	if len(v.seeds) > 0 && (len(v.peers) == 0 || v.rng.IntN(seedEvery) == 0) {
		if seed := v.seeds[v.rng.IntN(len(v.seeds))]; seed != v.self.Address {
			return seed
		}
	}
	if len(v.peers) == 0 {
		return ""
	}
	v.next = (v.next + 1) % len(v.peers)
	return v.entries[v.peers[v.next]].record.Address
}

// PickFanout returns up to n addresses of random live processes, for news that can't wait: most of the own zone, one at least of another.
func (v *View) PickFanout(now float64, n int) []string {
	near := v.near(now)
	var far []string
	for _, e := range v.entries {
		if e.record.Zone != v.self.Zone && v.alive(e, now) {
			far = append(far, e.record.Address)
		}
	}
	slices.Sort(far)
	v.shuffled(near)
	v.shuffled(far)
	fromNear := min(int(math.Round(float64(n)*nearPart(len(near)))), len(near))
	if len(far) > 0 {
		fromNear = min(fromNear, n-1)
	}
	fromFar := min(n-fromNear, len(far))
	return append(near[:min(n-fromFar, len(near))], far[:fromFar]...)
}

func (v *View) shuffled(addresses []string) {
	v.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// shuffle trades a peer of the partial view for one of those that were told.
func (v *View) shuffle(told []Record) {
	if len(v.peers) < v.settings.PartialViewSize || len(told) == 0 {
		return
	}
	name := told[v.rng.IntN(len(told))].Name
	if v.entries[name] != nil && !slices.Contains(v.peers, name) {
		v.peers[v.rng.IntN(len(v.peers))] = name
	}
}
