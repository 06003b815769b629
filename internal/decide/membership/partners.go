package membership

import (
	"maps"
	"math"
	"slices"
)

// otherZonesWeight is the weight of all other zones together when a partner is drawn, as a number of processes of the local
// zone. Traffic between zones is expensive: updates spread within a zone, and now and then one of its processes exchanges
// with another zone. In a small zone most exchanges leave it.
const otherZonesWeight = 4.0

// seedInterval is the mean number of draws from the partial view between two draws of a seed.
const seedInterval = 8

// refillPeers adds random live processes to the partial view until it is full.
func (v *View) refillPeers(now float64) {
	if len(v.peers) >= v.settings.PartialViewSize || len(v.peers) >= len(v.known) {
		return
	}
	names := slices.Sorted(maps.Keys(v.known))
	v.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if len(v.peers) >= v.settings.PartialViewSize {
			return
		}
		if v.isAlive(v.known[name], now) && !slices.Contains(v.peers, name) {
			v.peers = append(v.peers, name)
		}
	}
}

// replacePeer replaces a random peer of a full partial view by the process of a random received record.
func (v *View) replacePeer(received []Record) {
	if len(v.peers) < v.settings.PartialViewSize || len(received) == 0 {
		return
	}
	name := received[v.rng.IntN(len(received))].Name
	if v.known[name] != nil && !slices.Contains(v.peers, name) {
		v.peers[v.rng.IntN(len(v.peers))] = name
	}
}

// PickPartner returns the address for the next exchange, "" if none is known: a live process of the local zone or a peer of the
// partial view, now and then a seed. Seeds are always used while the partial view is empty.
func (v *View) PickPartner(now float64) string {
	if sameZone := v.sameZoneAddresses(now); v.rng.Float64() < sameZoneFraction(len(sameZone)) {
		return sameZone[v.rng.IntN(len(sameZone))]
	}
	if len(v.seeds) > 0 && (len(v.peers) == 0 || v.rng.IntN(seedInterval) == 0) {
		if seed := v.seeds[v.rng.IntN(len(v.seeds))]; seed != v.self.Address {
			return seed
		}
	}
	if len(v.peers) == 0 {
		return ""
	}
	v.nextPeer = (v.nextPeer + 1) % len(v.peers)
	return v.known[v.peers[v.nextPeer]].record.Address
}

// PickFanout returns up to n addresses of random live processes for an urgent update: most of the local zone, at least one of
// another zone where there is one.
func (v *View) PickFanout(now float64, n int) []string {
	sameZone := v.sameZoneAddresses(now)
	var otherZones []string
	for _, process := range v.known {
		if process.record.Zone != v.self.Zone && v.isAlive(process, now) {
			otherZones = append(otherZones, process.record.Address)
		}
	}
	slices.Sort(otherZones)
	v.shuffleAddresses(sameZone)
	v.shuffleAddresses(otherZones)
	fromSameZone := min(int(math.Round(float64(n)*sameZoneFraction(len(sameZone)))), len(sameZone))
	if len(otherZones) > 0 {
		fromSameZone = min(fromSameZone, n-1)
	}
	fromOtherZones := min(n-fromSameZone, len(otherZones))
	return append(sameZone[:min(n-fromOtherZones, len(sameZone))], otherZones[:fromOtherZones]...)
}

// sameZoneAddresses returns the addresses of live processes of the local zone, sorted.
func (v *View) sameZoneAddresses(now float64) (addresses []string) {
	for _, process := range v.known {
		if process.record.Zone == v.self.Zone && v.isAlive(process, now) {
			addresses = append(addresses, process.record.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// sameZoneFraction returns the fraction of exchanges within a zone that has so many other live processes.
func sameZoneFraction(sameZone int) float64 {
	return float64(sameZone) / (float64(sameZone) + otherZonesWeight)
}

func (v *View) shuffleAddresses(addresses []string) {
	v.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}
