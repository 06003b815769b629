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
		Usage:     "inject a fault into the environment that hazellab serve runs",
		ArgsUsage: "KIND",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "control", Value: defaultControlAddress, Usage: "the `ADDRESS` of hazellab serve"},
			&cli.StringSliceFlag{Name: "box", Usage: "a server's `NAME` or number"},
			&cli.StringFlag{Name: "site", Usage: "a site's `NAME`"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "the duration"},
			&cli.FloatFlag{Name: "share", Usage: "the share of the responses, 0 to 1"},
			&cli.FloatFlag{Name: "per-second", Usage: "resets a second"},
			&cli.DurationFlag{Name: "drain", Usage: "shrink: the time from the notice to the end"},
			&cli.DurationFlag{Name: "lag", Usage: "stale-list: the delay of discovery"},
			&cli.BoolFlag{Name: "silent", Usage: "site-loss: machines vanish without closing connections"},
		},
		Action: requestFault,
	}
}

// faultTimeout limits the request of a fault.
const faultTimeout = 5 * time.Second

// requestFault asks hazellab serve to inject a fault. It ends with 2 where the fault is rejected.
func requestFault(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError(fmt.Errorf("trouble: a KIND is wanted: %s", strings.Join(environment.FaultKinds(), ", ")))
	}
	fault := environment.Fault{Kind: environment.FaultKind(c.Args().First()), DurationSeconds: c.Duration("for").Seconds(), Servers: c.StringSlice("box"), Site: c.String("site"),
		Share: c.Float("share"), RatePerSecond: c.Float("per-second"), DrainSeconds: c.Duration("drain").Seconds(), DelaySeconds: c.Duration("lag").Seconds(),
		Silent: c.Bool("silent")}
	raw, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.String("control")+"/trouble", bytes.NewReader(raw))
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
