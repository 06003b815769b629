package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// terminationContext returns a context that ends at the first SIGTERM or SIGINT.
//
// Danger: both signals must stay caught until the process has exited. signal.NotifyContext restores their default action when its context is
// released; a second signal then killed a process that had completed its graceful shutdown, so that its exit status was not 0.
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
