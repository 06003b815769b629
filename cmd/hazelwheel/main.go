// Command hazelwheel is a sidecar load balancer: it accepts requests from the application beside it and forwards each to one of the
// backends that service discovery lists.
//
// The subcommand serve runs the sidecar. The subcommands clients, quota, drill, peers and fleet query or command a running one; config
// writes and checks configurations; capture replays recorded decisions. A subcommand ends with 0 on success, with 1 when it failed or
// was rejected, and with 2 when it was used wrongly or a file that it was given can't be used.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sidecarconfig"
)

// Statuses with which the program ends, other than 0.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hazelwheel:", err)
		os.Exit(exitFailure)
	}
}

// command builds the command line of the program.
func command() *cli.Command {
	config := &cli.StringFlag{Name: "config", Usage: "the configuration `FILE`", Sources: cli.EnvVars(sidecarconfig.EnvFile)}
	features := &cli.StringFlag{Name: "features", Usage: "the operators' `FILE` of optional features; without it all are off"}
	verbose := &cli.BoolFlag{Name: "verbose", Usage: "log each attempt that ends without a response"}
	return &cli.Command{
		Name:  "hazelwheel",
		Usage: "a sidecar load balancer",

		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run the sidecar", Flags: []cli.Flag{config, features, verbose}, Action: serve},
			{Name: "check", Usage: "check a configuration and print a summary", Flags: []cli.Flag{config, features}, Action: check},
			{Name: "clients", Usage: "show the running sidecar's client connections", Action: showClients, Flags: []cli.Flag{config,
				&cli.BoolFlag{Name: "json", Usage: jsonUsage}}},
			{Name: "quota", Usage: "inspect the quotas of groups", Commands: quotaCommands(config)},
			faultInjectionCommand(config),
			captureCommand(),
			peersCommand(),
			fleetCommand(),
			configCommand(),
			{Name: "version", Usage: "print the version", Action: printVersion},
		},
	}
}

func printVersion(_ context.Context, c *cli.Command) error {
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version + " " + info.GoVersion
	}
	fmt.Fprintln(c.Root().Writer, "hazelwheel", text)
	return nil
}

// usageError wraps an error so that the program ends with exitUsage: an argument, or a file that it names, can't be used.
func usageError(err error) error { return cli.Exit("hazelwheel: "+err.Error(), exitUsage) }
