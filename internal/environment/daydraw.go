package environment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"hazelwheel/internal/checker"
)

// Draw returns the day of a seed.
func Draw(seed uint64, r Ranges) Day {
	rng := randomStream(seed, "day", 0)
	d := Day{Seed: seed, Start: dayStart, LengthSeconds: math.Round(r.LengthSeconds.draw(rng)), InitialServers: r.Servers.count(rng)}
	for i := range r.Sites.count(rng) {
		d.Sites = append(d.Sites, "site-"+string(rune('a'+i)))
	}
	d.drawPaths(rng, r)
	d.drawSidecars(rng, r)
	d.drawServers(rng, r)
	d.drawClasses(rng, r)
	d.Clients = ClientSpec{
		RatePerSecond:        r.RatePerSecond.draw(rng),
		Swing:                r.Swing.draw(rng),
		SwingPeriodSeconds:   r.SwingPeriodSeconds.draw(rng),
		BurstFactor:          r.BurstFactor.draw(rng),
		BurstSeconds:         r.BurstSeconds.draw(rng),
		BurstIntervalSeconds: r.BurstIntervalSeconds.draw(rng),
		Retries:              r.Retries.count(rng),
		AttemptTimeoutShare:  r.AttemptTimeoutShare.draw(rng),
		BackoffSeconds:       r.BackoffMillis.draw(rng) / 1e3,
		RetryAfterShare:      r.RetryAfterShare.draw(rng),
		ImpatientShare:       r.ImpatientShare.draw(rng),
		MaxConnections:       d.MaxDescriptors / 3,
		MaxRetryAfterSeconds: maxRetryAfterSeconds,
	}
	load := r.Load.draw(rng)
	if overload := randomStream(seed, "crowd", 0); overload.Float64() < r.OverloadedDayShare {
		load, d.Clients.RatePerSecond = r.OverloadedLoad.draw(overload), r.OverloadedRatePerSecond.draw(overload)
	}
	longer := 1.0
	if longRequests := randomStream(seed, "long", 0); longRequests.Float64() < r.LongRequestDayShare {
		longer = r.LongRequestFactor.draw(longRequests)
		d.Clients.RatePerSecond /= longer
	}
	d.setPace(load, longer)
	d.Discovery = DiscoverySpec{
		FailureNoticeSeconds:   r.FailureNoticeSeconds.draw(rng),
		SilentNoticeSeconds:    r.SilentNoticeSeconds.draw(rng),
		StartNoticeSeconds:     r.StartNoticeSeconds.draw(rng),
		PublishIntervalSeconds: r.PublishIntervalMillis.draw(rng) / 1e3,
		DeliverySeconds:        r.DeliveryMillis.draw(rng) / 1e3,
		CallsPerSecond:         r.CallsPerSecond.draw(rng),
		EntriesPerCall:         r.EntriesPerCall.draw(rng),
		CallTimeoutSeconds:     1,
		KeepAliveSeconds:       2,
		OldAddressSeconds:      1.5,
	}
	for i := range maxDiscoveryAddresses {
		ip := fmt.Sprintf("10.2.0.%d", i+1)
		d.Discovery.IPs = append(d.Discovery.IPs, ip)
		d.Discovery.Addresses = append(d.Discovery.Addresses, ip+":2300")
	}
	d.Clients.FlagsRetries, d.ReportsInline = rng.IntN(3) == 0, rng.IntN(3) == 0
	return d
}

// drawPaths draws the latencies between and within sites, and the limits of a sidecar.
func (d *Day) drawPaths(rng *rand.Rand, r Ranges) {
	d.PathSeconds = make([][]float64, len(d.Sites))
	for i := range d.PathSeconds {
		d.PathSeconds[i] = make([]float64, len(d.Sites))
		d.PathSeconds[i][i] = r.SameSiteMillis.draw(rng) / 1e3
		for j := range i {
			d.PathSeconds[i][j] = r.CrossSiteMillis.draw(rng) / 1e3
			d.PathSeconds[j][i] = d.PathSeconds[i][j]
		}
	}
	d.ClientPathSeconds, d.Jitter, d.ConnIdleSeconds = r.ClientMillis.draw(rng)/1e3, r.Jitter.draw(rng), r.ConnIdleSeconds.draw(rng)
	d.MaxDescriptors, d.MemoryMB = 256<<rng.IntN(3), 192
}

// drawSidecars draws the sidecars and their shares of the requests.
func (d *Day) drawSidecars(rng *rand.Rand, r Ranges) {
	skew, sum := r.SidecarSkew.draw(rng), 0.0
	for i := range r.Sidecars.count(rng) {
		ip := fmt.Sprintf("10.0.%d.%d", (i+1)>>8, (i+1)&255)
		sidecar := SidecarSpec{
			Name:    "n" + strconv.Itoa(i),
			IP:      ip,
			Address: ip + ":8080",
			Site:    i % len(d.Sites),
			Share:   logNormalFactor(rng, skew),
			Seed:    rng.Uint64(),
		}
		sum += sidecar.Share
		d.Sidecars = append(d.Sidecars, sidecar)
	}
	for i := range d.Sidecars {
		d.Sidecars[i].Share /= sum
	}
}

// spareServers is how many servers can start in a day beyond those that run at its start.
const spareServers = 8

// drawServers draws the servers that run at the start and the spare ones.
func (d *Day) drawServers(rng *rand.Rand, r Ranges) {
	var shares []float64
	sum := 0.0
	for _, k := range r.ServerKinds {
		d.ServerKinds = append(d.ServerKinds, k.Name)
		shares = append(shares, k.Share.draw(rng))
		sum += shares[len(shares)-1]
	}
	cellSize := 6 + rng.IntN(5)
	cv := make([]float64, len(r.ServerKinds))
	for i, k := range r.ServerKinds {
		cv[i] = k.SpeedCV.draw(rng)
	}
	taken := map[uint32]bool{}
	for n := range d.InitialServers + spareServers {
		kind, at := 0, rng.Float64()*sum
		for kind < len(shares)-1 && at >= shares[kind] {
			at -= shares[kind]
			kind++
		}
		id := rng.Uint32()
		for taken[id] {
			id++
		}
		taken[id] = true
		site := n % len(d.Sites)
		ip := fmt.Sprintf("10.%d.%d.%d", 1+n/250, site, n%250+1)
		b := drawServer(rng, r, r.ServerKinds[kind], cv[kind])
		b.Number, b.Name, b.IP, b.Address = n, fmt.Sprintf("s-%08x", id), ip, ip+":3000"
		b.Site, b.Kind, b.Cell = site, kind, n/cellSize
		b.IdleTimeoutSeconds = d.ConnIdleSeconds
		d.Servers = append(d.Servers, b)
	}
}

// drawServer draws a server of a kind.
func drawServer(rng *rand.Rand, r Ranges, k ServerKindRanges, speedCV float64) ServerSpec {
	slots := k.Slots.count(rng)
	b := ServerSpec{
		Speed:                 k.Speed.draw(rng) * logNormalFactor(rng, speedCV),
		Slots:                 slots,
		QueueLimit:            int(k.QueuePerSlot.draw(rng)) * slots,
		ThrashFactor:          k.ThrashFactor.draw(rng),
		ThrashThreshold:       k.ThrashThreshold.draw(rng),
		ColdCapacity:          k.ColdCapacity.draw(rng),
		WarmupSeconds:         k.WarmupSeconds.draw(rng),
		WarmupWorkSeconds:     r.WarmupWorkSeconds.draw(rng),
		PauseIntervalSeconds:  k.PauseIntervalSeconds.draw(rng),
		PauseSeconds:          k.PauseMillis.draw(rng) / 1e3,
		ErrorShare:            k.ErrorShare.draw(rng),
		Overload:              OverloadSpec{Multiple: overloadMultiple, WindowSeconds: overloadWindowSeconds},
		ReportIntervalSeconds: r.ReportIntervalMillis.draw(rng) / 1e3,
		ReportLagSeconds:      r.ReportLagMillis.draw(rng) / 1e3,
		ReportNoise:           r.ReportNoise.draw(rng),
		MaxConnections:        int(r.ConnectionsPerSlot.draw(rng)) * slots,
		ConnectionOverhead:    r.ConnectionOverhead.draw(rng),
		HandshakeSeconds:      r.HandshakeMillis.draw(rng) / 1e3,
		HealthCheckSeconds:    r.HealthCheckMillis.draw(rng) / 1e3,
		HealthChecksPerSecond: r.HealthChecksPerSlot.draw(rng) * float64(slots),
		DropsCancelled:        rng.Float64() < 0.2,
	}
	b.Weight = math.Round(float64(slots)*k.Speed.draw(rng)*4) / 4 // as registered: an estimate of the capacity
	return b
}

// drawClasses draws the classes of requests and their shares.
func (d *Day) drawClasses(rng *rand.Rand, r Ranges) {
	sum := 0.0
	for _, c := range r.Classes {
		s := ClassSpec{
			ClassRanges:     c,
			Effect:          effects[c.Effect],
			Group:           groups[c.Group],
			Share:           c.Share.draw(rng),
			MeanWorkSeconds: c.RelativeWork.draw(rng),
			WorkCV:          c.WorkCV.draw(rng),
			BodyBytes:       int(c.BodyBytes.draw(rng)),
		}
		sum += s.Share
		d.Classes = append(d.Classes, s)
	}
	for i := range d.Classes {
		d.Classes[i].Share /= sum
	}
}

var (
	effects = map[string]checker.Effect{"safe": checker.Safe, "keyed": checker.Keyed, "unsafe": checker.Unsafe}
	groups  = map[string]checker.Group{"": checker.GroupAll, "all": checker.GroupAll, "zone": checker.GroupZone, "cell": checker.GroupCell}
)

// standardWorkSeconds is the mean work of a request at which the classes' times are those of their ranges.
const standardWorkSeconds = 0.1

// setPace sets the work of requests so that the servers have the given load, and scales the classes' times; longer is how many
// times as long as usual the requests may be.
func (d *Day) setPace(load, longer float64) {
	d.OverloadWindowSeconds = overloadWindowSeconds * longer // otherwise one mean request would overload a server
	capacity, mean := 0.0, 0.0
	for _, b := range d.Servers[:d.InitialServers] {
		capacity += b.Speed * float64(b.Slots)
	}
	for _, class := range d.Classes {
		mean += class.Share * class.MeanWorkSeconds
	}
	d.MeanWorkSeconds = load * capacity / d.Clients.RatePerSecond
	for i := range d.Classes {
		class := &d.Classes[i]
		class.MeanWorkSeconds *= d.MeanWorkSeconds / mean
		// Danger: times that shrink with the work without limit would fall below a tick and two path latencies.
		pace := min(max(d.MeanWorkSeconds/standardWorkSeconds, 0.4), 1.5*longer)
		class.LatencyTargetSeconds = math.Round(class.ClassRanges.LatencyTargetSeconds*pace*1e3) / 1e3
		class.TotalTimeoutSeconds = math.Round(class.ClassRanges.TotalTimeoutSeconds*pace*1e3) / 1e3
	}
	for i := range d.Servers {
		// A few requests' work beyond the budget of a window is random variation.
		//
		// Danger: a slow server that starts at a sixth of its capacity can take two mean requests a window, and one heavy
		// request would overload it whichever sidecar sent it.
		d.Servers[i].Overload.WindowSeconds = d.OverloadWindowSeconds
		d.Servers[i].Overload.SlackSeconds = overloadSlackRequests * d.MeanWorkSeconds / d.Servers[i].Speed
	}
}
