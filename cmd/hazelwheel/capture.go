package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/capture"
)

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
