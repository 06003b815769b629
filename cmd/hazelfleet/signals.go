package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// terminationContext returns a context that ends at the first SIGTERM or SIGINT.
//
// Danger: both signals stay caught until the process has exited. signal.NotifyContext gives them back to the system when its context is
// released, and a second signal after that ended a process whose graceful shutdown was over, which then had no status 0.
func terminationContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
	}()
	return ctx
}
