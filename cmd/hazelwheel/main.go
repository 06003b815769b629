// Command hazelwheel is a sidecar balancer: it takes requests from the application beside it and sends each
// to one of the servers that discovery lists.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/capture"
	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/frontend/admin"
	"hazelwheel/internal/netio/sockets"
	"hazelwheel/internal/process"
	"hazelwheel/internal/sidecarconfig"
)

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

// load reads the configuration and the file of features, if one is named.
func load(c *cli.Command) (cfg sidecarconfig.Config, on featureconfig.Features, err error) {
	if cfg, err = sidecarconfig.Load(c.String("config"), os.Getenv); err != nil {
		return cfg, on, fault(err)
	}
	if path := c.String("features"); path != "" {
		if on, err = featureconfig.Load(path, &cfg); err != nil {
			return cfg, on, fault(err)
		}
	}
	return cfg, on, nil
}

// serve ends with the counters on standard output.
func serve(_ context.Context, c *cli.Command) error {
	// Danger: a SIGHUP that nobody catches ends the process, also while it is still reading its configuration.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// The same of SIGUSR1, where there may be a capture to dump; without the file of features nothing heeds it.
	dumps := make(chan os.Signal, 1)
	if c.String("features") != "" {
		signal.Notify(dumps, syscall.SIGUSR1)
	}
	cfg, on, err := load(c)
	if err != nil {
		return err
	}
	if !on.Capture.Enabled {
		signal.Stop(dumps)
	}
	level := slog.LevelInfo
	if c.Bool("verbose") {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	for _, doubt := range cfg.Doubts {
		log.Warn("configuration", "says", doubt)
	}
	s, err := process.New(cfg, on, log)
	if err != nil {
		return err
	}
	advice := adviser{log, map[string]bool{}}
	advice.look(c.String("config"), c.String("features"))
	err = s.Run(hangups, dumps, func() (sidecarconfig.Config, error) {
		advice.look(c.String("config"), c.String("features"))
		return cfg.Reload(c.String("config"), os.Getenv)
	})
	if errors.Is(err, sockets.ErrNotListeningSocket) || errors.Is(err, admin.ErrListen) {
		return fault(err)
	}
	fmt.Fprintf(c.Root().Writer, "%s", s.Counters())
	return err
}

func check(_ context.Context, c *cli.Command) error {
	sayFindings(c.Root().Writer, c.String("config"), c.String("features"))
	cfg, on, err := load(c)
	if err != nil {
		return err
	}
	if _, err := process.New(cfg, on, slog.New(slog.DiscardHandler)); err != nil { // what it is told must be usable, too
		return err
	}
	s := cfg.Settings.Policy
	fmt.Fprintf(c.Root().Writer, "%s: listens at %s, discovery at %s, %d classes, instance %d of %d\n",
		cfg.Name, cfg.Listen, cfg.Discovery, len(s.Classes), s.Self+1, s.Replicas)
	if c.String("features") != "" {
		fmt.Fprintf(c.Root().Writer, "%s: features: %s\n", cfg.Name, &on)
	}
	return nil
}

// replay ends with 1 where decisions differ, and with 2 where there is nothing to replay.
func replay(_ context.Context, c *cli.Command) error {
	f, err := os.Open(c.String("in"))
	if err != nil {
		return fault(err)
	}
	defer func() { _ = f.Close() }() // read only
	tally, err := capture.Replay(f, c.Root().Writer)
	fmt.Fprintln(c.Root().Writer, tally)
	switch {
	case err != nil:
		return fault(fmt.Errorf("%s: %w", c.String("in"), err))
	case tally.Different > 0:
		return fmt.Errorf("%d decisions differ", tally.Different)
	}
	return nil
}

func version(_ context.Context, c *cli.Command) error {
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version + " " + info.GoVersion
	}
	fmt.Fprintln(c.Root().Writer, "hazelwheel", text)
	return nil
}
