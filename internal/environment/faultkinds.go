package environment

import (
	"math/rand/v2"
	"slices"
)

// Trouble kinds, as a script names them.
const (
	Hang             = "hang"           // boxes take work and answer nothing
	Crash            = "crash"          // boxes die and return cold, at the same address
	CrashMoved       = "crash-moved"    // or at another
	SiteLoss         = "site-loss"      // all boxes of a site go, with or without its sidecars, and return cold
	ScaleIn          = "shrink"         // boxes drain and then end
	StaleList        = "stale-list"     // discovery learns of everything later
	DiscoveryDown    = "discovery-down" // discovery is gone
	Resets           = "resets"         // connections to boxes are reset again and again
	HalfOpen         = "half-open"      // boxes' machines vanish: what is open stays open and silent
	OneWay           = "one-way"        // bytes in one direction between sidecars and boxes are lost
	SlowReader       = "slow-reader"    // applications read slowly
	MalformedAnswers = "spoilt"         // boxes spoil a share of their answers
	TrailingBytes    = "behind"         // boxes send bytes behind a share of their answers
	InterimResponses = "interim"        // boxes send 1xx answers in front of a share of their answers
	BadClients       = "bad-clients"    // clients that may not be served
	SilentFlood      = "silent-flood"   // connections that say nothing
	SidecarKill      = "sidecar-kill"   // a sidecar is killed and begins again
	SidecarTerm      = "sidecar-term"   // a sidecar is told to end and begins again
	Reload           = "reload"         // discovery moves, and sidecars are told so by a new configuration
	Cordon           = "taken-out"      // operators take boxes out at all sidecars, and give them back
	AddressReuse     = "reuse"          // a box ends, and another one begins at its address
)

// Faults of connections and watches, and clients that leave early.
const (
	ClientsLeave = "clients-leave" // clients close connections while their requests wait or are out
	SilentWatch  = "silent-watch"  // all open watches say nothing more; new ones do
	WatchReset   = "watch-reset"   // all connections to discovery are reset
	LateConnect  = "late-connect"  // connections to boxes come up late, or not in time
	EarlyClose   = "early-close"   // boxes close connections at rest early, some just as they are used again
	FullList     = "whole-list"    // a watch begins with the whole list, which leaves out what drains
)

// Troubles between sidecars that know each other.
const (
	PeerCut        = "peer-cut"    // bytes between sidecars are lost, both ways or one
	PeerHold       = "peer-hold"   // bytes between sidecars wait, and links stay up
	PeerSlow       = "peer-slow"   // bytes between sidecars go at a rate, and links stay up
	PeerReset      = "peer-reset"  // links between sidecars are reset again and again
	PeerNotReading = "peer-deaf"   // somebody asks sidecars again and again for what they know, as a peer does, and reads nothing
	Suspend        = "freeze"      // sidecars' processes stand still
	RestartAll     = "restart-all" // all sidecars are killed and begin again
	DiskFull       = "disk-full"   // what sidecars would keep on disk can't be written
	Clock          = "clock"       // sidecars' clocks run at another rate
	ScaleOut       = "grow"        // so many sidecars come that have stood by; those that leave are Shrink's, by how many
)

// kind says which fields a kind of trouble has and how one is drawn.
type faultKind struct {
	name     string
	fields   []string // beside kind and at_s
	optional []string // that it may leave out
	draw     func(t *Fault, d *Day, rng *rand.Rand)
}

// kinds are all there are, in the order in which they are drawn.
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

// connectionKinds are drawn beside the others, from a stream of their own, so that what the others are on a seed does not depend on them.
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

// besideIt draws what a trouble of connections comes with on half of the days, since it shows little without.
func companionFaults(fault *Fault, day *Day, rng *rand.Rand) []Fault {
	if rng.IntN(2) == 0 {
		return nil
	}
	// Danger: a server that ends soon after its notice shows nobody who goes by an old list.
	drains := Fault{Kind: ScaleIn, AtSeconds: fault.AtSeconds + uniform(rng, 0, 5), DrainSeconds: uniform(rng, 12, 25), Servers: day.drawServerNames(rng, 0.05, 0.25)}
	switch fault.Kind {
	case SilentWatch, WatchReset:
		return []Fault{drains}
	case DiscoveryDown:
		drains.AtSeconds += fault.DurationSeconds
		return []Fault{drains}
	case FullList: // what drains is left out of what follows an end of the watches
		return []Fault{drains, {Kind: WatchReset, AtSeconds: drains.AtSeconds + uniform(rng, 0, 6)}}
	case ClientsLeave: // attempts that get no answer are followed by others, and clients leave meanwhile
		return []Fault{{Kind: Hang, AtSeconds: fault.AtSeconds, DurationSeconds: fault.DurationSeconds, Servers: day.drawServerNames(rng, 0.1, 0.4)}}
	case LateConnect: // connections that are there last, so that few are dialed
		return []Fault{{Kind: EarlyClose, AtSeconds: fault.AtSeconds, DurationSeconds: fault.DurationSeconds, Servers: fault.Servers, Share: uniform(rng, 0.05, 0.3)}}
	}
	return nil
}

// allKinds are the lists of all kinds.
var faultKindLists = [][]faultKind{serverFaultKinds, connectionFaultKinds, peerFaultKinds}

// peerKinds are those of days on which sidecars know each other. Danger: among the others they would change what every seed is.
var peerFaultKinds = []faultKind{
	{PeerCut, []string{"for_s", "from"}, []string{"to", "one_way"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.From, t.OneWay = uniform(rng, 0.5, 12), d.drawSidecarSubset(rng), rng.IntN(3) == 0
		if rng.IntN(3) == 0 { // from one or two alone: they hear each other through the others
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
		t.DurationSeconds, t.Sidecars, t.State = uniform(rng, 0.1, 8), d.drawSidecarSubset(rng), []string{StateKept, StateKept, StateLost, StateTorn}[rng.IntN(4)]
	}},
	{SidecarTerm, []string{"for_s", "sidecars"}, []string{"state"}, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Sidecars, t.State = uniform(rng, 3.7, 8), d.drawSidecar(rng), []string{StateKept, StateKept, StateLost}[rng.IntN(3)]
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

func drawSidecarCount(fault *Fault, day *Day, rng *rand.Rand) {
	fault.SidecarCount = 1 + rng.IntN(max(len(day.Sidecars)/2, 1))
}

// Kinds returns the names of all kinds of trouble.
func FaultKinds() []string {
	var names []string
	for _, k := range slices.Concat(faultKindLists...) {
		if !slices.Contains(names, k.name) {
			names = append(names, k.name)
		}
	}
	return names
}

// kindOf returns the kind of a name; of two that share it the one whose fields a trouble has. nil: there is none.
func kindOf(name string, has func(field string) bool) (found *faultKind) {
	for _, all := range faultKindLists {
		for i := range all {
			if kind := &all[i]; kind.name == name && (found == nil || !found.given(has) && kind.given(has)) {
				found = kind
			}
		}
	}
	return found
}

// given tells whether all that a kind needs is there.
func (k *faultKind) given(has func(field string) bool) bool {
	return !slices.ContainsFunc(k.fields, func(f string) bool { return !has(f) })
}
