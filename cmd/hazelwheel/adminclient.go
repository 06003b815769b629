package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	// sidecarTimeout limits one call at a running sidecar, from the connect to the last byte. A sidecar replies at once or not at all.
	sidecarTimeout = 5 * time.Second
	// maxStatusBytes limits what is read of a status that the sidecar serves over HTTP.
	maxStatusBytes = 1 << 20

	jsonUsage = "print the sidecar's JSON as it is"
)

var (
	errUnreachable = errors.New("the sidecar can't be reached")
	// errAdminRejected is wrapped by the error of a command that the admin endpoint has rejected. The command was not done, unless the
	// text says otherwise.
	errAdminRejected = errors.New("the sidecar says")
	// errNoReply is wrapped by the error of a command that may have reached the admin endpoint, and of which the outcome is not known.
	errNoReply = errors.New("the sidecar did not answer")
)

// adminFlags are the flags of commands that query the admin endpoint of a running sidecar.
func adminFlags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{Name: "ops", Usage: "the `ADDRESS` of the sidecar's admin endpoint", Required: true},
		&cli.BoolFlag{Name: "json", Usage: jsonUsage}}
}

// sendRequest sends a request to the running sidecar. The caller closes the response's body. The error wraps errUnreachable.
func sendRequest(r *http.Request) (*http.Response, error) {
	// Danger: the default transport would send the request, with the secret of a drill, to a proxy that the environment names.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return resp, nil
}

// fetchStatus gets a status that the running sidecar serves over HTTP at the address where it listens for the application.
func fetchStatus(ctx context.Context, listen, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, sidecarTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listen+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := sendRequest(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("the sidecar answers %d", resp.StatusCode)
	}
	return raw, err
}

// queryAdmin sends one command line to the admin endpoint of a running sidecar and returns the reply, which ends with a line feed. The
// error wraps errAdminRejected or errNoReply, or neither where the endpoint can't be reached: then the command was not sent.
func queryAdmin(ctx context.Context, address, line string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, sidecarTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("the sidecar's door can't be reached: %w", err)
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline) // fails only on a closed connection
	}
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoReply, err)
	}
	raw, err := io.ReadAll(conn)
	switch {
	case err != nil:
		err = fmt.Errorf("%w: %w", errNoReply, err)
	case !bytes.HasSuffix(raw, []byte("\n")):
		err = fmt.Errorf("%w: the connection ended", errNoReply)
	case bytes.HasPrefix(raw, []byte("ERR ")):
		err = fmt.Errorf("%w: %s", errAdminRejected, bytes.TrimSpace(raw[4:]))
	}
	return raw, err
}

// showStatus returns an action that queries the admin endpoint with a command line and prints the reply: with --json as it is, else as
// the table that write makes of it. It ends with 1 where the sidecar can't be reached or rejects the command.
func showStatus[T any](line string, write func(t *tabwriter.Writer, status *T)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		raw, err := queryAdmin(ctx, c.String("ops"), line)
		if err != nil {
			return err
		}
		if c.Bool("json") {
			_, err := c.Root().Writer.Write(raw)
			return err
		}
		var status T
		if err := decodeReply(raw, &status); err != nil {
			return err
		}
		t := newTable(c.Root().Writer)
		write(t, &status)
		return t.Flush()
	}
}

// decodeReply decodes a JSON reply of the running sidecar into the value that to points to.
func decodeReply(raw []byte, to any) error {
	if err := json.Unmarshal(raw, to); err != nil {
		return fmt.Errorf("the sidecar's answer makes no sense: %w", err)
	}
	return nil
}

// newTable returns a writer that aligns cells, which end with a tab, in columns. It writes when it is flushed.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 8, 2, ' ', 0) }
