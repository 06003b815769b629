package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/stub"
)

func stubCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run stub servers that all respond alike, and their discovery, until a signal",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "boxes", Value: 3, Usage: "the number of servers"},
			&cli.StringFlag{Name: "base", Value: "127.10.0.1", Usage: "the first server's `ADDRESS`; the others follow it"},
			&cli.IntFlag{Name: "port", Value: 9000, Usage: "the servers' port"},
			&cli.DurationFlag{Name: "delay", Usage: "the time from the last byte of a request to its response"},
			&cli.IntFlag{Name: "body", Value: 16, Usage: "bytes of a response's body"},
			&cli.IntFlag{Name: "slots", Usage: "requests that a server handles at a time; 0: without limit"},
			&cli.IntFlag{Name: "waiting", Usage: "requests that may queue for a slot"},
			&cli.IntFlag{Name: "threads", Value: 1, Usage: "event loops"},
			&cli.StringSliceFlag{Name: "zone", Value: []string{"amman-north"}, Usage: "the zones, which are assigned to the servers in turn"},
			&cli.StringFlag{Name: "discovery", Value: "127.0.0.1:8500", Usage: "the `ADDRESS` of discovery"},
			&cli.StringFlag{Name: "config", Usage: "write a sidecar's configuration to this `FILE`"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:3000", Usage: "the `ADDRESS` at which that sidecar listens"},
			&cli.FloatFlag{Name: "cores", Value: 1, Usage: "that sidecar's limits.cores"},
			&cli.IntFlag{Name: "memory", Value: 192, Usage: "that sidecar's limits.memory_mb"},
			&cli.IntFlag{Name: "sockets", Value: 1024, Usage: "that sidecar's limits.sockets"},
			&cli.BoolFlag{Name: "pushed", Usage: "that sidecar watches discovery; default: it polls"},
		},
		Action: runStub,
	}
}

// runStub runs stub servers and their discovery until a signal, and writes the configuration of a sidecar for them.
func runStub(ctx context.Context, c *cli.Command) error {
	base, err := netip.ParseAddr(c.String("base"))
	if err != nil {
		return usageError(fmt.Errorf("base: %w", err))
	}
	s := stub.Settings{Servers: c.Int("boxes"), Base: base, Port: c.Int("port"), Delay: c.Duration("delay"),
		Body: c.Int("body"), Threads: c.Int("threads"), Zones: c.StringSlice("zone"),
		Slots: c.Int("slots"), Waiting: c.Int("waiting")}
	if err := s.Validate(); err != nil {
		return usageError(err)
	}
	if path := c.String("config"); path != "" {
		sidecar := stub.Sidecar{Name: "n0", Listen: c.String("listen"), Discovery: c.String("discovery"),
			Cores: c.Float("cores"), MemoryMB: c.Int("memory"), Sockets: c.Int("sockets"), Pushed: c.Bool("pushed"),
			Zones: s.Zones, Replicas: 1}
		if err := sidecar.Write(path); err != nil {
			return err
		}
	}
	boxes, err := stub.Start(s)
	if err != nil {
		return err
	}
	discovery, err := stub.StartDiscovery(c.String("discovery"), boxes)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "%d boxes at %s and on, discovery at %s\n", s.Servers, s.List()[0].Address, c.String("discovery"))
	ctx, stop := signalContext(ctx)
	defer stop()
	<-ctx.Done()
	fmt.Fprintf(c.Root().Writer, "requests taken: %d\n", boxes.Requests())
	_ = discovery.Close()
	return boxes.Stop()
}
