// Command hazellab is the project's laboratory. It runs the sidecar's and the router fleet's environment, in simulated time (sim, fleet
// --simulated, crowd, owners, works, share) and as processes on loopback (fleet, soak, demo, serve), checks the invariants, and measures
// (experiment, pressure, load, flood). A subcommand ends with 0 on success, with 1 when it failed or found an invariant violated, and with 2
// when it was used wrongly or a file that it was given can't be used.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Statuses with which the program ends, other than 0.
const (
	exitFailure = 1
	exitUsage   = 2
)

// errRulesBroken is the error of a command that has found an invariant violated, and has printed which.
var errRulesBroken = errors.New("a rule was broken")

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hazellab:", err)
		os.Exit(exitFailure)
	}
}

// command builds the command line of the program.
func command() *cli.Command {
	return &cli.Command{
		Name:  "hazellab",
		Usage: "test and measure the sidecar in simulated time and as processes",
		Commands: append([]*cli.Command{
			stubCommand(),
			loadCommand(),
			floodCommand(),
			proxyCommand(),
			sidecarCommand(),
			overloadCommand(),
			experimentCommand(),
			reportCommand(),
			compareCommand(),
			demoCommand(),
			fleetCommand(),
			membershipCommand(),
			subsetCommand(),
			maintenanceAgentCommand(),
			soakCommand(),
			serveCommand(),
			faultCommand(),
			leasesCommand(),
			maintenanceCommand(),
		}, simCommands()...),
	}
}

// usageError wraps an error so that the program ends with exitUsage: an argument, or a file that it names, can't be used.
func usageError(err error) error { return cli.Exit("hazellab: "+err.Error(), exitUsage) }
