package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/decide/maintenance"
)

// workLine is a command as a door takes it.
func workLine(w maintenance.Command) string {
	raw, err := json.Marshal(w)
	if err != nil { // numbers and texts always marshal
		panic(err)
	}
	return "WORK " + string(raw)
}

// How often a command is repeated that is not agreed yet, and for how long.
const (
	sayAgain   = 200 * time.Millisecond
	agreedIn   = 10 * time.Second
	notAgreed  = "WAIT"
	loopIsLate = "the event loop is late"
)

// errUnknown is that of a command which may or may not be done.
var errUnknown = errors.New("not known whether it was done")

// sayWork has a command done, and says what came of it. A fleet that says no ends with 1.
func sayWork(ctx context.Context, c *cli.Command, w maintenance.Command) error {
	for w.Nonce == 0 {
		w.Nonce = rand.Uint64()
	}
	raw, err := untilAgreed(ctx, c.String("ops"), workLine(w))
	if errors.Is(err, errUnknown) {
		return fmt.Errorf("it is %w; the same again with --nonce %d is done once", err, w.Nonce)
	}
	if err != nil {
		return err
	}
	var r maintenance.Reply
	if err := json.Unmarshal(raw, &r); err != nil {
		return fmt.Errorf("the sidecar's answer makes no sense: %w", err)
	}
	if c.Bool("json") {
		if _, err := c.Root().Writer.Write(raw); err != nil {
			return err
		}
	}
	switch {
	case r.Err != "":
		return fmt.Errorf("%w: %s", errDoor, r.Err)
	case c.Bool("json"):
		return nil
	case w.Kind == maintenance.AcquireServer && r.Server == "":
		_, err = fmt.Fprintln(c.Root().Writer, strings.TrimSpace("- "+r.Text))
	case w.Kind == maintenance.AcquireServer:
		_, err = fmt.Fprintf(c.Root().Writer, "%s %s\n", r.Server, tokenText(r.Token))
	default:
		text := string(w.Kind)
		if r.Plan != 0 {
			text += fmt.Sprintf(": plan %d", r.Plan)
		}
		if w.Server != "" {
			text += ": " + w.Server
		}
		if r.Text != "" {
			text += ": " + r.Text
		}
		_, err = fmt.Fprintln(c.Root().Writer, "OK "+text)
	}
	return err
}

// untilAgreed says a command at a door again and again until there is an answer. What was said once may be done, whatever comes after it.
func untilAgreed(ctx context.Context, address, line string) ([]byte, error) {
	by := time.Now().Add(agreedIn)
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	tick := time.NewTicker(sayAgain)
	defer tick.Stop()
	for said, last := false, ""; ; {
		raw, err := askDoor(ctx, address, line)
		switch {
		case errors.Is(err, errDoor) && strings.Contains(err.Error(), loopIsLate):
			said, last = true, err.Error()
		case errors.Is(err, errDoor):
			return nil, err
		case err != nil && !said && !errors.Is(err, errHeard):
			return nil, err
		case err != nil && last != "" && time.Until(by) < sayAgain: // it was cut short: what was said before tells more
		case err != nil:
			said, last = true, err.Error()
		case bytes.HasPrefix(raw, []byte(notAgreed)):
			said, last = true, "nobody has settled it within "+agreedIn.String()
		default:
			return raw, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w (%s)", errUnknown, last)
		case <-tick.C:
		}
	}
}
