package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
)

// listenTCP listens at an address, IP:PORT.
func listenTCP(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	return listener, Error.Wrap(err)
}

// serve starts a server on a listener. If it fails other than by a shutdown, the process exits: it must not go on without one of its servers.
func serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			logrus.WithError(err).Error("server failed")
			os.Exit(1)
		}
	}()
	return server
}

// shutdown shuts the servers down: requests in flight may complete until the timeout, then their connections are closed. Danger: a
// connection on which nothing was sent yet counts as busy for seconds. Peers open such connections and may never use them, so a timeout is
// no error.
func shutdown(servers []*http.Server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var failed errs.Group
	for _, server := range servers {
		err := server.Shutdown(ctx)
		if errors.Is(err, context.DeadlineExceeded) {
			err = server.Close()
		}
		failed.Add(err)
	}
	return failed.Err()
}
