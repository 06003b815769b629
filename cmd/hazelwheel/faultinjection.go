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
	"time"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/frontend/http1"
	"hazelwheel/internal/sidecarconfig"
)

// startDrill has the running sidecar start a drill. A sidecar that can't be reached is no fault of the operator's
// word, and ends with 1; a word that it does not take ends with 2.
func startDrill(ctx context.Context, c *cli.Command) error {
	cfg, err := sidecarconfig.Load(c.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	secret, err := os.ReadFile(c.String("secret-file"))
	if err != nil {
		return fault(fmt.Errorf("secret file: %w", err))
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(startWithinS*time.Second))
	defer cancel()
	address := "http://" + cfg.Listen + http1.FaultPath + url.PathEscape(c.String("name"))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, address, nil)
	if err != nil {
		return err
	}
	r.Header.Set(http1.FaultSecretField, base64.StdEncoding.EncodeToString(trimLineBreak(secret)))
	// Danger: a proxy that the environment names would be told the secret.
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return fmt.Errorf("the sidecar can't be reached: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil {
		return fmt.Errorf("the sidecar can't be reached: %w", err)
	}
	said := strings.TrimSpace(string(text))
	if resp.StatusCode != http.StatusOK {
		return fault(fmt.Errorf("drill %q: the sidecar answers %d: %s", c.String("name"), resp.StatusCode, said))
	}
	fmt.Fprintln(c.Root().Writer, said)
	return nil
}

// trimLineBreak takes the last line break off a file's text: editors leave one, and it is no part of the secret.
func trimLineBreak(text []byte) []byte {
	text, cut := bytes.CutSuffix(text, []byte("\n"))
	if cut {
		text = bytes.TrimSuffix(text, []byte("\r"))
	}
	return text
}
