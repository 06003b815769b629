package environment

import (
	"cmp"
	"math"
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

// Trouble is one thing that goes wrong. A kind needs the fields that its line in kinds names, and has no others.
type Fault struct {
	Kind            string   `toml:"kind" json:"Kind"`
	AtSeconds       float64  `toml:"at_s" json:"AtS"`              // since the day's start
	DurationSeconds float64  `toml:"for_s,omitempty" json:"ForS"`  // until it is over, or until what went returns
	Servers         []string `toml:"boxes,omitempty" json:"Boxes"` // names
	Site            string   `toml:"site,omitempty" json:"Site"`
	// Sidecars are numbers, from 0.
	Sidecars      []int   `toml:"sidecars,omitempty" json:"Sidecars"`
	WithSidecars  bool    `toml:"with_sidecars,omitempty" json:"WithSidecars"` // a site's sidecars go with it
	Silent        bool    `toml:"silent,omitempty" json:"Silent"`              // machines vanish; else processes die
	Share         float64 `toml:"share,omitempty" json:"Share"`                // of the answers, or of the bytes' time
	RatePerSecond float64 `toml:"per_s,omitempty" json:"PerS"`                 // clients, connections, resets or bytes a second
	DrainSeconds  float64 `toml:"drain_s,omitempty" json:"DrainS"`             // time between the notice and the end
	DelaySeconds  float64 `toml:"lag_s,omitempty" json:"LagS"`                 // further delay of what discovery learns
	ToServer      bool    `toml:"to_box,omitempty" json:"ToBox"`               // the direction that is lost; else to the sidecar
	From          []int   `toml:"from,omitempty" json:"From"`                  // sidecars on one side
	To            []int   `toml:"to,omitempty" json:"To"`                      // and on the other; the rest where it is empty
	OneWay        bool    `toml:"one_way,omitempty" json:"OneWay"`             // from the first to the second alone
	State         string  `toml:"state,omitempty" json:"State"`                // of a process that comes back: kept, lost, torn or old
	SidecarCount  int     `toml:"by,omitempty" json:"By"`                      // how many sidecars come, or leave for good
	ClockRate     float64 `toml:"rate,omitempty" json:"Rate"`                  // of a clock; 1 is right
}

// What becomes of a process's state until it comes back.
const (
	StateKept = "kept"
	StateLost = "lost"
	StateTorn = "torn"
	StateOld  = "old" // what was there some writes ago
)

// Script is a day's troubles. With its seed it is all that a day needs to be played again.
type Script struct {
	Seed uint64 `toml:"seed"`
	// Luck draws the network's part of the day anew: the same world and troubles, other instants.
	NetworkSeed uint64 `toml:"luck,omitempty"`
	// Sidecars, Boxes and LengthS cut the day of the seed down, for whoever looks for the smallest one; 0: whole.
	Sidecars      int     `toml:"sidecars,omitempty"`
	Servers       int     `toml:"boxes,omitempty"`
	LengthSeconds float64 `toml:"length_s,omitempty"`

	Faults []Fault `toml:"trouble,omitempty"`
}

// Day draws the day that the script is about.
func (s *Script) Day(r Ranges) Day {
	d := Draw(s.Seed, r)
	d.Shorten(s.Sidecars, s.Servers, s.LengthSeconds)
	return d
}

// kind says which fields a kind of trouble has and how one is drawn.
type faultKind struct {
	name     string
	fields   []string // beside kind and at_s
	optional []string // that it may leave out
	draw     func(t *Fault, d *Day, rng *rand.Rand)
}

// kinds are all there are, in the order in which they are drawn.
var serverFaultKinds = []faultKind{
	{Hang, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.2, 5, 25)},
	{Crash, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.25, 1, 10)},
	{CrashMoved, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.25, 1, 10)},
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
		someBoxes(0.05, 0.4, 3, 15)(t, d, rng)
		t.RatePerSecond = uniform(rng, 0.5, 5)
	}},
	{HalfOpen, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.2, 5, 20)},
	{OneWay, []string{"for_s", "boxes"}, []string{"sidecars", "to_box"}, func(t *Fault, d *Day, rng *rand.Rand) {
		someBoxes(0.05, 0.3, 3, 15)(t, d, rng)
		t.ToServer = rng.IntN(2) == 0
		if rng.IntN(2) == 0 {
			t.Sidecars = []int{rng.IntN(len(d.Sidecars))}
		}
	}},
	{SlowReader, []string{"for_s", "sidecars", "share"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Share, t.Sidecars = uniform(rng, 3, 15), uniform(rng, 0.2, 0.9), d.drawSidecar(rng)
	}},
	{MalformedAnswers, []string{"for_s", "boxes", "share"}, nil, spoils},
	{TrailingBytes, []string{"for_s", "boxes", "share"}, nil, spoils},
	{InterimResponses, []string{"for_s", "boxes", "share"}, nil, spoils},
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
	{AddressReuse, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.15, 1, 8)},
	{Cordon, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.3, 2, 15)},
}

// connectionKinds are drawn beside the others, from a stream of their own, so that what the others are on a seed does not depend on them.
var connectionFaultKinds = []faultKind{
	{ClientsLeave, []string{"for_s", "sidecars", "share"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		t.DurationSeconds, t.Share, t.Sidecars = uniform(rng, 3, 15), uniform(rng, 0.05, 0.5), d.drawSidecarSubset(rng)
	}},
	{LateConnect, []string{"for_s", "boxes", "share", "lag_s"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		someBoxes(0.2, 1, 5, 20)(t, d, rng)
		t.Share, t.DelaySeconds = uniform(rng, 0.02, 0.4), uniform(rng, 0.1, 1.5)
	}},
	{EarlyClose, []string{"for_s", "boxes", "share"}, nil, func(t *Fault, d *Day, rng *rand.Rand) {
		someBoxes(0.1, 1, 5, 20)(t, d, rng)
		t.Share = uniform(rng, 0.01, 0.2)
	}},
	{SilentWatch, nil, nil, func(*Fault, *Day, *rand.Rand) {}},
	{WatchReset, nil, nil, func(*Fault, *Day, *rand.Rand) {}},
	{FullList, []string{"for_s"}, nil, func(t *Fault, _ *Day, rng *rand.Rand) { t.DurationSeconds = uniform(rng, 5, 25) }},
	{DiscoveryDown, []string{"for_s"}, nil, func(t *Fault, _ *Day, rng *rand.Rand) { t.DurationSeconds = uniform(rng, 2, 8) }},
}

// besideIt draws what a trouble of connections comes with on half of the days, since it shows little without.
func companionFaults(t *Fault, d *Day, rng *rand.Rand) []Fault {
	if rng.IntN(2) == 0 {
		return nil
	}
	// Danger: a server that ends soon after its notice shows nobody who goes by an old list.
	drains := Fault{Kind: ScaleIn, AtSeconds: t.AtSeconds + uniform(rng, 0, 5), DrainSeconds: uniform(rng, 12, 25), Servers: d.drawServerNames(rng, 0.05, 0.25)}
	switch t.Kind {
	case SilentWatch, WatchReset:
		return []Fault{drains}
	case DiscoveryDown:
		drains.AtSeconds += t.DurationSeconds
		return []Fault{drains}
	case FullList: // what drains is left out of what follows an end of the watches
		return []Fault{drains, {Kind: WatchReset, AtSeconds: drains.AtSeconds + uniform(rng, 0, 6)}}
	case ClientsLeave: // attempts that get no answer are followed by others, and clients leave meanwhile
		return []Fault{{Kind: Hang, AtSeconds: t.AtSeconds, DurationSeconds: t.DurationSeconds, Servers: d.drawServerNames(rng, 0.1, 0.4)}}
	case LateConnect: // connections that are there last, so that few are dialed
		return []Fault{{Kind: EarlyClose, AtSeconds: t.AtSeconds, DurationSeconds: t.DurationSeconds, Servers: t.Servers, Share: uniform(rng, 0.05, 0.3)}}
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

func drawSidecarCount(t *Fault, d *Day, rng *rand.Rand) {
	t.SidecarCount = 1 + rng.IntN(max(len(d.Sidecars)/2, 1))
}

// StandBy returns how many of the day's last sidecars stand by at its start: those that are to come.
func (s *Script) StandbySidecars() (n int) {
	for i := range s.Faults {
		if t := &s.Faults[i]; t.Kind == ScaleOut {
			n += t.SidecarCount
		}
	}
	return n
}

// AddPeer adds a trouble that was drawn. Of those that come no more than half of a day's sidecars stand by.
func (s *Script) AddPeerFault(t Fault, d *Day) {
	if t.Kind == ScaleOut && s.StandbySidecars()+t.SidecarCount > len(d.Sidecars)/2 {
		return
	}
	s.Faults = append(s.Faults, t)
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

// DrawPeerTroubles adds troubles between sidecars to a day's others.
func DrawPeerFaults(d *Day, s *Script) {
	rng := randomStream(d.Seed, "peers", 0)
	for range rng.IntN(6) {
		k := &peerFaultKinds[rng.IntN(len(peerFaultKinds))]
		t := Fault{Kind: k.name, AtSeconds: uniform(rng, settleSeconds, max(d.LengthSeconds-quietSeconds, settleSeconds))}
		k.draw(&t, d, rng)
		s.AddPeerFault(t, d)
		if t.Kind == DiskFull { // only a process that begins has something to keep
			s.AddPeerFault(Fault{Kind: SidecarKill, AtSeconds: t.AtSeconds + 0.5, DurationSeconds: 0.5, Sidecars: t.Sidecars, State: StateKept}, d)
		}
	}
	slices.SortStableFunc(s.Faults, byTime)
}

// DrawLags adds, on half of the days, times in which a sidecar hears late of what the others say, and is heard at once: its links break
// again and again, and what comes to it goes at a rate, so that what it must ask for comes long after it could have heard of it.
func DrawLags(d *Day, s *Script) {
	rng := randomStream(d.Seed, "lags", 0)
	if rng.IntN(2) == 0 || len(d.Sidecars) < 2 {
		return
	}
	for range 1 + rng.IntN(2) {
		who := d.drawSidecar(rng)
		others := make([]int, len(d.Sidecars))
		for i := range others {
			others[i] = i
		}
		at, lasts := uniform(rng, settleSeconds, max(d.LengthSeconds-quietSeconds, settleSeconds)), uniform(rng, 8, 25)
		s.Faults = append(s.Faults,
			Fault{Kind: PeerSlow, AtSeconds: at, DurationSeconds: lasts, From: without(others, who), To: who, RatePerSecond: uniform(rng, 200, 2000), OneWay: true},
			Fault{Kind: PeerReset, AtSeconds: at, DurationSeconds: lasts, From: who, RatePerSecond: uniform(rng, 0.2, 1)})
	}
	slices.SortStableFunc(s.Faults, byTime)
}

func byTime(a, b Fault) int { return cmp.Compare(a.AtSeconds, b.AtSeconds) }

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
			if k := &all[i]; k.name == name && (found == nil || !found.given(has) && k.given(has)) {
				found = k
			}
		}
	}
	return found
}

// given tells whether all that a kind needs is there.
func (k *faultKind) given(has func(field string) bool) bool {
	return !slices.ContainsFunc(k.fields, func(f string) bool { return !has(f) })
}

// between draws a figure and rounds it to milliseconds, so that a script can be read and edited.
func uniform(rng *rand.Rand, least, most float64) float64 {
	return math.Round((least+(most-least)*rng.Float64())*1e3) / 1e3
}

func someBoxes(least, most, leastS, mostS float64) func(*Fault, *Day, *rand.Rand) {
	return func(t *Fault, d *Day, rng *rand.Rand) {
		t.Servers, t.DurationSeconds = d.drawServerNames(rng, least, most), uniform(rng, leastS, mostS)
	}
}

func spoils(t *Fault, d *Day, rng *rand.Rand) {
	someBoxes(0.1, 1, 3, 20)(t, d, rng)
	t.Share = uniform(rng, 0.01, 0.3)
}

// pick returns the names of a share of the boxes that stand, one at least.
func (d *Day) drawServerNames(rng *rand.Rand, least, most float64) []string {
	n := max(1, int(math.Round(uniform(rng, least, most)*float64(d.InitialServers))))
	names := make([]string, 0, n)
	for _, i := range rng.Perm(d.InitialServers)[:n] {
		names = append(names, d.Servers[i].Name)
	}
	return names
}

func (d *Day) drawSidecar(rng *rand.Rand) []int { return []int{rng.IntN(len(d.Sidecars))} }

// settleS is how long a day runs before its first trouble, and quietS how long before its end the last one begins.
const (
	settleSeconds = 3.0
	quietSeconds  = 5.0
)

// DrawScript returns the troubles of a seed. Each day plays a mix of its own: every kind is turned off on about half
// of the days. Danger: with all kinds on every day the loud ones hide the others.
func DrawScript(d *Day) Script {
	rng := randomStream(d.Seed, "script", 0)
	s := Script{Seed: d.Seed}
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
		k := on[rng.IntN(len(on))]
		t := Fault{Kind: k.name, AtSeconds: uniform(rng, settleSeconds, max(d.LengthSeconds-quietSeconds, settleSeconds))}
		if k.name == Reload {
			if moves++; moves >= maxDiscoveryAddresses {
				continue
			}
		}
		k.draw(&t, d, rng)
		s.Faults = append(s.Faults, t)
	}
	drawConnectionTroubles(d, &s)
	slices.SortStableFunc(s.Faults, byTime)
	return s
}

// drawConnectionTroubles adds troubles of connections, watches and clients that leave, on about two thirds of the days that have any.
func drawConnectionTroubles(d *Day, s *Script) {
	rng := randomStream(d.Seed, "connections", 0)
	for range rng.IntN(3) {
		k := &connectionFaultKinds[rng.IntN(len(connectionFaultKinds))]
		t := Fault{Kind: k.name, AtSeconds: uniform(rng, settleSeconds, max(d.LengthSeconds-quietSeconds, settleSeconds))}
		k.draw(&t, d, rng)
		s.Faults = append(append(s.Faults, t), companionFaults(&t, d, rng)...)
	}
}
