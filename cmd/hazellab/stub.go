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
		Usage: "play boxes that answer alike, and their discovery, until a signal ends it",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "boxes", Value: 3, Usage: "how many boxes"},
			&cli.StringFlag{Name: "base", Value: "127.10.0.1", Usage: "the first box's `ADDRESS`; the others follow it"},
			&cli.IntFlag{Name: "port", Value: 9000, Usage: "the boxes' port"},
			&cli.DurationFlag{Name: "delay", Usage: "from a request's last byte to its answer"},
			&cli.IntFlag{Name: "body", Value: 16, Usage: "bytes of an answer's body"},
			&cli.IntFlag{Name: "slots", Usage: "requests that a box works on at once; 0: as many as come"},
			&cli.IntFlag{Name: "waiting", Usage: "requests that may wait for a slot"},
			&cli.IntFlag{Name: "threads", Value: 1, Usage: "event loops"},
			&cli.StringSliceFlag{Name: "zone", Value: []string{"amman-north"}, Usage: "the zones, which the boxes take in turns"},
			&cli.StringFlag{Name: "discovery", Value: "127.0.0.1:8500", Usage: "where discovery listens"},
			&cli.StringFlag{Name: "config", Usage: "write a sidecar's configuration to this `FILE`"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:3000", Usage: "where that sidecar listens"},
			&cli.FloatFlag{Name: "cores", Value: 1, Usage: "that sidecar's limits.cores"},
			&cli.IntFlag{Name: "memory", Value: 192, Usage: "that sidecar's limits.memory_mb"},
			&cli.IntFlag{Name: "sockets", Value: 1024, Usage: "that sidecar's limits.sockets"},
			&cli.BoolFlag{Name: "pushed", Usage: "that sidecar watches discovery; otherwise it asks when it wants to"},
		},
		Action: runStub,
	}
}

func runStub(ctx context.Context, c *cli.Command) error {
	base, err := netip.ParseAddr(c.String("base"))
	if err != nil {
		return usageError(fmt.Errorf("base: %w", err))
	}
	s := stub.Settings{Boxes: c.Int("boxes"), Base: base, Port: c.Int("port"), Delay: c.Duration("delay"),
		Body: c.Int("body"), Threads: c.Int("threads"), Zones: c.StringSlice("zone"),
		Slots: c.Int("slots"), Waiting: c.Int("waiting")}
	if err := s.Err(); err != nil {
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
	fmt.Fprintf(c.Root().Writer, "%d boxes at %s and on, discovery at %s\n", s.Boxes, s.List()[0].Address, c.String("discovery"))
	ctx, stop := signalContext(ctx)
	defer stop()
	<-ctx.Done()
	fmt.Fprintf(c.Root().Writer, "requests taken: %d\n", boxes.Requests())
	_ = discovery.Close()
	return boxes.Stop()
}
