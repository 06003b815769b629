package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/load"
	"hazelwheel/internal/lab/stub"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests to a sidecar in an open or a closed loop, and print what they lead to",
		Description: "It ends with 1 if the responses violate an invariant that a client alone can check.\n" +
			"A class is NAME:safe, NAME:keyed or NAME:unsafe, or one of the stub servers' names; with =SHARE after it\n" +
			"it has that part of the requests. Several classes are separated by commas.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "target", Value: "127.0.0.1:3000", Usage: "the sidecar's `ADDRESS`; several, separated by commas, share the connections and the rate"},
			&cli.StringFlag{Name: "from", Usage: "the source `ADDRESS`"},
			&cli.StringFlag{Name: "class", Value: stub.SafeClass, Usage: "the classes of the requests"},
			&cli.StringFlag{Name: "rate", Usage: "open loop: requests a second, or stages like 100:5s,100-400:10s,0:2s, or @FILE with a stage a line; without it the loop is closed"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "the duration, where the rate has no stages"},
			&cli.BoolFlag{Name: "poisson", Usage: "random arrivals; default: even"},
			&cli.IntFlag{Name: "links", Value: 64, Usage: "persistent connections"},
			&cli.FloatFlag{Name: "new", Usage: "share of requests on a connection of their own, 0 to 1"},
			&cli.IntFlag{Name: "body", Value: 64, Usage: "bytes of a POST's body"},
			&cli.DurationFlag{Name: "patience", Value: 2 * time.Second, Usage: "the Request-Timeout"},
			&cli.DurationFlag{Name: "slack", Value: 250 * time.Millisecond, Usage: "how long after the Request-Timeout a response may come; 0: nothing is checked"},
			&cli.BoolFlag{Name: "calm", Usage: "the sidecar has capacity for all connections: closing one at its first request is a violation"},
			&cli.IntFlag{Name: "retries", Usage: "retries of a request that was rejected, or that failed and is idempotent"},
			&cli.DurationFlag{Name: "backoff", Value: 50 * time.Millisecond, Usage: "the delay before the first retry, doubled before each further one"},
			&cli.IntFlag{Name: "threads", Value: 1, Usage: "threads, each with its share of connections and rate"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the `SEED` of ids, classes and arrivals"},
			&cli.DurationFlag{Name: "step", Value: time.Second, Usage: "length of the series' steps"},
			&cli.BoolFlag{Name: "steps", Usage: "print a line for each step, too"},
			&cli.StringFlag{Name: "plan", Usage: "read all settings except --target from this `FILE` of JSON"},
			&cli.StringFlag{Name: "mark", Usage: "write the time of the start to this `FILE`, in ms of Unix time"},
			&cli.StringFlag{Name: "json", Usage: "write the complete result to this `FILE`; -: to standard output, in place of the lines"},
		},
		Action: runLoad,
	}
}

// runLoad sends the load to the targets and prints the figures. It ends with 1 where a response violated an invariant. Interrupted, it prints
// the figures so far.
func runLoad(ctx context.Context, c *cli.Command) error {
	p, err := readLoadPlan(c)
	if err != nil {
		return usageError(err)
	}
	targets := strings.Split(c.String("target"), ",")
	for _, p.Target = range targets {
		if err := p.Err(); err != nil {
			return usageError(err)
		}
	}
	if path := c.String("mark"); path != "" {
		var once sync.Once
		p.Began = func(at time.Time) {
			once.Do(func() {
				if err := os.WriteFile(path, strconv.AppendInt(nil, at.UnixMilli(), 10), 0o644); err != nil {
					fmt.Fprintln(os.Stderr, "hazellab:", err)
				}
			})
		}
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	r, err := load.RunAll(ctx, &p, targets)
	if r == nil {
		return err
	}
	if errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "hazellab: ended before its time; the figures are partial")
	}
	if writeErr := writeLoadResult(c, r); writeErr != nil {
		return writeErr
	}
	if err == nil && !r.Kept() {
		err = errRulesBroken
	}
	return err
}

// writeLoadResult prints the figures, and writes the result as JSON to the file that --json names; "-" stands for standard output in place of
// the figures.
func writeLoadResult(c *cli.Command, r *load.Result) error {
	path := c.String("json")
	if path != "-" {
		r.Print(c.Root().Writer, c.Bool("steps"))
	}
	if path == "" {
		return nil
	}
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if path != "-" {
		return os.WriteFile(path, raw, 0o644)
	}
	fmt.Fprintf(c.Root().Writer, "%s\n", raw)
	return nil
}
