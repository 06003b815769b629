// Package sim plays days in simulated time: the real sidecars, the world that they serve and the troubles of a script,
// on a virtual network, with the judge looking on. A script and its seed are one history, the same on any machine.
package sim

import (
	"errors"

	"hazelwheel/internal/environment"
)

// ErrInvalidScript is wrapped by errors whose cause is the script.
var ErrInvalidScript = errors.New("script")

// Play plays a script's day to its end. An error means that the day could not be played; violations are in the result.
func Play(script environment.Script, options Options) (*Result, error) {
	if options.WithoutFaults {
		script.Faults = nil
	}
	d, err := newDay(script, options)
	if err != nil {
		return nil, err
	}
	d.run(options.StopAtRule)
	worked := 0
	if d.maintenance != nil {
		worked = d.maintenance.completedWorks()
	}
	return &Result{ServersMaintained: worked, Seed: script.Seed, Hash: d.network.Hash(), Steps: d.network.Steps(), Start: d.spec.Start, SimulatedSeconds: d.network.Now() - d.spec.Start,
		Violations: d.checker.Violations(), Report: d.checker.Report(), MaxToken: d.maxToken}, nil
}
