package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type condition struct {
	status   int
	Reasons  []string
	ListAge  float64 `json:"list_age_ms"`
	Usable   int     `json:"servers_usable"`
	Inflight int
}

// getHealth sends a request to the health port.
func getHealth(t *testing.T, address, path string) (c condition) {
	r, err := outside.Get("http://" + address + path)
	require.NoError(t, err)
	defer r.Body.Close()
	require.NoError(t, json.NewDecoder(r.Body).Decode(&c))
	c.status = r.StatusCode
	return c
}

func (w *testSidecar) withHealth(more string) string {
	address := freeAddress(w.T)
	_, port, err := net.SplitHostPort(address)
	require.NoError(w, err)
	w.features = fmt.Sprintf(`{"health.port":%s%s}`, port, more)
	return address
}

// A watch without changes keeps the endpoint list fresh while discovery is reachable; once discovery has stopped, /ready turns to 503.
func TestReadyFollowsDiscovery(t *testing.T) {
	s := newServer(t, "s-00000001", says(200, ""))
	w := newTestSidecar(t)
	address := w.withHealth(`,"health.max_list_age_ms":1500`)
	w.start()
	<-w.discovery.calls
	c := getHealth(t, address, "/started")
	assert.Equal(t, 503, c.status)
	w.eventually("no server is known", func() bool { return getHealth(t, address, "/ready").Usable == 0 })

	stop := make(chan struct{})
	w.discovery.answers <- func(d watch) {
		for d.write(line(t, 8, true, s)); ; d.write("\n") {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-stop:
				return
			case <-d.done:
				return
			}
		}
	}
	w.eventually("ready", func() bool { return getHealth(t, address, "/ready").status == 200 })
	began := time.Now()
	w.eventually("ready for longer than the maximum age of a list", func() bool {
		return getHealth(t, address, "/ready").status == 200 && time.Since(began) > 2*time.Second
	})
	assert.Equal(t, 1, getHealth(t, address, "/ready").Usable)
	assert.Equal(t, 200, getHealth(t, address, "/started").status)
	close(stop)
	w.eventually("ready turns 503", func() bool { return getHealth(t, address, "/ready").status == 503 })
	c = getHealth(t, address, "/ready")
	require.Len(t, c.Reasons, 1)
	assert.Regexp(t, `^list_age_ms \d+ > 1500$`, c.Reasons[0])
	assert.Greater(t, c.ListAge, 1500.0)
	assert.Equal(t, 200, getHealth(t, address, "/started").status)
	assert.Equal(t, 200, getHealth(t, address, "/alive").status)
	r, err := outside.Get("http://" + w.listen + "/ready")
	require.NoError(t, err)
	r.Body.Close()
	assert.Equal(t, 200, r.StatusCode, "the platform's own check is unchanged")
}

// Requests in flight and the shutdown are reported while they last.
func TestReadyCountsRequests(t *testing.T) {
	var let atomic.Bool
	s := newServer(t, "s-00000001", func(http.ResponseWriter, *http.Request) {
		for !let.Load() {
			time.Sleep(5 * time.Millisecond)
		}
	})
	w := newTestSidecar(t, s)
	address := w.withHealth(`,"health":{"max_inflight":0}`)
	w.start()
	w.eventually("ready", func() bool { return getHealth(t, address, "/ready").status == 200 })
	last := w.askAsync("write", "", "")
	w.eventually("a request is in flight", func() bool { return getHealth(t, address, "/ready").Inflight == 1 })
	assert.Equal(t, []string{"inflight 1 > 0"}, getHealth(t, address, "/ready").Reasons)
	w.signal(syscall.SIGTERM)
	w.eventually("draining", func() bool {
		c := getHealth(t, address, "/ready")
		return c.status == 503 && c.Reasons[len(c.Reasons)-1] == "draining"
	})
	let.Store(true)
	assert.Equal(t, 200, (<-last).status)
	assert.NoError(t, w.cmd.Wait())
}

// A health port that is in use is an error at startup: the sidecar must not run without it.
func TestHealthPortInUse(t *testing.T) {
	w := newTestSidecar(t)
	taken := httptest.NewServer(nil)
	t.Cleanup(taken.Close)
	path := w.writeFile("features.json", fmt.Sprintf(`{"health":{"port":%d}}`, taken.Listener.Addr().(*net.TCPAddr).Port))
	code, text := run(t, "serve", "--config", w.writeConfig(), "--features", path)
	assert.Equal(t, 1, code)
	assert.Contains(t, text, "health.port")
}
