package process

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/featureconfig"
	"hazelwheel/internal/health"
	"hazelwheel/internal/sidecarconfig"
	"hazelwheel/policy"
)

// stallingLog blocks the event loop where it logs one message.
type stallingLog struct {
	slog.Handler
	at      string
	resume  chan struct{}
	reached chan struct{}
}

func (l stallingLog) Enabled(context.Context, slog.Level) bool { return true }

func (l stallingLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message == l.at {
		close(l.reached)
		<-l.resume
	}
	return nil
}

// The health port responds while the event loop stalls, and reports that; so it must not call the loop.
func TestHealthPortAnswersDuringStall(t *testing.T) {
	free := func() int {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		return l.Addr().(*net.TCPAddr).Port
	}
	side := free()
	cfg := sidecarconfig.Config{Name: "n0", Listen: fmt.Sprintf("127.0.0.1:%d", free()), Discovery: fmt.Sprintf("127.0.0.1:%d", free()),
		Limits: sidecarconfig.Limits{Cores: 8, MemoryMB: 1024, Sockets: 256}}
	cfg.Settings.Policy = policy.Settings{Classes: []policy.Class{{Name: "read", LatencyTargetSeconds: 1, TotalTimeoutSeconds: 3}}, Replicas: 1}
	cfg.Settings.ConnectTimeoutS = 1
	log := stallingLog{slog.DiscardHandler, "configuration read", make(chan struct{}), make(chan struct{})}
	s, err := New(cfg, featureconfig.Features{Health: health.Settings{Port: side, MaxListAgeMS: 6000, MinUsable: 1, MaxInflight: 256}}, slog.New(log))
	require.NoError(t, err)
	hangups, ended := make(chan os.Signal, 1), make(chan error)
	go func() { ended <- s.Run(hangups, nil, func() (sidecarconfig.Config, error) { return cfg, nil }) }()

	answers := func(path string, want int) string {
		var text []byte
		require.Eventually(t, func() bool {
			r, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", side, path))
			if err != nil {
				return false
			}
			defer r.Body.Close()
			text, _ = io.ReadAll(r.Body)
			return r.StatusCode == want
		}, 20*time.Second, 10*time.Millisecond, path)
		return string(text)
	}
	answers("/alive", 200)
	hangups <- syscall.SIGHUP
	<-log.reached
	assert.Contains(t, answers("/alive", 503), `"loop_stall_ms `)
	assert.Contains(t, answers("/ready", 503), `"loop_stall_ms `)
	close(log.resume)
	answers("/alive", 200)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM)) // the loop runs, and catches the signal
	assert.NoError(t, <-ended)
}
