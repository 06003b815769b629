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

func listenTCP(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	return listener, Error.Wrap(err)
}

func serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
			logrus.WithError(err).Error("serving ended")
			os.Exit(1)
		}
	}()
	return server
}

// shutdown lets calls that are under way end within a time, and closes what is left then. Danger: a connection on which nothing was sent
// yet counts as busy for seconds. Peers open such ones and may never use them; they are no reason to end with an error.
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
