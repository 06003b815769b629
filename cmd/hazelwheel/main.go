// Command hazelwheel is a sidecar balancer: it takes requests from the application beside it and sends each
// to one of the servers that discovery lists.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/sidecarconfig"
)

// fault is an error by which the program ends with 2: what it was told is wrong.
func fault(err error) error { return cli.Exit("hazelwheel: "+err.Error(), 2) }

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hazelwheel:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	file := &cli.StringFlag{Name: "config", Usage: "the configuration `FILE`", Sources: cli.EnvVars(sidecarconfig.EnvFile)}
	extras := &cli.StringFlag{Name: "features", Usage: "the operators' `FILE` of features; without it all are off"}
	drill := []cli.Flag{file, &cli.StringFlag{Name: "name", Usage: "the drill's `NAME`", Required: true},
		&cli.StringFlag{Name: "secret-file", Usage: "the `FILE` that holds the secret", Required: true}}
	in := &cli.StringFlag{Name: "in", Usage: "the `FILE` that holds a capture", Required: true}
	verbose := &cli.BoolFlag{Name: "verbose", Usage: "log every execution that ends without an answer"}
	return &cli.Command{
		Name:  "hazelwheel",
		Usage: "a sidecar balancer",

		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve the application beside it", Flags: []cli.Flag{file, extras, verbose}, Action: serve},
			{Name: "check", Usage: "check a configuration and say what it holds", Flags: []cli.Flag{file, extras}, Action: check},
			{Name: "clients", Usage: "show who holds which connections at the running sidecar", Flags: []cli.Flag{file,
				&cli.BoolFlag{Name: "json", Usage: "as the sidecar says it"}}, Action: showClients},
			{Name: "quota", Usage: "look into the quotas of groups", Commands: quotaCommands(file)},
			{Name: "drill", Usage: "rehearse slow and failed requests", Commands: []*cli.Command{
				{Name: "start", Usage: "start a drill at the running sidecar", Flags: drill, Action: startDrill},
			}},
			{Name: "capture", Usage: "look into what the decisions knew", Commands: []*cli.Command{
				{Name: "replay", Usage: "feed a capture through the decisions and print what differs", Flags: []cli.Flag{in}, Action: replay},
			}},
			peersCommand(),
			fleetCommand(),
			configCommand(),
			{Name: "version", Usage: "print the version", Action: version},
		},
	}
}

func version(_ context.Context, c *cli.Command) error {
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version + " " + info.GoVersion
	}
	fmt.Fprintln(c.Root().Writer, "hazelwheel", text)
	return nil
}
