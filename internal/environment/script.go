package environment

import "cmp"

// Fault is one fault of a script. It has the fields that its faultKind names, and no others. Its TOML and JSON forms are
// stored and sent, and keep their keys.
type Fault struct {
	Kind            FaultKind `toml:"kind" json:"Kind"`
	AtSeconds       float64   `toml:"at_s" json:"AtS"`              // since the day's start
	DurationSeconds float64   `toml:"for_s,omitempty" json:"ForS"`  // until it is over, or until what stopped restarts
	Servers         []string  `toml:"boxes,omitempty" json:"Boxes"` // names
	Site            string    `toml:"site,omitempty" json:"Site"`
	// Sidecars are numbered from 0.
	Sidecars      []int       `toml:"sidecars,omitempty" json:"Sidecars"`
	WithSidecars  bool        `toml:"with_sidecars,omitempty" json:"WithSidecars"` // a site's sidecars stop with it
	Silent        bool        `toml:"silent,omitempty" json:"Silent"`              // machines become unreachable; otherwise processes are killed
	Share         float64     `toml:"share,omitempty" json:"Share"`                // of the answers, requests or connections, or of the time to read
	RatePerSecond float64     `toml:"per_s,omitempty" json:"PerS"`                 // of clients, queries, resets or bytes
	DrainSeconds  float64     `toml:"drain_s,omitempty" json:"DrainS"`             // between the notice and the stop
	DelaySeconds  float64     `toml:"lag_s,omitempty" json:"LagS"`                 // of what discovery learns, or of connections
	ToServer      bool        `toml:"to_box,omitempty" json:"ToBox"`               // the direction that is lost; otherwise to the sidecar
	From          []int       `toml:"from,omitempty" json:"From"`                  // sidecars on one side
	To            []int       `toml:"to,omitempty" json:"To"`                      // on the other side; empty: all others
	OneWay        bool        `toml:"one_way,omitempty" json:"OneWay"`             // the fault affects bytes of From alone
	State         StoredState `toml:"state,omitempty" json:"State"`                // stored state of a process that restarts
	SidecarCount  int         `toml:"by,omitempty" json:"By"`                      // how many sidecars start, or leave for good
	ClockRate     float64     `toml:"rate,omitempty" json:"Rate"`                  // of a clock; 1 is right
}

// StoredState is what becomes of a process's stored state until it restarts. Its values are words of scripts.
type StoredState string

// The values of StoredState.
const (
	StateKept StoredState = "kept"
	StateLost StoredState = "lost"
	StateTorn StoredState = "torn"
	StateOld  StoredState = "old" // the state some writes ago
)

// Script is a day's faults. With its seed it is all that reproduces a day.
type Script struct {
	Seed uint64 `toml:"seed"`
	// NetworkSeed varies the network's random delays alone: the same environment and faults, with other timing.
	NetworkSeed uint64 `toml:"luck,omitempty"`
	// Sidecars, Servers and LengthSeconds reduce the seed's day, to find the smallest one that shows a violation; 0: all.
	Sidecars      int     `toml:"sidecars,omitempty"`
	Servers       int     `toml:"boxes,omitempty"`
	LengthSeconds float64 `toml:"length_s,omitempty"`

	Faults []Fault `toml:"trouble,omitempty"`
}

// Day draws the script's day.
func (s *Script) Day(r Ranges) Day {
	d := Draw(s.Seed, r)
	d.Shorten(s.Sidecars, s.Servers, s.LengthSeconds)
	return d
}

// StandbySidecars returns how many of the day's sidecars, from the last one on, don't run at its start: those that ScaleOut
// starts.
func (s *Script) StandbySidecars() (n int) {
	for i := range s.Faults {
		if fault := &s.Faults[i]; fault.Kind == ScaleOut {
			n += fault.SidecarCount
		}
	}
	return n
}

// AddPeerFault adds a drawn fault, unless more than half of the day's sidecars would be standby ones.
func (s *Script) AddPeerFault(fault Fault, day *Day) {
	if fault.Kind == ScaleOut && s.StandbySidecars()+fault.SidecarCount > len(day.Sidecars)/2 {
		return
	}
	s.Faults = append(s.Faults, fault)
}

// byTime compares faults by their start.
func byTime(a, b Fault) int { return cmp.Compare(a.AtSeconds, b.AtSeconds) }
