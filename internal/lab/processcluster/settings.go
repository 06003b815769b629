package processcluster

import (
	"io"
	"time"

	"hazelwheel/internal/environment"
)

// Settings configures a cluster.
type Settings struct {
	Binary      string // path of the hazelwheel program
	Sidecars    int
	Servers     int // backend servers
	Seed        uint64
	Duration    time.Duration       // of the run
	Script      *environment.Script // faults to inject; nil: none, or with DrawFaults those drawn from the seed
	DrawFaults  bool
	Load        float64      // fraction of the servers' capacity; 0: drawn
	Maintenance *Maintenance // of servers; nil: none
	Roles       []string     // singleton roles; none: there are no voters either
	Dir         string       // for configuration files, stored states and logs
	Log         io.Writer    // for the output of the processes
	// OtherBinary is the program of another version, which the last OtherCount sidecars run. They are members like the rest, but are configured
	// without roles unless OthersHaveRoles is set.
	OtherBinary     string
	OtherCount      int
	OthersHaveRoles bool
	Trials          int // how often the owner of the first role or the leader is made to fail, in place of drawn faults; the run ends with the last
}

// Ranges returns the ranges from which the environment of the cluster is drawn.
func (s *Settings) Ranges() environment.Ranges {
	fixed := func(value float64) environment.Range { return environment.Range{Min: value, Max: value} }
	ranges := environment.StandardRanges()
	ranges.Sidecars, ranges.Servers, ranges.LengthSeconds = fixed(float64(s.Sidecars)), fixed(float64(s.Servers)), fixed(s.Duration.Seconds())
	ranges.OverloadedDayShare = 0
	ranges.RatePerSecond, ranges.Load = fixed(200), environment.Range{Min: 0.3, Max: 0.6}
	if s.Load > 0 {
		ranges.Load = fixed(s.Load)
	}
	if s.Trials > 0 { // many such clusters run at the same time
		ranges.RatePerSecond = fixed(20)
	}
	return ranges
}

// FaultScript returns the faults to inject: Script, those drawn from the seed with DrawFaults, or none.
func (s *Settings) FaultScript() environment.Script {
	switch {
	case s.Script != nil:
		return *s.Script
	case s.DrawFaults:
		return s.DrawScript()
	}
	return environment.Script{Seed: s.Seed}
}

// Faults are drawn in batches of faultBatchSeconds, of which the last calmSeconds are without faults, so that the members can agree.
const (
	faultBatchSeconds = 45.0
	calmSeconds       = 20
)

// DrawScript draws the faults of the seed for the duration of the run. Faults that can only be simulated are left out.
func (s *Settings) DrawScript() environment.Script {
	day := environment.Draw(s.Seed, s.Ranges())
	script := environment.Script{Seed: s.Seed}
	for start := 0.0; start+faultBatchSeconds <= day.LengthSeconds || start == 0; start += faultBatchSeconds {
		batchDay := day
		batchDay.Seed, batchDay.LengthSeconds = s.Seed*1_000_003+uint64(start), min(faultBatchSeconds-calmSeconds, day.LengthSeconds)
		batch := environment.DrawScript(&batchDay)
		environment.DrawPeerFaults(&batchDay, &batch)
		for _, fault := range batch.Faults {
			// Reloads are left out: discovery moves a few times a day at most.
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
