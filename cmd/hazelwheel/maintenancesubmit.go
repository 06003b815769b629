package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/decide/maintenance"
)

const (
	// submitRetryInterval is how often a command is repeated that is not committed yet.
	submitRetryInterval = 200 * time.Millisecond
	// commitTimeout limits how long a command is repeated.
	commitTimeout = 10 * time.Second
	// pendingPrefix begins the admin endpoint's reply to a command that is not committed yet.
	pendingPrefix = "WAIT"
	// loopDelayedText is part of the rejection by a sidecar whose event loop has not run the command in time. It may still run it.
	loopDelayedText = "the event loop is late"
)

// errOutcomeUnknown is wrapped by the error of a command that may or may not be done. Repeated with the same nonce, it is done once.
var errOutcomeUnknown = errors.New("not known whether it was done")

// submitCommand submits a maintenance command, waits until it is committed and prints the reply. It ends with 1 where the command is
// rejected. Where its outcome isn't known, the error names the nonce with which to repeat it.
func submitCommand(ctx context.Context, c *cli.Command, command maintenance.Command) error {
	for command.Nonce == 0 {
		command.Nonce = rand.Uint64()
	}
	raw, err := submitUntilCommitted(ctx, c.String("ops"), encodeCommand(command))
	if errors.Is(err, errOutcomeUnknown) {
		return fmt.Errorf("it is %w; the same again with --nonce %d is done once", err, command.Nonce)
	}
	if err != nil {
		return err
	}
	var reply maintenance.Reply
	if err := decodeReply(raw, &reply); err != nil {
		return err
	}
	if c.Bool("json") {
		if _, err := c.Root().Writer.Write(raw); err != nil {
			return err
		}
	}
	switch {
	case reply.Err != "":
		return fmt.Errorf("%w: %s", errAdminRejected, reply.Err)
	case c.Bool("json"):
		return nil
	}
	return writeReply(c.Root().Writer, &command, &reply)
}

// writeReply writes the reply to a command that was done.
func writeReply(out io.Writer, command *maintenance.Command, reply *maintenance.Reply) error {
	if command.Kind == maintenance.AcquireServer {
		text := strings.TrimSpace("- " + reply.Text)
		if reply.Server != "" {
			text = reply.Server + " " + formatToken(reply.Token)
		}
		_, err := fmt.Fprintln(out, text)
		return err
	}
	text := string(command.Kind)
	if reply.Plan != 0 {
		text += fmt.Sprintf(": plan %d", reply.Plan)
	}
	if command.Server != "" {
		text += ": " + command.Server
	}
	if reply.Text != "" {
		text += ": " + reply.Text
	}
	_, err := fmt.Fprintln(out, "OK "+text)
	return err
}

// encodeCommand returns the command line of the admin endpoint that submits a maintenance command.
func encodeCommand(command maintenance.Command) string {
	raw, err := json.Marshal(command)
	if err != nil { // can't happen: it holds numbers and texts alone
		panic(err)
	}
	return "WORK " + string(raw)
}

// submitUntilCommitted sends a command line to the admin endpoint until there is a final reply. Once it may have been received, each error
// except a rejection wraps errOutcomeUnknown.
func submitUntilCommitted(ctx context.Context, address, line string) ([]byte, error) {
	deadline := time.Now().Add(commitTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ticker := time.NewTicker(submitRetryInterval)
	defer ticker.Stop()
	mayBeDone, lastProblem := false, ""
	for {
		raw, err := queryAdmin(ctx, address, line)
		isRejected := errors.Is(err, errAdminRejected)
		switch {
		case isRejected && strings.Contains(err.Error(), loopDelayedText):
			mayBeDone, lastProblem = true, err.Error()
		case isRejected:
			return nil, err
		case err != nil && !mayBeDone && !errors.Is(err, errNoReply):
			return nil, err // the command was never sent
		case err != nil && lastProblem != "" && time.Until(deadline) < submitRetryInterval:
			// The deadline cut this attempt short: the problem of the attempt before says more.
		case err != nil:
			mayBeDone, lastProblem = true, err.Error()
		case bytes.HasPrefix(raw, []byte(pendingPrefix)):
			mayBeDone, lastProblem = true, "nobody has settled it within "+commitTimeout.String()
		default:
			return raw, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w (%s)", errOutcomeUnknown, lastProblem)
		case <-ticker.C:
		}
	}
}
