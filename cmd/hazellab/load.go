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
		Usage: "ask a sidecar in an open or a closed loop, and tell what came of it",
		Description: "It ends with 1 if what came breaks a standing rule that a client alone can judge.\n" +
			"A class is NAME:safe, NAME:keyed or NAME:unsafe, or one of the stand-in's names; with =SHARE behind it\n" +
			"it has that part of the requests. Several classes stand apart by commas.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "target", Value: "127.0.0.1:3000", Usage: "the sidecar's `ADDRESS`; several apart by commas share the links and the rate"},
			&cli.StringFlag{Name: "from", Usage: "the source `ADDRESS`"},
			&cli.StringFlag{Name: "class", Value: stub.SafeClass, Usage: "the classes"},
			&cli.StringFlag{Name: "rate", Usage: "open loop: requests a second, or stages like 100:5s,100-400:10s,0:2s, or @FILE with a stage a line; without it the loop is closed"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "how long, where the rate has no stages"},
			&cli.BoolFlag{Name: "poisson", Usage: "arrivals by chance; otherwise even"},
			&cli.IntFlag{Name: "links", Value: 64, Usage: "connections that are kept"},
			&cli.FloatFlag{Name: "new", Usage: "share of requests that each come on a connection of their own, 0 to 1"},
			&cli.IntFlag{Name: "body", Value: 64, Usage: "bytes of a POST's body"},
			&cli.DurationFlag{Name: "patience", Value: 2 * time.Second, Usage: "the Request-Timeout"},
			&cli.DurationFlag{Name: "slack", Value: 250 * time.Millisecond, Usage: "how long after its patience a request is still to be answered; 0: nothing is judged"},
			&cli.BoolFlag{Name: "calm", Usage: "the sidecar has room for all connections: to close one on its first request breaks a rule"},
			&cli.IntFlag{Name: "retries", Usage: "how often a request is tried again that was refused, or that failed and may run twice"},
			&cli.DurationFlag{Name: "backoff", Value: 50 * time.Millisecond, Usage: "before the first retry, doubled before each further one"},
			&cli.IntFlag{Name: "threads", Value: 1, Usage: "threads, each with its share of links and rate"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of ids, classes and arrivals"},
			&cli.DurationFlag{Name: "step", Value: time.Second, Usage: "length of the series' steps"},
			&cli.BoolFlag{Name: "steps", Usage: "print a line for each step, too"},
			&cli.StringFlag{Name: "plan", Usage: "take all that is asked, but for --target, from this `FILE` of JSON"},
			&cli.StringFlag{Name: "mark", Usage: "write the time of the start to this `FILE` when it comes, in ms of Unix time"},
			&cli.StringFlag{Name: "json", Usage: "write the whole result to this `FILE`; - for standard output, in place of the lines"},
		},
		Action: runLoad,
	}
}

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
	path := c.String("json")
	if path != "-" {
		r.Print(c.Root().Writer, c.Bool("steps"))
	}
	if path != "" {
		raw, jsonErr := json.Marshal(r)
		if jsonErr != nil {
			return jsonErr
		}
		if path == "-" {
			fmt.Fprintf(c.Root().Writer, "%s\n", raw)
		} else if err := os.WriteFile(path, raw, 0o644); err != nil {
			return err
		}
	}
	if err == nil && !r.Kept() {
		err = errRulesBroken
	}
	return err
}
