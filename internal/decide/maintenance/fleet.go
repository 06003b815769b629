package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// fleetModel holds the state of servers and load, as observed by the snapshots so far.
type fleetModel struct {
	now          float64 // of the last snapshot
	servers      []*observedServer
	completed    movingAverage // requests per second, over rateWindowSeconds
	rejected     movingAverage // rejected requests per second, over rateWindowSeconds
	shortLoad    movingAverage // requests per second, over shortWindowSeconds
	longLoad     movingAverage // requests per second, over longWindowSeconds
	usualLoad    movingAverage // requests per second, over usualWindowSeconds
	staleMembers int           // Report.StaleMembers of the last report
	reporters    int           // number of reporters of the last report
	baseline     rejectionBaseline
}

// observedServer is the last status of a server, with the times at which it changed.
type observedServer struct {
	ServerStatus
	lastListedAt      float64
	unresponsiveSince float64 // 0: it is responsive
	warmingUpSince    float64 // since when most sidecars have had it in slow start; 0: they haven't
}

const (
	rateWindowSeconds  = 4.0
	shortWindowSeconds = 8.0
	longWindowSeconds  = 60.0
	usualWindowSeconds = 400.0
	trendSeconds       = 60.0 // how far ahead a rising load is extrapolated
	drainLoadRatio     = 1.15 // ratio of expected to usual load above which a server needs more capacity in service to drain
	giveBackLoadRatio  = 1.3  // ratio of expected to usual load above which servers that are out need more capacity in service
	minRatePerSecond   = 1.0  // minimum divisor of fractions of a rate, so that few requests don't yield large fractions
	capacityTolerance  = 1e-9 // rounding tolerance for comparisons of capacities
)

// observe handles a snapshot that was taken elapsed seconds after the one before (0: it is the first). hasServerOut is whether any
// plan has a server out.
func (f *fleetModel) observe(now, elapsed float64, snapshot *FleetSnapshot, hasServerOut bool) {
	f.now = now
	if elapsed <= 0 || elapsed > longWindowSeconds { // the first snapshot, or the first after a long time without any
		f.resetAverages()
		elapsed = 1
	}
	for _, a := range []*movingAverage{&f.completed, &f.shortLoad, &f.longLoad, &f.usualLoad} {
		a.add(snapshot.Report.CompletedPerSecond, elapsed)
	}
	f.rejected.add(snapshot.Report.RejectedPerSecond, elapsed)
	f.baseline.observe(now, elapsed, hasServerOut, &snapshot.Report)
	f.staleMembers, f.reporters = snapshot.Report.StaleMembers, len(snapshot.Report.Reporters)
	f.observeServers(snapshot.Report.Servers)
}

func (f *fleetModel) resetAverages() {
	f.completed = movingAverage{windowSeconds: rateWindowSeconds}
	f.rejected = movingAverage{windowSeconds: rateWindowSeconds}
	f.shortLoad = movingAverage{windowSeconds: shortWindowSeconds}
	f.longLoad = movingAverage{windowSeconds: longWindowSeconds}
	f.usualLoad = movingAverage{windowSeconds: usualWindowSeconds}
	f.baseline = rejectionBaseline{}
}

// observeServers updates the servers by the reported statuses. Servers that are on no list any more are kept as unavailable for
// lostSeconds.
func (f *fleetModel) observeServers(statuses []ServerStatus) {
	for _, server := range f.servers {
		server.ListedBy = 0
	}
	for _, status := range statuses {
		i, known := f.serverIndex(status.Server)
		if !known {
			f.servers = slices.Insert(f.servers, i, &observedServer{lastListedAt: f.now})
		}
		f.servers[i].ServerStatus = status
	}
	for _, server := range f.servers {
		if server.ListedBy > 0 {
			server.lastListedAt = f.now
		}
		server.unresponsiveSince = since(!server.isResponsive(), server.unresponsiveSince, f.now)
		server.warmingUpSince = since(2*server.WarmingUpBy > server.ListedBy && server.ListedBy > 0, server.warmingUpSince, f.now)
	}
	f.servers = slices.DeleteFunc(f.servers, func(server *observedServer) bool { return f.now-server.lastListedAt > lostSeconds })
}

// since returns since when a condition has held, or 0 if it doesn't hold. before is the result of the previous call.
func since(holds bool, before, now float64) float64 {
	if !holds {
		return 0
	}
	return cmp.Or(before, now)
}

// serverIndex returns the position of a server in f.servers, which are sorted by name, and whether it is there.
func (f *fleetModel) serverIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(f.servers, name, func(server *observedServer, name string) int { return cmp.Compare(server.Server, name) })
}

// server returns what is known of a server, or nil.
func (f *fleetModel) server(name string) *observedServer {
	i, known := f.serverIndex(name)
	if !known {
		return nil
	}
	return f.servers[i]
}

// isResponsive reports whether a server is listed, and at least half of the sidecars that list it get responses from it.
func (s *observedServer) isResponsive() bool {
	return s.ListedBy > 0 && 2*s.UnresponsiveBy <= s.ListedBy
}

// isUnavailable reports whether a server does not serve, for other reasons than a plan.
func (s *observedServer) isUnavailable() bool {
	return !s.isResponsive() || 2*s.DrainingBy > s.ListedBy || 2*s.CordonedBy > s.ListedBy
}

// isUnavailable reports whether a server would not serve even if no plan had it out.
func (f *fleetModel) isUnavailable(name string) bool {
	server := f.server(name)
	return server == nil || server.isUnavailable()
}

// isUnresponsive reports whether a server is listed and most sidecars that list it get no response. A server that does not respond
// after the work on it stays in WarmingUp and so counts against MaxConcurrent.
func (f *fleetModel) isUnresponsive(name string) bool {
	server := f.server(name)
	return server != nil && server.ListedBy > 0 && 2*server.UnresponsiveBy > server.ListedBy
}

// capacity returns a server's capacity. If that of any server is unknown, all have capacity 1.
func (f *fleetModel) capacity(server *observedServer) float64 {
	if slices.ContainsFunc(f.servers, func(s *observedServer) bool { return s.Capacity <= 0 }) {
		return 1
	}
	return server.Capacity
}

// checkMinCapacity returns an error if a server of a new plan could never drain, because less than minCapacity would be left without
// it.
func (f *fleetModel) checkMinCapacity(servers []Server, minCapacity float64) error {
	total := 0.0
	for _, server := range f.servers {
		total += f.capacity(server)
	}
	for i := range servers {
		server := f.server(servers[i].Name)
		if server == nil {
			continue
		}
		if remaining := (total - f.capacity(server)) / total; remaining < minCapacity-capacityTolerance {
			return fmt.Errorf("keep: without %s %.2f of the capacity is left, less than %g", servers[i].Name, remaining, minCapacity)
		}
	}
	return nil
}

// remainingCapacity returns the fraction of the capacity that is in service: without the servers that plans have out, and without one
// more if without is not empty.
func (f *fleetModel) remainingCapacity(out map[string]Stage, without string) float64 {
	total, remaining := 0.0, 0.0
	for _, server := range f.servers {
		capacity := f.capacity(server)
		total += capacity
		if _, isOut := out[server.Server]; !isOut && server.Server != without && !server.isUnavailable() {
			remaining += capacity
		}
	}
	if total == 0 {
		return 0
	}
	return remaining / total
}

// requiredCapacity returns the fraction of the capacity that must stay in service. A plan's MinCapacity is meant for the usual load:
// when the expected load exceeds that by more than toleratedRatio, proportionally more capacity is required.
func (f *fleetModel) requiredCapacity(minCapacity, toleratedRatio float64) float64 {
	if ratio := f.loadRatio(); ratio > toleratedRatio {
		return min(minCapacity*ratio, 1)
	}
	return minCapacity
}

// loadRatio returns the load expected in trendSeconds, as a multiple of the usual one.
func (f *fleetModel) loadRatio() float64 {
	if f.usualLoad.value() < minRatePerSecond {
		return 1
	}
	expected := f.shortLoad.value()
	if slope := (f.shortLoad.value() - f.longLoad.value()) / (longWindowSeconds - shortWindowSeconds); slope > 0 {
		expected += slope * trendSeconds
	}
	return expected / f.usualLoad.value()
}

// lostSite returns the name of a site most of whose servers became unresponsive in the last lostSeconds and are not out by a plan;
// empty: there is none.
func (f *fleetModel) lostSite(out map[string]Stage) string {
	all, lost := map[string]int{}, map[string]int{}
	for _, server := range f.servers {
		all[server.Site]++
		if _, isOut := out[server.Server]; !isOut && server.unresponsiveSince != 0 && f.now-server.unresponsiveSince < lostSeconds {
			lost[server.Site]++
		}
	}
	for _, server := range f.servers { // in the order of names, so that the result does not depend on the map's order
		if n := lost[server.Site]; 2*n > all[server.Site] {
			return server.Site
		}
	}
	return ""
}

// rejectionFraction returns the present fraction of requests that are rejected or fail.
func (f *fleetModel) rejectionFraction() float64 {
	return f.rejected.value() / max(f.completed.value(), minRatePerSecond)
}

// movingAverage is an exponentially weighted mean over windowSeconds, which is set before the first add.
type movingAverage struct {
	windowSeconds, sum, weight float64
}

// add adds a value that lasted for some seconds.
func (a *movingAverage) add(x, seconds float64) {
	share := 1 - math.Exp(-seconds/a.windowSeconds)
	a.sum += share * (x - a.sum)
	a.weight += share * (1 - a.weight)
}

// value returns the mean; 0 before the first add.
func (a *movingAverage) value() float64 { return a.sum / max(a.weight, 1e-9) }
