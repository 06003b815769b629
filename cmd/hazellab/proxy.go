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
		Usage: "be a plain balancer, to measure the sidecar against",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Value: "roundrobin", Usage: "one of " + strings.Join(proxy.Kinds, ", ")},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:3000", Usage: "where it listens"},
			&cli.StringFlag{Name: "discovery", Value: "127.0.0.1:8500", Usage: "where the list of boxes is"},
			&cli.IntFlag{Name: "retries", Usage: "how many more boxes are asked after one has failed"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := proxy.Settings{Kind: c.String("kind"), Listen: c.String("listen"), Discovery: c.String("discovery"), Retries: c.Int("retries")}
			if err := s.Err(); err != nil {
				return usageError(err)
			}
			ctx, stop := signalContext(ctx)
			defer stop()
			return proxy.Serve(ctx, &s)
		},
	}
}
