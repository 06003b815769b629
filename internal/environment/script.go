package environment

import "cmp"

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

// StandBy returns how many of the day's last sidecars stand by at its start: those that are to come.
func (s *Script) StandbySidecars() (n int) {
	for i := range s.Faults {
		if fault := &s.Faults[i]; fault.Kind == ScaleOut {
			n += fault.SidecarCount
		}
	}
	return n
}

// AddPeer adds a trouble that was drawn. Of those that come no more than half of a day's sidecars stand by.
func (s *Script) AddPeerFault(fault Fault, day *Day) {
	if fault.Kind == ScaleOut && s.StandbySidecars()+fault.SidecarCount > len(day.Sidecars)/2 {
		return
	}
	s.Faults = append(s.Faults, fault)
}

func byTime(a, b Fault) int { return cmp.Compare(a.AtSeconds, b.AtSeconds) }
