// Command hazelwheel is a sidecar balancer: it takes requests from the application beside it and sends each
// to one of the servers that discovery lists.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/config"
	"hazelwheel/internal/sidecar"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hazelwheel:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	file := &cli.StringFlag{Name: "config", Usage: "the configuration `FILE`", Sources: cli.EnvVars(config.EnvFile)}
	verbose := &cli.BoolFlag{Name: "verbose", Usage: "log every execution that ends without an answer"}
	return &cli.Command{
		Name:  "hazelwheel",
		Usage: "a sidecar balancer",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve the application beside it", Flags: []cli.Flag{file, verbose}, Action: serve},
			{Name: "check", Usage: "check a configuration and say what it holds", Flags: []cli.Flag{file}, Action: check},
			{Name: "version", Usage: "print the version", Action: version},
		},
	}
}

// serve ends with the counters on standard output.
func serve(_ context.Context, c *cli.Command) error {
	// Danger: a SIGHUP that nobody catches ends the process, also while it is still reading its configuration.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := config.Load(c.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if c.Bool("verbose") {
		level = slog.LevelDebug
	}
	s, err := sidecar.New(cfg, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	if err != nil {
		return err
	}
	err = s.Run(hangups, func() (config.Config, error) { return cfg.Reload(c.String("config"), os.Getenv) })
	fmt.Fprintf(c.Root().Writer, "%s", s.Counters())
	return err
}

func check(_ context.Context, c *cli.Command) error {
	cfg, err := config.Load(c.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	if _, err := sidecar.New(cfg, slog.New(slog.DiscardHandler)); err != nil { // what it is told must be usable, too
		return err
	}
	s := cfg.Settings.Policy
	fmt.Fprintf(c.Root().Writer, "%s: listens at %s, discovery at %s, %d classes, instance %d of %d\n",
		cfg.Name, cfg.Listen, cfg.Discovery, len(s.Classes), s.Self+1, s.Replicas)
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
