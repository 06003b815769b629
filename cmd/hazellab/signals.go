package main

import (
	"context"
	"os/signal"
	"syscall"
)

// signalContext returns a context that ends with the first SIGINT or SIGTERM. A second one ends the program at once.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}
