package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// ask gets what the running sidecar says at a path of its own.
func ask(ctx context.Context, listen, path string) ([]byte, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(startWithinS*time.Second))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listen+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return nil, fmt.Errorf("the sidecar can't be reached: %w", err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("the sidecar answers %d", resp.StatusCode)
	}
	return raw, err
}

// startWithinS is how long a running sidecar may take to answer; it answers at once or not at all.
const startWithinS = 5

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
