package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/capture"
)

func captureCommand() *cli.Command {
	return &cli.Command{Name: "capture", Usage: "inspect recorded inputs of the decisions", Commands: []*cli.Command{
		{Name: "replay", Usage: "replay a capture through the decisions and print what differs", Action: replayCapture, Flags: []cli.Flag{
			&cli.StringFlag{Name: "in", Usage: "the `FILE` of the capture", Required: true}}},
	}}
}

// replayCapture ends with 1 where decisions differ, and with 2 where the capture can't be replayed.
func replayCapture(_ context.Context, c *cli.Command) error {
	f, err := os.Open(c.String("in"))
	if err != nil {
		return usageError(err)
	}
	defer func() { _ = f.Close() }() // read only
	tally, err := capture.Replay(f, c.Root().Writer)
	fmt.Fprintln(c.Root().Writer, tally)
	switch {
	case err != nil:
		return usageError(fmt.Errorf("%s: %w", c.String("in"), err))
	case tally.Different > 0:
		return fmt.Errorf("%d decisions differ", tally.Different)
	}
	return nil
}
