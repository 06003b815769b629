// Package sim plays days in simulated time: the real sidecars, the environment that they serve (clients, servers, discovery) and the
// faults of a script, on a simulated network, with a checker that observes them from outside and reports violations of its rules. A script
// and its seed determine the history, to the byte and on any machine.
//
// Play plays one day, PlaySeeds many. Shrink reduces a script that violates a rule, RunMutants checks that the rules detect known faults,
// and CompareMaintenance and ListObserver measure. The order of random draws and events is part of a history: seeds that are kept with
// tests or issues depend on it.
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
		worked = d.maintenance.completedCount()
	}
	return &Result{ServersMaintained: worked, Seed: script.Seed, Hash: d.network.Hash(), Steps: d.network.Steps(), Start: d.spec.Start, SimulatedSeconds: d.network.Now() - d.spec.Start,
		Violations: d.checker.Violations(), Report: d.checker.Report(), MaxToken: d.maxToken}, nil
}
