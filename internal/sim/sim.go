// Package sim plays days in simulated time: the real sidecars, the world that they serve and the troubles of a script,
// on a virtual network, with the judge looking on. A script and its seed are one history, the same on any machine.
package sim

import (
	"errors"

	"hazelwheel/internal/environment"
)

// ErrScript is wrapped by errors that a script is at fault for.
var ErrInvalidScript = errors.New("script")

// Play plays a script from its beginning to its end. An error means that the day could not be played.
func Play(s environment.Script, o Options) (*Result, error) {
	if o.WithoutFaults {
		s.Faults = nil
	}
	d, err := newDay(s, o)
	if err != nil {
		return nil, err
	}
	d.run(o.StopAtRule)
	worked := 0
	if d.maintenance != nil {
		worked = d.maintenance.completedWorks()
	}
	return &Result{ServersMaintained: worked, Seed: s.Seed, Hash: d.network.Hash(), Steps: d.network.Steps(), Start: d.spec.Start, SimulatedSeconds: d.network.Now() - d.spec.Start,
		Violations: d.checker.Violations(), Report: d.checker.Report(), MaxToken: d.maxToken}, nil
}
