package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/flood"
	"hazelwheel/internal/lab/stub"
)

func floodCommand() *cli.Command {
	return &cli.Command{
		Name:  "flood",
		Usage: "hold connections to a sidecar as a misbehaving client does",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Value: "half-head", Usage: "one of " + strings.Join(flood.Kinds(), ", ")},
			&cli.StringFlag{Name: "target", Value: "127.0.0.1:3000", Usage: "the sidecar's `ADDRESS`"},
			&cli.StringFlag{Name: "from", Value: "127.0.0.2", Usage: "the source `ADDRESS`, or the first of many"},
			&cli.IntFlag{Name: "addresses", Value: 1, Usage: "the number of source addresses, used in turn; above 1 --from is best 127.1.0.0"},
			&cli.IntFlag{Name: "threads", Value: 3, Usage: "threads"},
			&cli.IntFlag{Name: "links", Value: 2100, Usage: "connections held at a time by all threads"},
			&cli.BoolFlag{Name: "cycle", Usage: "beyond --links, close the oldest connection for a new one; default: hold each until the sidecar closes it"},
			&cli.DurationFlag{Name: "for", Value: 6 * time.Second, Usage: "the duration"},
			&cli.IntFlag{Name: "ahead", Value: 500, Usage: "unread: requests that each connection sends ahead"},
			&cli.DurationFlag{Name: "within", Value: 2400 * time.Millisecond, Usage: "slow-head: the duration of a head"},
			&cli.StringFlag{Name: "class", Value: stub.KeyedClass, Usage: "the class of the requests"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the `SEED` of request ids"},
			&cli.BoolFlag{Name: "json", Usage: "print the figures as JSON"},
		},
		Action: runFlood,
	}
}

// runFlood floods a sidecar until the time is over or a signal, and prints the figures.
func runFlood(ctx context.Context, c *cli.Command) error {
	p := flood.Plan{Kind: c.String("kind"), Addresses: c.Int("addresses"), Threads: c.Int("threads"), Links: c.Int("links"),
		For: c.Duration("for"), Ahead: c.Int("ahead"), Within: c.Duration("within"), Cycle: c.Bool("cycle"), Seed: c.Uint64("seed")}
	var err error
	if p.Target, err = netip.ParseAddrPort(c.String("target")); err != nil {
		return usageError(fmt.Errorf("target: %w", err))
	}
	if p.From, err = netip.ParseAddr(c.String("from")); err != nil {
		return usageError(fmt.Errorf("from: %w", err))
	}
	classes, err := parseClasses(c.String("class"))
	if err != nil {
		return usageError(err)
	}
	p.Class = classes[0]
	if err := p.Err(); err != nil {
		return usageError(err)
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	f, err := flood.Run(ctx, &p)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(f)
	}
	fmt.Fprintf(c.Root().Writer, "%s: opened %d, not opened %d, ended by the sidecar %d, whole requests %d, held at once %d\n",
		p.Kind, f.Opened, f.Failed, f.Ended, f.Whole, f.Most)
	return nil
}
