package subsetsim

import (
	"math"

	"hazelwheel/internal/decide/subset"
)

// The fleet that is measured, and its churn.
const (
	requestRatePerServer = 20.0 // requests per second, of all sidecars together
	latencyTargetSeconds = 0.3
	heavyInterval        = 20  // one sidecar in so many is heavy
	heavyFactor          = 10  // its traffic over the mean
	laggingInterval      = 2   // one sidecar in so many goes by the fleet of a second ago
	reselectSlack        = 1   // see subset.Reselect
	weightRounds         = 12  // iterations that correct the weights of rendezvous hashing
	churnSeconds         = 10  // for which churn is measured
	churnInterval        = 100 // one server and one sidecar in so many is replaced each second
)

// measureLoad returns the load of the busiest server over the mean, the least number of sidecars of a server, and the mean load by
// zone. The traffic for servers that are gone goes to the sidecar's other servers.
func measureLoad(f *fleet, connections map[uint64]map[uint64]bool) (busiest float64, minSidecars int, zones map[int]float64) {
	load, sidecars, total := map[uint64]float64{}, map[uint64]int{}, 0.0
	live := map[uint64]bool{}
	for _, b := range f.servers {
		live[b.ID] = true
	}
	for _, s := range f.sidecars {
		liveServers := 0
		for id := range connections[s.id] {
			if live[id] {
				liveServers++
			}
		}
		for id := range connections[s.id] {
			if live[id] {
				load[id] += s.traffic / float64(liveServers)
				sidecars[id]++
			}
		}
		total += s.traffic
	}
	minSidecars = math.MaxInt
	zoneLoad, zoneServers := map[int]float64{}, map[int]int{}
	mean := total / float64(len(f.servers))
	for _, b := range f.servers {
		busiest, minSidecars = max(busiest, load[b.ID]/mean), min(minSidecars, sidecars[b.ID])
		zoneLoad[b.Zone] += load[b.ID] / mean
		zoneServers[b.Zone]++
	}
	for z := range zoneLoad {
		zoneLoad[z] /= float64(zoneServers[z])
	}
	return busiest, minSidecars, zoneLoad
}

// serverSet returns the IDs of servers.
func serverSet(servers []subset.Server) map[uint64]bool {
	ids := make(map[uint64]bool, len(servers))
	for _, b := range servers {
		ids[b.ID] = true
	}
	return ids
}

// reselect lets the affected sidecars, and new ones, select servers by a view of the fleet, and returns how many connections of
// the former are new.
func (w Strategy) reselect(f *fleet, connections map[uint64]map[uint64]bool, affects func(id uint64) bool) (moves int) {
	for _, s := range f.sidecars {
		if connections[s.id] != nil && !affects(s.id) {
			continue
		}
		selected := serverSet(w.selectServers(f, s, connections[s.id]))
		if connections[s.id] != nil {
			for id := range selected {
				if !connections[s.id][id] {
					moves++
				}
			}
		}
		connections[s.id] = selected
	}
	return moves
}

// anySidecar is true for each sidecar.
func anySidecar(uint64) bool { return true }

// linkCount returns the number of connections.
func linkCount(connections map[uint64]map[uint64]bool) (n int) {
	for _, servers := range connections {
		n += len(servers)
	}
	return n
}

// measurement is the state of measuring a strategy.
type measurement struct {
	strategy    Strategy
	sim         *simulation
	connections map[uint64]map[uint64]bool // by sidecar, the servers that it is connected to
	result      Result
}

// Measure measures a strategy for a size of the fleet. Only moves of sidecars that stay count. They are relative to the least possible:
// for a new server, the mean number of sidecars of a server; for a new sidecar, the number of servers that it selects, since none need
// move where servers may have one sidecar more.
func Measure(strategy Strategy, sidecars, servers int, unequal bool, seed uint64) Result {
	m := &measurement{strategy: strategy, sim: newSimulation(sidecars, servers, unequal, seed), connections: map[uint64]map[uint64]bool{},
		result: Result{Strategy: strategy.Name, Sidecars: sidecars, Servers: servers, Unequal: unequal}}
	m.measureSteady()
	m.measureArrivals()
	m.measureChurn()
	return m.result
}

// measureSteady measures the load after all sidecars have selected servers once.
func (m *measurement) measureSteady() {
	m.strategy.reselect(&m.sim.fleet, m.connections, anySidecar)
	var zones map[int]float64
	m.result.PeakLoad, m.result.MinSidecarsPerServer, zones = measureLoad(&m.sim.fleet, m.connections)
	m.result.LinksPerSidecar = float64(linkCount(m.connections)) / float64(m.result.Sidecars)
	for _, load := range zones {
		m.result.MaxZoneLoad = max(m.result.MaxZoneLoad, load)
	}
	m.result.SmallestZoneLoad = zones[smallZone]
}

// measureArrivals measures how many connections move when servers, and then sidecars, come one by one.
func (m *measurement) measureArrivals() {
	const trials = 4
	for range trials {
		m.sim.servers = append(m.sim.servers, m.sim.newServer())
		m.sim.update()
		moves := float64(m.strategy.reselect(&m.sim.fleet, m.connections, anySidecar))
		m.result.MovesPerServer += moves / (float64(linkCount(m.connections)) / float64(len(m.sim.servers))) / trials
	}
	for range trials {
		newcomer := sidecar{id: m.sim.rng.Uint64(), number: len(m.sim.sidecars), traffic: m.sim.meanTraffic}
		m.sim.sidecars = append(m.sim.sidecars, newcomer)
		m.sim.update()
		moves := float64(m.strategy.reselect(&m.sim.fleet, m.connections, anySidecar))
		m.result.MovesPerSidecar += moves / float64(len(m.connections[newcomer.id])) / trials
	}
}

// measureChurn measures load and moves while one in churnInterval servers and sidecars is replaced each second. Some sidecars go by the
// fleet as it was a second earlier.
func (m *measurement) measureChurn() {
	serversReplaced := max((m.result.Servers+churnInterval/2)/churnInterval, 1)
	sidecarsReplaced := (m.result.Sidecars + churnInterval/2) / churnInterval
	earlier := m.sim.copy()
	leastPossible, started := 0.0, 0
	for second := range churnSeconds {
		m.replace(serversReplaced, sidecarsReplaced)
		leastPossible += float64(serversReplaced) * float64(linkCount(m.connections)) / float64(len(m.sim.servers))
		isLagging := func(id uint64) bool { return (mix(id)+uint64(second))%laggingInterval == 0 }
		present := map[uint64]bool{}
		for _, s := range m.sim.sidecars {
			present[s.id] = true
		}
		started += m.strategy.reselect(earlier, m.connections, func(id uint64) bool { return present[id] && isLagging(id) })
		for id := range m.connections { // sidecars that are gone have no connections
			if !present[id] {
				delete(m.connections, id)
			}
		}
		started += m.strategy.reselect(&m.sim.fleet, m.connections, func(id uint64) bool { return !isLagging(id) })
		busiest, least, _ := measureLoad(&m.sim.fleet, m.connections)
		m.result.PeakLoadInChurn += busiest / churnSeconds
		m.result.WorstSecond, m.result.MinSidecarsPerServer = max(m.result.WorstSecond, busiest), min(m.result.MinSidecarsPerServer, least)
		earlier = m.sim.copy()
	}
	m.result.MovesInChurn = float64(started) / leastPossible
}

// replace replaces so many servers and sidecars by new ones.
func (m *measurement) replace(servers, sidecars int) {
	for range servers {
		m.sim.servers[m.sim.rng.IntN(len(m.sim.servers))] = m.sim.newServer()
	}
	for range sidecars {
		i := m.sim.rng.IntN(len(m.sim.sidecars))
		delete(m.connections, m.sim.sidecars[i].id)
		m.sim.sidecars[i].id = m.sim.rng.Uint64()
	}
	m.sim.update()
}
