package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/frontend/http1"
	"hazelwheel/internal/sidecarconfig"
)

// maxDrillReplyBytes limits what is read of the sidecar's reply to the start of a drill.
const maxDrillReplyBytes = 1 << 10

func faultInjectionCommand(config cli.Flag) *cli.Command {
	flags := []cli.Flag{config, &cli.StringFlag{Name: "name", Usage: "the drill's `NAME`", Required: true},
		&cli.StringFlag{Name: "secret-file", Usage: "the `FILE` that holds the secret", Required: true}}
	return &cli.Command{Name: "drill", Usage: "inject delays and failures into requests", Commands: []*cli.Command{
		{Name: "start", Usage: "start a drill at the running sidecar", Flags: flags, Action: startDrill},
	}}
}

// startDrill has the running sidecar start the drill that --name names. It ends with 2 where the sidecar rejects the request or the
// secret's file can't be read, and with 1 where the sidecar can't be reached.
func startDrill(ctx context.Context, c *cli.Command) error {
	cfg, err := sidecarconfig.Load(c.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	secret, err := os.ReadFile(c.String("secret-file"))
	if err != nil {
		return usageError(fmt.Errorf("secret file: %w", err))
	}
	ctx, cancel := context.WithTimeout(ctx, sidecarTimeout)
	defer cancel()
	address := "http://" + cfg.Listen + http1.FaultPath + url.PathEscape(c.String("name"))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return err
	}
	r.Header.Set(http1.FaultSecretField, base64.StdEncoding.EncodeToString(trimLineBreak(secret)))
	resp, err := sendRequest(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDrillReplyBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreachable, err)
	}
	reply := strings.TrimSpace(string(body))
	if resp.StatusCode != http.StatusOK {
		return usageError(fmt.Errorf("drill %q: the sidecar answers %d: %s", c.String("name"), resp.StatusCode, reply))
	}
	fmt.Fprintln(c.Root().Writer, reply)
	return nil
}

// trimLineBreak removes one final line break, LF or CRLF: editors add it, and it is not part of the secret.
func trimLineBreak(text []byte) []byte {
	text, hadLineFeed := bytes.CutSuffix(text, []byte("\n"))
	if hadLineFeed {
		text = bytes.TrimSuffix(text, []byte("\r"))
	}
	return text
}
