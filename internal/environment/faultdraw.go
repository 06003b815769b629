package environment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// DrawPeerTroubles adds troubles between sidecars to a day's others.
func DrawPeerFaults(day *Day, s *Script) {
	rng := randomStream(day.Seed, "peers", 0)
	for range rng.IntN(6) {
		kind := &peerFaultKinds[rng.IntN(len(peerFaultKinds))]
		fault := Fault{Kind: kind.name, AtSeconds: uniform(rng, settleSeconds, max(day.LengthSeconds-quietSeconds, settleSeconds))}
		kind.draw(&fault, day, rng)
		s.AddPeerFault(fault, day)
		if fault.Kind == DiskFull { // only a process that begins has something to keep
			s.AddPeerFault(Fault{Kind: SidecarKill, AtSeconds: fault.AtSeconds + 0.5, DurationSeconds: 0.5, Sidecars: fault.Sidecars, State: StateKept}, day)
		}
	}
	slices.SortStableFunc(s.Faults, byTime)
}

// DrawLags adds, on half of the days, times in which a sidecar hears late of what the others say, and is heard at once: its links break
// again and again, and what comes to it goes at a rate, so that what it must ask for comes long after it could have heard of it.
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
		at, lasts := uniform(rng, settleSeconds, max(day.LengthSeconds-quietSeconds, settleSeconds)), uniform(rng, 8, 25)
		s.Faults = append(s.Faults,
			Fault{Kind: PeerSlow, AtSeconds: at, DurationSeconds: lasts, From: without(others, who), To: who, RatePerSecond: uniform(rng, 200, 2000), OneWay: true},
			Fault{Kind: PeerReset, AtSeconds: at, DurationSeconds: lasts, From: who, RatePerSecond: uniform(rng, 0.2, 1)})
	}
	slices.SortStableFunc(s.Faults, byTime)
}

// settleS is how long a day runs before its first trouble, and quietS how long before its end the last one begins.
const (
	settleSeconds = 3.0
	quietSeconds  = 5.0
)

// DrawScript returns the troubles of a seed. Each day plays a mix of its own: every kind is turned off on about half
// of the days. Danger: with all kinds on every day the loud ones hide the others.
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
		return s // a quiet day
	}
	moves := 0
	for range 1 + rng.IntN(7) {
		kind := on[rng.IntN(len(on))]
		fault := Fault{Kind: kind.name, AtSeconds: uniform(rng, settleSeconds, max(day.LengthSeconds-quietSeconds, settleSeconds))}
		if kind.name == Reload {
			if moves++; moves >= maxDiscoveryAddresses {
				continue
			}
		}
		kind.draw(&fault, day, rng)
		s.Faults = append(s.Faults, fault)
	}
	drawConnectionTroubles(day, &s)
	slices.SortStableFunc(s.Faults, byTime)
	return s
}

// someSidecars draws a part of the sidecars, one at least and not all where there are more.
func (d *Day) drawSidecarSubset(rng *rand.Rand) []int {
	n := 1 + rng.IntN(max(len(d.Sidecars)/2, 1))
	some := rng.Perm(len(d.Sidecars))[:n]
	slices.Sort(some)
	return some
}

func without(all, some []int) []int {
	return slices.DeleteFunc(all, func(n int) bool { return slices.Contains(some, n) })
}

func someBoxes(minimum, maximum, minSeconds, maxDelaySeconds float64) func(*Fault, *Day, *rand.Rand) {
	return func(fault *Fault, day *Day, rng *rand.Rand) {
		fault.Servers, fault.DurationSeconds = day.drawServerNames(rng, minimum, maximum), uniform(rng, minSeconds, maxDelaySeconds)
	}
}

func spoils(fault *Fault, day *Day, rng *rand.Rand) {
	someBoxes(0.1, 1, 3, 20)(fault, day, rng)
	fault.Share = uniform(rng, 0.01, 0.3)
}

// pick returns the names of a share of the boxes that stand, one at least.
func (d *Day) drawServerNames(rng *rand.Rand, minimum, maximum float64) []string {
	n := max(1, int(math.Round(uniform(rng, minimum, maximum)*float64(d.InitialServers))))
	names := make([]string, 0, n)
	for _, i := range rng.Perm(d.InitialServers)[:n] {
		names = append(names, d.Servers[i].Name)
	}
	return names
}

func (d *Day) drawSidecar(rng *rand.Rand) []int { return []int{rng.IntN(len(d.Sidecars))} }

// drawConnectionTroubles adds troubles of connections, watches and clients that leave, on about two thirds of the days that have any.
func drawConnectionTroubles(day *Day, s *Script) {
	rng := randomStream(day.Seed, "connections", 0)
	for range rng.IntN(3) {
		kind := &connectionFaultKinds[rng.IntN(len(connectionFaultKinds))]
		fault := Fault{Kind: kind.name, AtSeconds: uniform(rng, settleSeconds, max(day.LengthSeconds-quietSeconds, settleSeconds))}
		kind.draw(&fault, day, rng)
		s.Faults = append(append(s.Faults, fault), companionFaults(&fault, day, rng)...)
	}
}
