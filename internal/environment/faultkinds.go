package environment

import (
	"math/rand/v2"
	"slices"
)

// FaultKind is what goes wrong. Its values are words of scripts, traces and reports.
type FaultKind string

// The kinds of faults of servers, discovery, clients and sidecars, as scripts name them.
const (
	Hang             FaultKind = "hang"           // servers accept requests and answer nothing
	Crash            FaultKind = "crash"          // servers are killed and restart cold, at the same address
	CrashMoved       FaultKind = "crash-moved"    // servers are killed and restart cold, at another address
	SiteLoss         FaultKind = "site-loss"      // all servers of a site stop, with or without its sidecars, and restart cold
	ScaleIn          FaultKind = "shrink"         // servers drain and then stop, or sidecars leave for good
	StaleList        FaultKind = "stale-list"     // discovery learns of everything after a further delay
	DiscoveryDown    FaultKind = "discovery-down" // discovery is down
	Resets           FaultKind = "resets"         // connections to servers are reset repeatedly
	HalfOpen         FaultKind = "half-open"      // servers' machines become unreachable: open connections stay open and silent
	OneWay           FaultKind = "one-way"        // bytes in one direction between sidecars and servers are lost
	SlowReader       FaultKind = "slow-reader"    // applications read slowly
	MalformedAnswers FaultKind = "spoilt"         // a share of the servers' answers is malformed
	TrailingBytes    FaultKind = "behind"         // bytes follow a share of the servers' answers
	InterimResponses FaultKind = "interim"        // 1xx responses precede a share of the servers' answers
	BadClients       FaultKind = "bad-clients"    // clients that must not be served connect
	SilentFlood      FaultKind = "silent-flood"   // clients connect and send nothing
	SidecarKill      FaultKind = "sidecar-kill"   // sidecars are killed and restart
	SidecarTerm      FaultKind = "sidecar-term"   // sidecars shut down gracefully and restart
	Reload           FaultKind = "reload"         // discovery moves, and sidecars reload a configuration with its address
	Cordon           FaultKind = "taken-out"      // operators cordon servers at all sidecars, and end that
	AddressReuse     FaultKind = "reuse"          // a server stops, and another one starts at its address
)

// The kinds of faults of connections and watches, and of clients that abandon requests.
const (
	ClientsLeave FaultKind = "clients-leave" // clients close connections while their requests are queued or in flight
	SilentWatch  FaultKind = "silent-watch"  // all open watches stall; new ones work
	WatchReset   FaultKind = "watch-reset"   // all connections to discovery are reset
	LateConnect  FaultKind = "late-connect"  // connections to servers are established late, or not in time
	EarlyClose   FaultKind = "early-close"   // servers close idle connections early, some just as they are used again
	FullList     FaultKind = "whole-list"    // a watch starts with the complete list, which leaves out draining servers
)

// The kinds of faults of days on which sidecars form a fleet.
const (
	PeerCut        FaultKind = "peer-cut"    // bytes between sidecars are lost, in both directions or one
	PeerHold       FaultKind = "peer-hold"   // bytes between sidecars are held back, and connections stay up
	PeerSlow       FaultKind = "peer-slow"   // bytes between sidecars are limited to a rate, and connections stay up
	PeerReset      FaultKind = "peer-reset"  // connections between sidecars are reset repeatedly
	PeerNotReading FaultKind = "peer-deaf"   // a client queries sidecars repeatedly, as a peer does, and reads nothing
	Suspend        FaultKind = "freeze"      // sidecars' processes are suspended
	RestartAll     FaultKind = "restart-all" // all sidecars are killed and restart
	DiskFull       FaultKind = "disk-full"   // writes to sidecars' disks fail
	Clock          FaultKind = "clock"       // sidecars' clocks run at a wrong rate
	ScaleOut       FaultKind = "grow"        // standby sidecars start; ScaleIn is its counterpart
)

// faultKind says which fields a kind of fault has and how one is drawn.
type faultKind struct {
	name     FaultKind
	fields   []string // required beside kind and at_s
	optional []string // may be left out
	draw     func(t *Fault, d *Day, rng *rand.Rand)
}

// serverFaultKinds are the kinds of any day. Draws depend on their order.
var serverFaultKinds = []faultKind{
	{Hang, []string{"for_s", "boxes"}, nil, drawServersFor(0.05, 0.2, 5, 25)},
	{Crash, []string{"for_s", "boxes"}, nil, drawServersFor(0.05, 0.25, 1, 10)},
	{CrashMoved, []string{"for_s", "boxes"}, nil, drawServersFor(0.05, 0.25, 1, 10)},
	{SiteLoss, []string{"for_s", "site"}, []string{"with_sidecars", "silent"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Site = uniform(rng, 8, 25), d.Sites[rng.IntN(len(d.Sites))]
		t.WithSidecars, t.Silent = rng.IntN(2) == 0, rng.IntN(2) == 0
	}},
	{ScaleIn, []string{"drain_s", "boxes"}, []string{"for_s"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.Servers, t.DrainSeconds = d.drawServerNames(rng, 0.1, 0.45), uniform(rng, 2, 6)
		if rng.IntN(2) == 0 {
			t.DurationSeconds = uniform(rng, 8, 25)
		}
	}},
	{StaleList, []string{"for_s", "lag_s"}, nil, func(t *Fault, _ *Day, rng *rand.Rand) {
		t.DurationSeconds, t.DelaySeconds = uniform(rng, 10, 30), uniform(rng, 2, 30)
	}},
	{DiscoveryDown, []string{"for_s"}, nil, func(t *Fault, _ *Day, rng *rand.Rand) { t.DurationSeconds = uniform(rng, 2, 20) }},
	{Resets, []string{"for_s", "boxes", "per_s"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		drawServersFor(0.05, 0.4, 3, 15)(t, d, rng)
		t.RatePerSecond = uniform(rng, 0.5, 5)
	}},
	{HalfOpen, []string{"for_s", "boxes"}, nil, drawServersFor(0.05, 0.2, 5, 20)},
	{OneWay, []string{"for_s", "boxes"}, []string{"sidecars", "to_box"}, func(t *Fault, d *Day, rng *rand.Rand) {
		drawServersFor(0.05, 0.3, 3, 15)(t, d, rng)
		t.ToServer = rng.IntN(2) == 0
		if rng.IntN(2) == 0 {
			t.Sidecars = []int{rng.IntN(len(d.Sidecars))}
		}
	}},
	{SlowReader, []string{"for_s", "sidecars", "share"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Share, t.Sidecars = uniform(rng, 3, 15), uniform(rng, 0.2, 0.9), d.drawSidecar(rng)
	}},
	{MalformedAnswers, []string{"for_s", "boxes", "share"}, nil, drawMisbehavior},
	{TrailingBytes, []string{"for_s", "boxes", "share"}, nil, drawMisbehavior},
	{InterimResponses, []string{"for_s", "boxes", "share"}, nil, drawMisbehavior},
	{BadClients, []string{"for_s", "sidecars", "per_s"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.RatePerSecond, t.Sidecars = uniform(rng, 3, 20), uniform(rng, 2, 40), d.drawSidecar(rng)
	}},
	{SilentFlood, []string{"for_s", "sidecars", "per_s"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.RatePerSecond, t.Sidecars = uniform(rng, 1, 8), uniform(rng, 20, 300), d.drawSidecar(rng)
	}},
	{SidecarKill, []string{"for_s", "sidecars"}, []string{"state"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Sidecars = uniform(rng, 0.2, 6), d.drawSidecar(rng)
	}},
	{SidecarTerm, []string{"for_s", "sidecars"}, []string{"state"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Sidecars = uniform(rng, 3.7, 8), d.drawSidecar(rng)
	}},
	{Reload, nil, nil, func(*Fault, *Day, *rand.Rand) {}},
	{AddressReuse, []string{"for_s", "boxes"}, nil, drawServersFor(0.05, 0.15, 1, 8)},
	{Cordon, []string{"for_s", "boxes"}, nil, drawServersFor(0.05, 0.3, 2, 15)},
}

// connectionFaultKinds are drawn from a random stream of their own, so that the other faults of a seed don't depend on them.
var connectionFaultKinds = []faultKind{
	{ClientsLeave, []string{"for_s", "sidecars", "share"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Share, t.Sidecars = uniform(rng, 3, 15), uniform(rng, 0.05, 0.5), d.drawSidecarSubset(rng)
	}},
	{LateConnect, []string{"for_s", "boxes", "share", "lag_s"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		drawServersFor(0.2, 1, 5, 20)(t, d, rng)
		t.Share, t.DelaySeconds = uniform(rng, 0.02, 0.4), uniform(rng, 0.1, 1.5)
	}},
	{EarlyClose, []string{"for_s", "boxes", "share"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		drawServersFor(0.1, 1, 5, 20)(t, d, rng)
		t.Share = uniform(rng, 0.01, 0.2)
	}},
	{SilentWatch, nil, nil, func(*Fault, *Day, *rand.Rand) {}},
	{WatchReset, nil, nil, func(*Fault, *Day, *rand.Rand) {}},
	{FullList, []string{"for_s"}, nil, func(t *Fault, _ *Day, rng *rand.Rand) { t.DurationSeconds = uniform(rng, 5, 25) }},
	{DiscoveryDown, []string{"for_s"}, nil, func(t *Fault, _ *Day, rng *rand.Rand) { t.DurationSeconds = uniform(rng, 2, 8) }},
}

// companionFaults draws, on half of the days, faults without which a fault of connections has little effect.
func companionFaults(fault *Fault, day *Day, rng *rand.Rand) []Fault {
	if rng.IntN(2) == 0 {
		return nil
	}
	// Danger: a server that stops soon after its notice shows no sidecar that uses an old list.
	drains := Fault{Kind: ScaleIn, AtSeconds: fault.AtSeconds + uniform(rng, 0, 5), DrainSeconds: uniform(rng, 12, 25), Servers: day.drawServerNames(rng, 0.05, 0.25)}
	switch fault.Kind {
	case SilentWatch, WatchReset:
		return []Fault{drains}
	case DiscoveryDown:
		drains.AtSeconds += fault.DurationSeconds
		return []Fault{drains}
	case FullList: // draining servers are missing in the lists after the reset
		return []Fault{drains, {Kind: WatchReset, AtSeconds: drains.AtSeconds + uniform(rng, 0, 6)}}
	case ClientsLeave: // attempts without an answer are retried, and clients abandon meanwhile
		return []Fault{{Kind: Hang, AtSeconds: fault.AtSeconds, DurationSeconds: fault.DurationSeconds, Servers: day.drawServerNames(rng, 0.1, 0.4)}}
	case LateConnect: // otherwise connections are kept, and few are dialed
		return []Fault{{Kind: EarlyClose, AtSeconds: fault.AtSeconds, DurationSeconds: fault.DurationSeconds, Servers: fault.Servers, Share: uniform(rng, 0.05, 0.3)}}
	}
	return nil
}

// faultKindLists are the lists of all kinds.
var faultKindLists = [][]faultKind{serverFaultKinds, connectionFaultKinds, peerFaultKinds}

// peerFaultKinds are the further kinds of days on which sidecars form a fleet.
//
// Danger: in serverFaultKinds they would change the draws of every seed.
var peerFaultKinds = []faultKind{
	{PeerCut, []string{"for_s", "from"}, []string{"to", "one_way"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.From, t.OneWay = uniform(rng, 0.5, 12), d.drawSidecarSubset(rng), rng.IntN(3) == 0
		if rng.IntN(3) == 0 { // some pairs alone, which still reach each other through the others
			if t.To = without(d.drawSidecarSubset(rng), t.From); len(t.To) == 0 {
				t.To = nil // the rest
			}
		}
	}},
	{PeerHold, []string{"for_s", "from"}, []string{"to", "one_way"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.From, t.OneWay = uniform(rng, 0.5, 12), d.drawSidecarSubset(rng), rng.IntN(3) == 0
	}},
	{PeerSlow, []string{"for_s", "from", "per_s"}, []string{"to", "one_way"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.From, t.RatePerSecond, t.OneWay = uniform(rng, 1, 12), d.drawSidecarSubset(rng), uniform(rng, 20, 2000), rng.IntN(3) == 0
	}},
	{PeerReset, []string{"for_s", "from", "per_s"}, []string{"to"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.From, t.RatePerSecond = uniform(rng, 1, 10), d.drawSidecarSubset(rng), uniform(rng, 0.5, 5)
	}},
	{PeerNotReading, []string{"for_s", "sidecars", "per_s"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.RatePerSecond, t.Sidecars = uniform(rng, 5, 15), uniform(rng, 100, 1000), d.drawSidecar(rng)
	}},
	{Suspend, []string{"for_s", "sidecars"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Sidecars = uniform(rng, 0.3, 9), d.drawSidecar(rng)
	}},
	{SidecarKill, []string{"for_s", "sidecars"}, []string{"state"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Sidecars, t.State = uniform(rng, 0.1, 8), d.drawSidecarSubset(rng), []StoredState{StateKept, StateKept, StateLost, StateTorn}[rng.IntN(4)]
	}},
	{SidecarTerm, []string{"for_s", "sidecars"}, []string{"state"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Sidecars, t.State = uniform(rng, 3.7, 8), d.drawSidecar(rng), []StoredState{StateKept, StateKept, StateLost}[rng.IntN(3)]
	}},
	{RestartAll, []string{"for_s"}, nil, func(t *Fault, _ *Day, rng *rand.Rand) { t.DurationSeconds = uniform(rng, 0.1, 1) }},
	{DiskFull, []string{"for_s", "sidecars"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Sidecars = uniform(rng, 2, 12), d.drawSidecarSubset(rng)
	}},
	{Clock, []string{"for_s", "sidecars", "rate"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Sidecars, t.ClockRate = uniform(rng, 5, 60), d.drawSidecarSubset(rng), uniform(rng, minClockRate, maxClockRate)
	}},
	{ScaleOut, []string{"by"}, nil, drawSidecarCount},
	{ScaleIn, []string{"by"}, []string{"drain_s"}, func(t *Fault, d *Day, rng *rand.Rand) {
		drawSidecarCount(t, d, rng)
		t.DrainSeconds = uniform(rng, 3.7, 8)
	}},
}

// drawSidecarCount draws how many sidecars a fault is about: at most half of them.
func drawSidecarCount(fault *Fault, day *Day, rng *rand.Rand) {
	fault.SidecarCount = 1 + rng.IntN(max(len(day.Sidecars)/2, 1))
}

// FaultKinds returns the names of all kinds of faults.
func FaultKinds() []string {
	var names []string
	for _, k := range slices.Concat(faultKindLists...) {
		if !slices.Contains(names, string(k.name)) {
			names = append(names, string(k.name))
		}
	}
	return names
}

// kindOf returns the kind with a name; of two with the same name, the one whose fields are given. nil: there is none.
func kindOf(name FaultKind, has func(field string) bool) (found *faultKind) {
	for _, all := range faultKindLists {
		for i := range all {
			if kind := &all[i]; kind.name == name && (found == nil || !found.given(has) && kind.given(has)) {
				found = kind
			}
		}
	}
	return found
}

// given reports whether all required fields of the kind are given.
func (k *faultKind) given(has func(field string) bool) bool {
	return !slices.ContainsFunc(k.fields, func(f string) bool { return !has(f) })
}
