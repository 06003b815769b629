package processcluster

import (
	"io"
	"time"

	"hazelwheel/internal/environment"
)

// Settings are a fleet to be played.
type Settings struct {
	Binary      string // hazelwheel's file
	Sidecars    int
	Servers     int
	Seed        uint64
	Duration    time.Duration
	Script      *environment.Script // nil: there are no troubles, or with Draw those that the seed draws
	DrawFaults  bool
	Load        float64      // of the boxes' capacity; 0: drawn
	Maintenance *Maintenance // on boxes; nil: none
	Roles       []string     // that one sidecar does on behalf of all; none: there are no electors either
	Dir         string       // for configurations, states and logs
	Log         io.Writer
	// Other is another version's file, which the last Others sidecars run. They know the others, and nothing of jobs unless OthersOwn.
	OtherBinary     string
	OtherCount      int
	OthersHaveRoles bool
	Trials          int // so many times what owns the job, or leads the electors, is taken away, in place of drawn troubles; it ends with the last
}

// Ranges are what fleets are drawn from.
func (s *Settings) Ranges() environment.Ranges {
	fixed := func(value float64) environment.Range { return environment.Range{Min: value, Max: value} }
	ranges := environment.StandardRanges()
	ranges.Sidecars, ranges.Servers, ranges.LengthSeconds = fixed(float64(s.Sidecars)), fixed(float64(s.Servers)), fixed(s.Duration.Seconds())
	ranges.OverloadedDayShare = 0
	ranges.RatePerSecond, ranges.Load = fixed(200), environment.Range{Min: 0.3, Max: 0.6}
	if s.Load > 0 {
		ranges.Load = fixed(s.Load)
	}
	if s.Trials > 0 { // many such fleets are played beside each other
		ranges.RatePerSecond = fixed(20)
	}
	return ranges
}

// Troubles returns the script that is played: the one that is given, one that the seed draws, or none.
func (s *Settings) FaultScript() environment.Script {
	switch {
	case s.Script != nil:
		return *s.Script
	case s.DrawFaults:
		return s.DrawScript()
	}
	return environment.Script{Seed: s.Seed}
}

// lotS is for how long a lot of troubles is drawn at a time.
const faultBatchSeconds = 45.0

// DrawScript draws the troubles of a seed for as long as the fleet is played. Each lot leaves time to agree.
func (s *Settings) DrawScript() environment.Script {
	day := environment.Draw(s.Seed, s.Ranges())
	script := environment.Script{Seed: s.Seed}
	for start := 0.0; start+faultBatchSeconds <= day.LengthSeconds || start == 0; start += faultBatchSeconds {
		batchDay := day
		batchDay.Seed, batchDay.LengthSeconds = s.Seed*1_000_003+uint64(start), min(faultBatchSeconds-20, day.LengthSeconds)
		batch := environment.DrawScript(&batchDay)
		environment.DrawPeerFaults(&batchDay, &batch)
		for _, fault := range batch.Faults {
			// Discovery moves a few times a day at the most.
			if fault.AtSeconds += start; fault.Kind != environment.Reload && fault.WhyOnlySimulated() == "" {
				fault.DurationSeconds = min(fault.DurationSeconds, start+batchDay.LengthSeconds-fault.AtSeconds)
				if len(s.Roles) > 0 && fault.State == environment.StateTorn && int(fault.AtSeconds*1000)%2 == 0 {
					fault.State = environment.StateOld
				}
				script.AddPeerFault(fault, &day)
			}
		}
	}
	return script
}
