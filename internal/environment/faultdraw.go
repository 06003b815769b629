package environment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// DrawPeerFaults adds faults between sidecars to a script.
func DrawPeerFaults(day *Day, s *Script) {
	rng := randomStream(day.Seed, "peers", 0)
	for range rng.IntN(6) {
		kind := &peerFaultKinds[rng.IntN(len(peerFaultKinds))]
		fault := Fault{Kind: kind.name, AtSeconds: uniform(rng, firstFaultSeconds, max(day.LengthSeconds-lastFaultSeconds, firstFaultSeconds))}
		kind.draw(&fault, day, rng)
		s.AddPeerFault(fault, day)
		if fault.Kind == DiskFull { // only a process that starts writes what it must store
			s.AddPeerFault(Fault{Kind: SidecarKill, AtSeconds: fault.AtSeconds + 0.5, DurationSeconds: 0.5, Sidecars: fault.Sidecars, State: StateKept}, day)
		}
	}
	slices.SortStableFunc(s.Faults, byTime)
}

// DrawLags adds, on half of the days, periods in which a sidecar receives late what the others send, while they receive at
// once: its connections are reset again and again, and what is sent to it is limited to a rate, so that an answer to its
// query arrives long after the change that it is about.
func DrawLags(day *Day, s *Script) {
	rng := randomStream(day.Seed, "lags", 0)
	if rng.IntN(2) == 0 || len(day.Sidecars) < 2 {
		return
	}
	for range 1 + rng.IntN(2) {
		who := day.drawSidecar(rng)
		others := make([]int, len(day.Sidecars))
		for i := range others {
			others[i] = i
		}
		at, lasts := uniform(rng, firstFaultSeconds, max(day.LengthSeconds-lastFaultSeconds, firstFaultSeconds)), uniform(rng, 8, 25)
		s.Faults = append(s.Faults,
			Fault{
				Kind:            PeerSlow,
				AtSeconds:       at,
				DurationSeconds: lasts,
				From:            without(others, who),
				To:              who,
				RatePerSecond:   uniform(rng, 200, 2000),
				OneWay:          true,
			},
			Fault{Kind: PeerReset, AtSeconds: at, DurationSeconds: lasts, From: who, RatePerSecond: uniform(rng, 0.2, 1)})
	}
	slices.SortStableFunc(s.Faults, byTime)
}

// firstFaultSeconds is how long a day runs before its first fault, and lastFaultSeconds how long before its end the last one
// starts.
const (
	firstFaultSeconds = 3.0
	lastFaultSeconds  = 5.0
)

// DrawScript returns the script of a day's seed. Each day has a mix of its own: every kind is off on about half of the days.
//
// Danger: with all kinds on every day, the severe ones would hide the effects of the others.
func DrawScript(day *Day) Script {
	rng := randomStream(day.Seed, "script", 0)
	s := Script{Seed: day.Seed}
	var on []*faultKind
	for i := range serverFaultKinds {
		if rng.IntN(2) == 0 {
			on = append(on, &serverFaultKinds[i])
		}
	}
	if len(on) == 0 || rng.IntN(10) == 0 {
		return s // a day without faults
	}
	moves := 0
	for range 1 + rng.IntN(7) {
		kind := on[rng.IntN(len(on))]
		fault := Fault{Kind: kind.name, AtSeconds: uniform(rng, firstFaultSeconds, max(day.LengthSeconds-lastFaultSeconds, firstFaultSeconds))}
		if kind.name == Reload {
			if moves++; moves >= maxDiscoveryAddresses {
				continue
			}
		}
		kind.draw(&fault, day, rng)
		s.Faults = append(s.Faults, fault)
	}
	drawConnectionFaults(day, &s)
	slices.SortStableFunc(s.Faults, byTime)
	return s
}

// drawSidecarSubset draws some of the sidecars: at least one, and at most half of them if there are more.
func (d *Day) drawSidecarSubset(rng *rand.Rand) []int {
	n := 1 + rng.IntN(max(len(d.Sidecars)/2, 1))
	some := rng.Perm(len(d.Sidecars))[:n]
	slices.Sort(some)
	return some
}

// without returns the numbers of all that aren't in some. It changes all.
func without(all, some []int) []int {
	return slices.DeleteFunc(all, func(n int) bool { return slices.Contains(some, n) })
}

// drawServersFor returns a draw of a share of the servers, and of a duration.
func drawServersFor(minimum, maximum, minSeconds, maxSeconds float64) func(*Fault, *Day, *rand.Rand) {
	return func(fault *Fault, day *Day, rng *rand.Rand) {
		fault.Servers, fault.DurationSeconds = day.drawServerNames(rng, minimum, maximum), uniform(rng, minSeconds, maxSeconds)
	}
}

// drawMisbehavior draws servers, a duration and a share of wrong answers.
func drawMisbehavior(fault *Fault, day *Day, rng *rand.Rand) {
	drawServersFor(0.1, 1, 3, 20)(fault, day, rng)
	fault.Share = uniform(rng, 0.01, 0.3)
}

// drawServerNames returns the names of a drawn share of the servers that run at the start, at least one.
func (d *Day) drawServerNames(rng *rand.Rand, minimum, maximum float64) []string {
	n := max(1, int(math.Round(uniform(rng, minimum, maximum)*float64(d.InitialServers))))
	names := make([]string, 0, n)
	for _, i := range rng.Perm(d.InitialServers)[:n] {
		names = append(names, d.Servers[i].Name)
	}
	return names
}

// drawSidecar draws one sidecar.
func (d *Day) drawSidecar(rng *rand.Rand) []int { return []int{rng.IntN(len(d.Sidecars))} }

// drawConnectionFaults adds faults of connections, watches and clients that abandon requests, on about two thirds of the
// days with faults.
func drawConnectionFaults(day *Day, s *Script) {
	rng := randomStream(day.Seed, "connections", 0)
	for range rng.IntN(3) {
		kind := &connectionFaultKinds[rng.IntN(len(connectionFaultKinds))]
		fault := Fault{Kind: kind.name, AtSeconds: uniform(rng, firstFaultSeconds, max(day.LengthSeconds-lastFaultSeconds, firstFaultSeconds))}
		kind.draw(&fault, day, rng)
		s.Faults = append(append(s.Faults, fault), companionFaults(&fault, day, rng)...)
	}
}
