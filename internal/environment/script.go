package environment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Trouble kinds, as a script names them.
const (
	Hang          = "hang"           // boxes take work and answer nothing
	Crash         = "crash"          // boxes die and return cold, at the same address
	CrashMoved    = "crash-moved"    // or at another
	SiteLoss      = "site-loss"      // all boxes of a site go, with or without its sidecars, and return cold
	Shrink        = "shrink"         // boxes drain and then end
	StaleList     = "stale-list"     // discovery learns of everything later
	DiscoveryDown = "discovery-down" // discovery is gone
	Resets        = "resets"         // connections to boxes are reset again and again
	HalfOpen      = "half-open"      // boxes' machines vanish: what is open stays open and silent
	OneWay        = "one-way"        // bytes in one direction between sidecars and boxes are lost
	SlowReader    = "slow-reader"    // applications read slowly
	Spoilt        = "spoilt"         // boxes spoil a share of their answers
	Behind        = "behind"         // boxes send bytes behind a share of their answers
	Interim       = "interim"        // boxes send 1xx answers in front of a share of their answers
	BadClients    = "bad-clients"    // clients that may not be served
	SilentFlood   = "silent-flood"   // connections that say nothing
	SidecarKill   = "sidecar-kill"   // a sidecar is killed and begins again
	SidecarTerm   = "sidecar-term"   // a sidecar is told to end and begins again
	Reload        = "reload"         // discovery moves, and sidecars are told so by a new configuration
	TakenOut      = "taken-out"      // operators take boxes out at all sidecars, and give them back
	Reuse         = "reuse"          // a box ends, and another one begins at its address
)

// Faults of connections and watches, and clients that leave early.
const (
	ClientsLeave = "clients-leave" // clients close connections while their requests wait or are out
	SilentWatch  = "silent-watch"  // all open watches say nothing more; new ones do
	WatchReset   = "watch-reset"   // all connections to discovery are reset
	LateConnect  = "late-connect"  // connections to boxes come up late, or not in time
	EarlyClose   = "early-close"   // boxes close connections at rest early, some just as they are used again
	WholeList    = "whole-list"    // a watch begins with the whole list, which leaves out what drains
)

// Troubles between sidecars that know each other.
const (
	PeerCut    = "peer-cut"    // bytes between sidecars are lost, both ways or one
	PeerHold   = "peer-hold"   // bytes between sidecars wait, and links stay up
	PeerSlow   = "peer-slow"   // bytes between sidecars go at a rate, and links stay up
	PeerReset  = "peer-reset"  // links between sidecars are reset again and again
	PeerDeaf   = "peer-deaf"   // somebody asks sidecars again and again for what they know, as a peer does, and reads nothing
	Freeze     = "freeze"      // sidecars' processes stand still
	RestartAll = "restart-all" // all sidecars are killed and begin again
	DiskFull   = "disk-full"   // what sidecars would keep on disk can't be written
	Clock      = "clock"       // sidecars' clocks run at another rate
	Grow       = "grow"        // so many sidecars come that have stood by; those that leave are Shrink's, by how many
)

// Trouble is one thing that goes wrong. A kind needs the fields that its line in kinds names, and has no others.
type Trouble struct {
	Kind  string   `toml:"kind" json:"Kind"`
	AtS   float64  `toml:"at_s" json:"AtS"`              // since the day's start
	ForS  float64  `toml:"for_s,omitempty" json:"ForS"`  // until it is over, or until what went returns
	Boxes []string `toml:"boxes,omitempty" json:"Boxes"` // names
	Site  string   `toml:"site,omitempty" json:"Site"`
	// Sidecars are numbers, from 0.
	Sidecars     []int   `toml:"sidecars,omitempty" json:"Sidecars"`
	WithSidecars bool    `toml:"with_sidecars,omitempty" json:"WithSidecars"` // a site's sidecars go with it
	Silent       bool    `toml:"silent,omitempty" json:"Silent"`              // machines vanish; else processes die
	Share        float64 `toml:"share,omitempty" json:"Share"`                // of the answers, or of the bytes' time
	PerS         float64 `toml:"per_s,omitempty" json:"PerS"`                 // clients, connections, resets or bytes a second
	DrainS       float64 `toml:"drain_s,omitempty" json:"DrainS"`             // time between the notice and the end
	LagS         float64 `toml:"lag_s,omitempty" json:"LagS"`                 // further delay of what discovery learns
	ToBox        bool    `toml:"to_box,omitempty" json:"ToBox"`               // the direction that is lost; else to the sidecar
	From         []int   `toml:"from,omitempty" json:"From"`                  // sidecars on one side
	To           []int   `toml:"to,omitempty" json:"To"`                      // and on the other; the rest where it is empty
	OneWay       bool    `toml:"one_way,omitempty" json:"OneWay"`             // from the first to the second alone
	State        string  `toml:"state,omitempty" json:"State"`                // of a process that comes back: kept, lost, torn or old
	By           int     `toml:"by,omitempty" json:"By"`                      // how many sidecars come, or leave for good
	Rate         float64 `toml:"rate,omitempty" json:"Rate"`                  // of a clock; 1 is right
}

// What becomes of a process's state until it comes back.
const (
	Kept = "kept"
	Lost = "lost"
	Torn = "torn"
	Old  = "old" // what was there some writes ago
)

// Script is a day's troubles. With its seed it is all that a day needs to be played again.
type Script struct {
	Seed uint64 `toml:"seed"`
	// Luck draws the network's part of the day anew: the same world and troubles, other instants.
	Luck uint64 `toml:"luck,omitempty"`
	// Sidecars, Boxes and LengthS cut the day of the seed down, for whoever looks for the smallest one; 0: whole.
	Sidecars int     `toml:"sidecars,omitempty"`
	Boxes    int     `toml:"boxes,omitempty"`
	LengthS  float64 `toml:"length_s,omitempty"`

	Troubles []Trouble `toml:"trouble,omitempty"`
}

// Day draws the day that the script is about.
func (s *Script) Day(r Ranges) Day {
	d := Draw(s.Seed, r)
	d.Shorten(s.Sidecars, s.Boxes, s.LengthS)
	return d
}

// kind says which fields a kind of trouble has and how one is drawn.
type kind struct {
	name   string
	fields []string // beside kind and at_s
	may    []string // that it may leave out
	draw   func(t *Trouble, d *Day, rng *rand.Rand)
}

// kinds are all there are, in the order in which they are drawn.
var kinds = []kind{
	{Hang, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.2, 5, 25)},
	{Crash, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.25, 1, 10)},
	{CrashMoved, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.25, 1, 10)},
	{SiteLoss, []string{"for_s", "site"}, []string{"with_sidecars", "silent"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.Site = between(rng, 8, 25), d.Sites[rng.IntN(len(d.Sites))]
		t.WithSidecars, t.Silent = rng.IntN(2) == 0, rng.IntN(2) == 0
	}},
	{Shrink, []string{"drain_s", "boxes"}, []string{"for_s"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.Boxes, t.DrainS = d.pick(rng, 0.1, 0.45), between(rng, 2, 6)
		if rng.IntN(2) == 0 {
			t.ForS = between(rng, 8, 25)
		}
	}},
	{StaleList, []string{"for_s", "lag_s"}, nil, func(t *Trouble, _ *Day, rng *rand.Rand) {
		t.ForS, t.LagS = between(rng, 10, 30), between(rng, 2, 30)
	}},
	{DiscoveryDown, []string{"for_s"}, nil, func(t *Trouble, _ *Day, rng *rand.Rand) { t.ForS = between(rng, 2, 20) }},
	{Resets, []string{"for_s", "boxes", "per_s"}, nil, func(t *Trouble, d *Day, rng *rand.Rand) {
		someBoxes(0.05, 0.4, 3, 15)(t, d, rng)
		t.PerS = between(rng, 0.5, 5)
	}},
	{HalfOpen, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.2, 5, 20)},
	{OneWay, []string{"for_s", "boxes"}, []string{"sidecars", "to_box"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		someBoxes(0.05, 0.3, 3, 15)(t, d, rng)
		t.ToBox = rng.IntN(2) == 0
		if rng.IntN(2) == 0 {
			t.Sidecars = []int{rng.IntN(len(d.Sidecars))}
		}
	}},
	{SlowReader, []string{"for_s", "sidecars", "share"}, nil, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.Share, t.Sidecars = between(rng, 3, 15), between(rng, 0.2, 0.9), d.oneSidecar(rng)
	}},
	{Spoilt, []string{"for_s", "boxes", "share"}, nil, spoils},
	{Behind, []string{"for_s", "boxes", "share"}, nil, spoils},
	{Interim, []string{"for_s", "boxes", "share"}, nil, spoils},
	{BadClients, []string{"for_s", "sidecars", "per_s"}, nil, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.PerS, t.Sidecars = between(rng, 3, 20), between(rng, 2, 40), d.oneSidecar(rng)
	}},
	{SilentFlood, []string{"for_s", "sidecars", "per_s"}, nil, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.PerS, t.Sidecars = between(rng, 1, 8), between(rng, 20, 300), d.oneSidecar(rng)
	}},
	{SidecarKill, []string{"for_s", "sidecars"}, []string{"state"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.Sidecars = between(rng, 0.2, 6), d.oneSidecar(rng)
	}},
	{SidecarTerm, []string{"for_s", "sidecars"}, []string{"state"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.Sidecars = between(rng, 3.7, 8), d.oneSidecar(rng)
	}},
	{Reload, nil, nil, func(*Trouble, *Day, *rand.Rand) {}},
	{Reuse, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.15, 1, 8)},
	{TakenOut, []string{"for_s", "boxes"}, nil, someBoxes(0.05, 0.3, 2, 15)},
}

// connectionKinds are drawn beside the others, from a stream of their own, so that what the others are on a seed does not depend on them.
var connectionKinds = []kind{
	{ClientsLeave, []string{"for_s", "sidecars", "share"}, nil, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.Share, t.Sidecars = between(rng, 3, 15), between(rng, 0.05, 0.5), d.someSidecars(rng)
	}},
	{LateConnect, []string{"for_s", "boxes", "share", "lag_s"}, nil, func(t *Trouble, d *Day, rng *rand.Rand) {
		someBoxes(0.2, 1, 5, 20)(t, d, rng)
		t.Share, t.LagS = between(rng, 0.02, 0.4), between(rng, 0.1, 1.5)
	}},
	{EarlyClose, []string{"for_s", "boxes", "share"}, nil, func(t *Trouble, d *Day, rng *rand.Rand) {
		someBoxes(0.1, 1, 5, 20)(t, d, rng)
		t.Share = between(rng, 0.01, 0.2)
	}},
	{SilentWatch, nil, nil, func(*Trouble, *Day, *rand.Rand) {}},
	{WatchReset, nil, nil, func(*Trouble, *Day, *rand.Rand) {}},
	{WholeList, []string{"for_s"}, nil, func(t *Trouble, _ *Day, rng *rand.Rand) { t.ForS = between(rng, 5, 25) }},
	{DiscoveryDown, []string{"for_s"}, nil, func(t *Trouble, _ *Day, rng *rand.Rand) { t.ForS = between(rng, 2, 8) }},
}

// besideIt draws what a trouble of connections comes with on half of the days, since it shows little without.
func besideIt(t *Trouble, d *Day, rng *rand.Rand) []Trouble {
	if rng.IntN(2) == 0 {
		return nil
	}
	// Danger: a server that ends soon after its notice shows nobody who goes by an old list.
	drains := Trouble{Kind: Shrink, AtS: t.AtS + between(rng, 0, 5), DrainS: between(rng, 12, 25), Boxes: d.pick(rng, 0.05, 0.25)}
	switch t.Kind {
	case SilentWatch, WatchReset:
		return []Trouble{drains}
	case DiscoveryDown:
		drains.AtS += t.ForS
		return []Trouble{drains}
	case WholeList: // what drains is left out of what follows an end of the watches
		return []Trouble{drains, {Kind: WatchReset, AtS: drains.AtS + between(rng, 0, 6)}}
	case ClientsLeave: // attempts that get no answer are followed by others, and clients leave meanwhile
		return []Trouble{{Kind: Hang, AtS: t.AtS, ForS: t.ForS, Boxes: d.pick(rng, 0.1, 0.4)}}
	case LateConnect: // connections that are there last, so that few are dialed
		return []Trouble{{Kind: EarlyClose, AtS: t.AtS, ForS: t.ForS, Boxes: t.Boxes, Share: between(rng, 0.05, 0.3)}}
	}
	return nil
}

// allKinds are the lists of all kinds.
var allKinds = [][]kind{kinds, connectionKinds, peerKinds}

// peerKinds are those of days on which sidecars know each other. Danger: among the others they would change what every seed is.
var peerKinds = []kind{
	{PeerCut, []string{"for_s", "from"}, []string{"to", "one_way"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.From, t.OneWay = between(rng, 0.5, 12), d.someSidecars(rng), rng.IntN(3) == 0
		if rng.IntN(3) == 0 { // from one or two alone: they hear each other through the others
			if t.To = without(d.someSidecars(rng), t.From); len(t.To) == 0 {
				t.To = nil // the rest
			}
		}
	}},
	{PeerHold, []string{"for_s", "from"}, []string{"to", "one_way"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.From, t.OneWay = between(rng, 0.5, 12), d.someSidecars(rng), rng.IntN(3) == 0
	}},
	{PeerSlow, []string{"for_s", "from", "per_s"}, []string{"to", "one_way"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.From, t.PerS, t.OneWay = between(rng, 1, 12), d.someSidecars(rng), between(rng, 20, 2000), rng.IntN(3) == 0
	}},
	{PeerReset, []string{"for_s", "from", "per_s"}, []string{"to"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.From, t.PerS = between(rng, 1, 10), d.someSidecars(rng), between(rng, 0.5, 5)
	}},
	{PeerDeaf, []string{"for_s", "sidecars", "per_s"}, nil, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.PerS, t.Sidecars = between(rng, 5, 15), between(rng, 100, 1000), d.oneSidecar(rng)
	}},
	{Freeze, []string{"for_s", "sidecars"}, nil, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.Sidecars = between(rng, 0.3, 9), d.oneSidecar(rng)
	}},
	{SidecarKill, []string{"for_s", "sidecars"}, []string{"state"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.Sidecars, t.State = between(rng, 0.1, 8), d.someSidecars(rng), []string{Kept, Kept, Lost, Torn}[rng.IntN(4)]
	}},
	{SidecarTerm, []string{"for_s", "sidecars"}, []string{"state"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.Sidecars, t.State = between(rng, 3.7, 8), d.oneSidecar(rng), []string{Kept, Kept, Lost}[rng.IntN(3)]
	}},
	{RestartAll, []string{"for_s"}, nil, func(t *Trouble, _ *Day, rng *rand.Rand) { t.ForS = between(rng, 0.1, 1) }},
	{DiskFull, []string{"for_s", "sidecars"}, nil, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.Sidecars = between(rng, 2, 12), d.someSidecars(rng)
	}},
	{Clock, []string{"for_s", "sidecars", "rate"}, nil, func(t *Trouble, d *Day, rng *rand.Rand) {
		t.ForS, t.Sidecars, t.Rate = between(rng, 5, 60), d.someSidecars(rng), between(rng, leastRate, mostRate)
	}},
	{Grow, []string{"by"}, nil, byHowMany},
	{Shrink, []string{"by"}, []string{"drain_s"}, func(t *Trouble, d *Day, rng *rand.Rand) {
		byHowMany(t, d, rng)
		t.DrainS = between(rng, 3.7, 8)
	}},
}

func byHowMany(t *Trouble, d *Day, rng *rand.Rand) { t.By = 1 + rng.IntN(max(len(d.Sidecars)/2, 1)) }

// StandBy returns how many of the day's last sidecars stand by at its start: those that are to come.
func (s *Script) StandBy() (n int) {
	for i := range s.Troubles {
		if t := &s.Troubles[i]; t.Kind == Grow {
			n += t.By
		}
	}
	return n
}

// AddPeer adds a trouble that was drawn. Of those that come no more than half of a day's sidecars stand by.
func (s *Script) AddPeer(t Trouble, d *Day) {
	if t.Kind == Grow && s.StandBy()+t.By > len(d.Sidecars)/2 {
		return
	}
	s.Troubles = append(s.Troubles, t)
}

// someSidecars draws a part of the sidecars, one at least and not all where there are more.
func (d *Day) someSidecars(rng *rand.Rand) []int {
	n := 1 + rng.IntN(max(len(d.Sidecars)/2, 1))
	some := rng.Perm(len(d.Sidecars))[:n]
	slices.Sort(some)
	return some
}

func without(all, some []int) []int {
	return slices.DeleteFunc(all, func(n int) bool { return slices.Contains(some, n) })
}

// DrawPeerTroubles adds troubles between sidecars to a day's others.
func DrawPeerTroubles(d *Day, s *Script) {
	rng := stream(d.Seed, "peers", 0)
	for range rng.IntN(6) {
		k := &peerKinds[rng.IntN(len(peerKinds))]
		t := Trouble{Kind: k.name, AtS: between(rng, settleS, max(d.LengthS-quietS, settleS))}
		k.draw(&t, d, rng)
		s.AddPeer(t, d)
		if t.Kind == DiskFull { // only a process that begins has something to keep
			s.AddPeer(Trouble{Kind: SidecarKill, AtS: t.AtS + 0.5, ForS: 0.5, Sidecars: t.Sidecars, State: Kept}, d)
		}
	}
	slices.SortStableFunc(s.Troubles, byTime)
}

// DrawLags adds, on half of the days, times in which a sidecar hears late of what the others say, and is heard at once: its links break
// again and again, and what comes to it goes at a rate, so that what it must ask for comes long after it could have heard of it.
func DrawLags(d *Day, s *Script) {
	rng := stream(d.Seed, "lags", 0)
	if rng.IntN(2) == 0 || len(d.Sidecars) < 2 {
		return
	}
	for range 1 + rng.IntN(2) {
		who := d.oneSidecar(rng)
		others := make([]int, len(d.Sidecars))
		for i := range others {
			others[i] = i
		}
		at, lasts := between(rng, settleS, max(d.LengthS-quietS, settleS)), between(rng, 8, 25)
		s.Troubles = append(s.Troubles,
			Trouble{Kind: PeerSlow, AtS: at, ForS: lasts, From: without(others, who), To: who, PerS: between(rng, 200, 2000), OneWay: true},
			Trouble{Kind: PeerReset, AtS: at, ForS: lasts, From: who, PerS: between(rng, 0.2, 1)})
	}
	slices.SortStableFunc(s.Troubles, byTime)
}

func byTime(a, b Trouble) int { return cmp.Compare(a.AtS, b.AtS) }

// Kinds returns the names of all kinds of trouble.
func Kinds() []string {
	var names []string
	for _, k := range slices.Concat(allKinds...) {
		if !slices.Contains(names, k.name) {
			names = append(names, k.name)
		}
	}
	return names
}

// kindOf returns the kind of a name; of two that share it the one whose fields a trouble has. nil: there is none.
func kindOf(name string, has func(field string) bool) (found *kind) {
	for _, all := range allKinds {
		for i := range all {
			if k := &all[i]; k.name == name && (found == nil || !found.given(has) && k.given(has)) {
				found = k
			}
		}
	}
	return found
}

// given tells whether all that a kind needs is there.
func (k *kind) given(has func(field string) bool) bool {
	return !slices.ContainsFunc(k.fields, func(f string) bool { return !has(f) })
}

// between draws a figure and rounds it to milliseconds, so that a script can be read and edited.
func between(rng *rand.Rand, least, most float64) float64 {
	return math.Round((least+(most-least)*rng.Float64())*1e3) / 1e3
}

func someBoxes(least, most, leastS, mostS float64) func(*Trouble, *Day, *rand.Rand) {
	return func(t *Trouble, d *Day, rng *rand.Rand) {
		t.Boxes, t.ForS = d.pick(rng, least, most), between(rng, leastS, mostS)
	}
}

func spoils(t *Trouble, d *Day, rng *rand.Rand) {
	someBoxes(0.1, 1, 3, 20)(t, d, rng)
	t.Share = between(rng, 0.01, 0.3)
}

// pick returns the names of a share of the boxes that stand, one at least.
func (d *Day) pick(rng *rand.Rand, least, most float64) []string {
	n := max(1, int(math.Round(between(rng, least, most)*float64(d.InitialServers))))
	names := make([]string, 0, n)
	for _, i := range rng.Perm(d.InitialServers)[:n] {
		names = append(names, d.Servers[i].Name)
	}
	return names
}

func (d *Day) oneSidecar(rng *rand.Rand) []int { return []int{rng.IntN(len(d.Sidecars))} }

// settleS is how long a day runs before its first trouble, and quietS how long before its end the last one begins.
const (
	settleS = 3.0
	quietS  = 5.0
)

// DrawScript returns the troubles of a seed. Each day plays a mix of its own: every kind is turned off on about half
// of the days. Danger: with all kinds on every day the loud ones hide the others.
func DrawScript(d *Day) Script {
	rng := stream(d.Seed, "script", 0)
	s := Script{Seed: d.Seed}
	var on []*kind
	for i := range kinds {
		if rng.IntN(2) == 0 {
			on = append(on, &kinds[i])
		}
	}
	if len(on) == 0 || rng.IntN(10) == 0 {
		return s // a quiet day
	}
	moves := 0
	for range 1 + rng.IntN(7) {
		k := on[rng.IntN(len(on))]
		t := Trouble{Kind: k.name, AtS: between(rng, settleS, max(d.LengthS-quietS, settleS))}
		if k.name == Reload {
			if moves++; moves >= discoveryMoves {
				continue
			}
		}
		k.draw(&t, d, rng)
		s.Troubles = append(s.Troubles, t)
	}
	drawConnectionTroubles(d, &s)
	slices.SortStableFunc(s.Troubles, byTime)
	return s
}

// drawConnectionTroubles adds troubles of connections, watches and clients that leave, on about two thirds of the days that have any.
func drawConnectionTroubles(d *Day, s *Script) {
	rng := stream(d.Seed, "connections", 0)
	for range rng.IntN(3) {
		k := &connectionKinds[rng.IntN(len(connectionKinds))]
		t := Trouble{Kind: k.name, AtS: between(rng, settleS, max(d.LengthS-quietS, settleS))}
		k.draw(&t, d, rng)
		s.Troubles = append(append(s.Troubles, t), besideIt(&t, d, rng)...)
	}
}
