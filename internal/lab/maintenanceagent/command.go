package maintenanceagent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"hazelwheel/internal/decide/maintenance"
)

// Times of a command: of one call, between two calls, and of all calls.
const (
	callTimeout    = 3 * time.Second
	retryInterval  = 200 * time.Millisecond
	executeTimeout = 15 * time.Second
)

// ErrOutcomeUnknown is matched by the error of a command that no endpoint has answered: it may or may not be executed.
var ErrOutcomeUnknown = errors.New("nobody has answered")

// Execute has a command executed by any of the admin endpoints. It repeats the command with the same nonce, so that it is executed once at most, and
// turns to the next endpoint when one fails. Endpoints are read before each call. The reply may hold an error of the command itself in Err; an
// error that matches ErrOutcomeUnknown wraps the last failure.
func Execute(ctx context.Context, endpoints func() []string, command maintenance.Command) (reply maintenance.Reply, err error) {
	for command.Nonce == 0 {
		command.Nonce = rand.Uint64()
	}
	encoded, err := json.Marshal(command)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(executeTimeout))
	defer cancel()
	lastErr := errors.New("there are no doors")
	for next := rand.Int(); sleep(ctx, 0); sleep(ctx, retryInterval) {
		addresses := endpoints()
		if len(addresses) == 0 {
			continue
		}
		answer, err := SendLine(ctx, addresses[next%len(addresses)], "WORK "+string(encoded))
		switch {
		case err != nil:
			lastErr = err
			next++
		case bytes.HasPrefix(answer, []byte("ERR ")):
			lastErr = errors.New(string(bytes.TrimSpace(answer)))
			next++
		case bytes.HasPrefix(answer, []byte("WAIT")):
			lastErr = errors.New("it waits")
		default:
			err = json.Unmarshal(answer, &reply)
			return reply, err
		}
	}
	return reply, fmt.Errorf("%w: %w", ErrOutcomeUnknown, lastErr)
}

// SendLine sends one line to an admin endpoint on a connection of its own, and returns the line that it answers, with its line feed.
func SendLine(ctx context.Context, endpoint, line string) ([]byte, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callTimeout))
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", endpoint)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // the answer has been read
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline) // fails only on a closed connection
	}
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return nil, err
	}
	return bufio.NewReader(conn).ReadBytes('\n')
}
