package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/environment"
)

func faultCommand() *cli.Command {
	return &cli.Command{
		Name:      "trouble",
		Usage:     "have something go wrong in the world that hazellab serve plays",
		ArgsUsage: "KIND",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "control", Value: defaultControlAddress, Usage: "the `ADDRESS` of hazellab serve"},
			&cli.StringSliceFlag{Name: "box", Usage: "a box's `NAME` or number"},
			&cli.StringFlag{Name: "site", Usage: "a site's `NAME`"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "how long"},
			&cli.FloatFlag{Name: "share", Usage: "of the answers, 0 to 1"},
			&cli.FloatFlag{Name: "per-second", Usage: "resets a second"},
			&cli.DurationFlag{Name: "drain", Usage: "shrink: from the notice to the end"},
			&cli.DurationFlag{Name: "lag", Usage: "stale-list: how much later discovery learns"},
			&cli.BoolFlag{Name: "silent", Usage: "site-loss: machines vanish without a word"},
		},
		Action: requestFault,
	}
}

func requestFault(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError(fmt.Errorf("trouble: a KIND is wanted: %s", strings.Join(environment.FaultKinds(), ", ")))
	}
	t := environment.Fault{Kind: c.Args().First(), DurationSeconds: c.Duration("for").Seconds(), Servers: c.StringSlice("box"), Site: c.String("site"),
		Share: c.Float("share"), RatePerSecond: c.Float("per-second"), DrainSeconds: c.Duration("drain").Seconds(), DelaySeconds: c.Duration("lag").Seconds(),
		Silent: c.Bool("silent")}
	raw, err := json.Marshal(t)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.String("control")+"/trouble", bytes.NewReader(raw))
	if err != nil {
		return usageError(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return usageError(errors.New(strings.TrimSpace(string(text))))
	}
	return nil
}
