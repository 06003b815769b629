// Command hazellab is the project's laboratory: it plays the sidecar's world, in simulated time and on real sockets,
// and judges what comes of it.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hazellab:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "hazellab",
		Usage: "play the sidecar's world and judge what comes of it",
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
		}, slices.Concat(leasesCommand(), maintenanceCommand(), simCommands())...),
	}
}

// usageError is an error by which the program ends with 2: what it was told is wrong.
func usageError(err error) error { return cli.Exit("hazellab: "+err.Error(), 2) }
