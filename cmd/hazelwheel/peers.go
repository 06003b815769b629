package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/coordination"
)

func peersCommand() *cli.Command {
	return &cli.Command{Name: "peers", Usage: "show whom a running sidecar knows of its fleet", Action: showPeers, Flags: []cli.Flag{
		&cli.StringFlag{Name: "ops", Usage: "the `ADDRESS` of the sidecar's door", Required: true},
		&cli.BoolFlag{Name: "json", Usage: "as the sidecar says it"}}}
}

// showPeers prints who is there. A sidecar that can't be reached or knows no fleet ends with 1.
func showPeers(ctx context.Context, c *cli.Command) error {
	raw, err := askDoor(ctx, c.String("ops"), "PEERS")
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, err := c.Root().Writer.Write(raw)
		return err
	}
	var s coordination.Status
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("the sidecar's answer makes no sense: %w", err)
	}
	t := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTATE\tFOR\tADDRESS\tID\tLINKED\tBY")
	for _, m := range s.Members {
		linked, by := "", "itself"
		if m.Connected {
			linked = "yes"
		}
		if m.ID == s.ID {
			linked = "this one"
		}
		if len(m.AccusedBy) > 0 {
			by = strings.Join(m.AccusedBy, " ")
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.State, time.Duration(m.StateSeconds*float64(time.Second)).Round(time.Second), m.Address, m.ID, linked, by)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	kept := ""
	if !s.IdentityStored {
		kept = "; its identity does not survive a restart"
	}
	_, err = fmt.Fprintf(c.Root().Writer, "fleet %s: %d live; this one is rank %d of %d%s\n", s.Fleet, s.Live, s.Rank, s.Count, kept)
	return err
}

// errDoor is the error of a door that says no, errHeard that of a call that may have been heard without an answer.
var (
	errDoor  = errors.New("the sidecar says")
	errHeard = errors.New("the sidecar did not answer")
)

// askDoor calls at a running sidecar's door.
func askDoor(ctx context.Context, address, call string) ([]byte, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(startWithinS*time.Second))
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("the sidecar's door can't be reached: %w", err)
	}
	defer c.Close()
	if by, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(by) // fails only on one that is closed
	}
	if _, err := io.WriteString(c, call+"\n"); err != nil {
		return nil, fmt.Errorf("%w: %w", errHeard, err)
	}
	raw, err := io.ReadAll(c)
	switch {
	case err != nil:
		err = fmt.Errorf("%w: %w", errHeard, err)
	case !bytes.HasSuffix(raw, []byte("\n")):
		err = fmt.Errorf("%w: the connection ended", errHeard)
	case bytes.HasPrefix(raw, []byte("ERR ")):
		err = fmt.Errorf("%w: %s", errDoor, bytes.TrimSpace(raw[4:]))
	}
	return raw, err
}
