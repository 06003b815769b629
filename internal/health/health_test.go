package health

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each exceeded threshold is reported as a reason of its own, and ages grow while no snapshot is published.
func TestExceededThresholdsAreReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	port := listener.Addr().(*net.TCPAddr).Port
	require.NoError(t, listener.Close())
	now := 1000.0
	h := New(Settings{Port: port, MaxListAgeMS: 6000, MinUsable: 1, MaxInflight: 256}, func() float64 { return now }, slog.New(slog.DiscardHandler))
	require.NoError(t, h.Listen("127.0.0.1"))
	client := http.Client{Timeout: 20 * time.Second}
	expect := func(path string, status int, body string) {
		t.Helper()
		r, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d%s", port, path))
		require.NoError(t, err)
		defer r.Body.Close()
		text, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		assert.Equal(t, status, r.StatusCode)
		if body != "" {
			assert.Equal(t, body+"\n", string(text))
		}
	}
	expect("/started", 503, `{"started":false,"reasons":["no list loaded"]}`)
	h.Publish(Snapshot{TakenAt: 1000, ListReadAt: 999.5, Started: true, UsableServers: 1, Inflight: 256})
	now = 1001
	expect("/started", 200, `{"started":true,"reasons":[]}`)
	expect("/alive", 200, `{"alive":true,"reasons":[],"loop_stall_ms":1000}`)
	expect("/ready", 200, `{"ready":true,"reasons":[],"list_age_ms":1500,"servers_usable":1,"inflight":256}`)
	now = 1001.001
	expect("/alive", 503, `{"alive":false,"reasons":["loop_stall_ms 1001 > 1000"],"loop_stall_ms":1001}`)
	h.Publish(Snapshot{TakenAt: 1001, ListReadAt: 991.901, Started: true, Inflight: 257, Draining: true})
	expect("/ready", 503, `{"ready":false,"reasons":["list_age_ms 9100 > 6000","servers_usable 0 < 1","inflight 257 > 256",`+
		`"draining"],"list_age_ms":9100,"servers_usable":0,"inflight":257}`)
	expect("/alive", 200, "")
	expect("/other", 404, "")

	// Idle connections do not block others for long.
	for range 2 * maxConnections {
		c, err := net.Dial("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		require.NoError(t, err)
		defer c.Close()
	}
	expect("/alive", 200, "")
	assert.Error(t, New(h.settings, h.now, slog.Default()).Listen("127.0.0.1"), "the port is taken")
}
