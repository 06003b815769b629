package main

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"hazelwheel/internal/lab/proxy"
)

func proxyCommand() *cli.Command {
	return &cli.Command{
		Name:  "proxy",
		Usage: "run a plain balancer to compare the sidecar with",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Value: "roundrobin", Usage: "one of " + strings.Join(proxy.Kinds, ", ")},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:3000", Usage: "the `ADDRESS` to listen at"},
			&cli.StringFlag{Name: "discovery", Value: "127.0.0.1:8500", Usage: "the `ADDRESS` of discovery"},
			&cli.IntFlag{Name: "retries", Usage: "the number of further servers that are tried after one has failed"},
		},
		Action: runProxy,
	}
}

// runProxy runs a plain balancer until a signal.
func runProxy(ctx context.Context, c *cli.Command) error {
	s := proxy.Settings{Kind: c.String("kind"), Listen: c.String("listen"), Discovery: c.String("discovery"), Retries: c.Int("retries")}
	if err := s.Err(); err != nil {
		return usageError(err)
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	return proxy.Serve(ctx, &s)
}
