package membership

import (
	"maps"
	"math"
	"slices"
)

// otherZonesWeight is the weight of all other zones together when a partner is drawn, where each live process of the local
// zone has weight 1. Traffic between zones is expensive, so updates spread mostly within a zone, and only from time to time
// does a process exchange with another zone. Processes of a small zone exchange mostly with other zones.
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

// PickPartner returns the address for the next exchange, or "" if none is known: that of a live process of the local zone, a peer
// of the partial view or a seed. While the partial view is empty, a seed takes the place of a peer.
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

// PickFanout returns up to n addresses of random live processes for an urgent update, divided between the local zone and the
// others like exchanges. At least one is of another zone if a live process there is known.
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

// sameZoneFraction returns the fraction of exchanges within the local zone if that has sameZone other live processes.
func sameZoneFraction(sameZone int) float64 {
	return float64(sameZone) / (float64(sameZone) + otherZonesWeight)
}

func (v *View) shuffleAddresses(addresses []string) {
	v.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}
