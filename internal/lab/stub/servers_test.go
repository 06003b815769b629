package stub

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/lab/process"
	"hazelwheel/internal/sidecarconfig"
)

func start(t *testing.T, s Settings) (*Servers, *Discovery, string) {
	host := "127.10.0.1"
	port, err := process.FreePort(host)
	require.NoError(t, err)
	s.Base, s.Port, s.Threads, s.Zones = netip.MustParseAddr(host), port, 1, []string{"a", "b"}
	b, err := Start(s)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, b.Stop()) })
	at, err := process.FreePort("127.0.0.1")
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", at)
	d, err := StartDiscovery(address, b)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, d.Close()) })
	return b, d, address
}

func ask(box Listed, method string) (status int, body string, err error) {
	r, err := http.NewRequest(method, "http://"+box.Address+"/x", strings.NewReader(strings.Repeat("y", 1000)))
	if err != nil {
		return 0, "", err
	}
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// Servers answer, are listed, and count; a fault changes those that it names and no other.
func TestBoxes(t *testing.T) {
	b, _, discovery := start(t, Settings{Servers: 300, Delay: 5 * time.Millisecond, Body: 5})
	resp, err := http.Get("http://" + discovery + "/v1/endpoints")
	require.NoError(t, err)
	defer resp.Body.Close()
	var said struct{ Endpoints []Listed }
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&said))
	require.Len(t, said.Endpoints, 300)
	for _, i := range []int{0, 253, 254, 299} {
		for _, method := range []string{"GET", "POST"} {
			status, body, err := ask(said.Endpoints[i], method)
			require.NoError(t, err)
			assert.Equal(t, "200 xxxxx", fmt.Sprint(status, " ", body))
		}
		assert.EqualValues(t, 2, b.Counts()[i].Requests)
	}
	assert.EqualValues(t, 8, b.Requests())
	for _, c := range []struct {
		trouble string
		status  int // 0: none
	}{
		{`{"kind":"errors","boxes":[1]}`, 500},
		{`{"kind":"hang","boxes":[1]}`, 0},
		{`{"kind":"crash","boxes":[1]}`, 0},
		{`{"kind":"slow","boxes":[1],"delay_ns":900000000}`, 0},
		{`{"kind":"","boxes":[1]}`, 200},
	} {
		resp, err := http.Post("http://"+discovery+"/lab/trouble", "application/json", strings.NewReader(c.trouble))
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, 200, resp.StatusCode, c.trouble)
		status, _, err := ask(said.Endpoints[1], "GET")
		assert.Equal(t, c.status, status, c.trouble)
		assert.Equal(t, c.status == 0, err != nil, c.trouble)
		status, _, err = ask(said.Endpoints[2], "GET")
		assert.NoError(t, err)
		assert.Equal(t, 200, status)
	}
	for _, bad := range []string{`{"kind":"plague"}`, `{"kind":"hang","boxes":[300]}`, `{"kind":"slow","boxes":[1]}`, `{`} {
		resp, err := http.Post("http://"+discovery+"/lab/trouble", "application/json", strings.NewReader(bad))
		require.NoError(t, err)
		resp.Body.Close()
		assert.Equal(t, 400, resp.StatusCode, bad)
	}
}

// A box with slots works on so many at a time, lets so many wait, and turns the others away.
func TestSlots(t *testing.T) {
	x := &server{free: make([]time.Time, 2)}
	now := time.Now()
	var ends []float64
	for range 8 {
		if due, ok := x.due(now, 10*time.Millisecond, 3); ok {
			ends = append(ends, due.Sub(now).Seconds()*1000)
		}
	}
	assert.InDeltaSlice(t, []float64{10, 10, 20, 20, 30}, ends[:5], 1e-6)
	assert.Len(t, ends, 6, "two at work, three that wait, and one that the even slots let in")
	_, ok := x.due(now.Add(time.Second), 10*time.Millisecond, 3)
	assert.True(t, ok)
}

// Two that want one port: the second learns of it.
func TestPortTaken(t *testing.T) {
	b, _, discovery := start(t, Settings{Servers: 2})
	_, err := Start(b.settings)
	assert.ErrorContains(t, err, "address already in use")
	_, err = StartDiscovery(discovery, b)
	assert.ErrorContains(t, err, "address already in use")
}

// The configuration that is written is one that a sidecar takes.
func TestConfig(t *testing.T) {
	path := t.TempDir() + "/config.json"
	s := Sidecar{Name: "n0", Listen: "127.0.0.1:3000", Discovery: "127.0.0.1:8500", Cores: 1, MemoryMB: 64, Sockets: 512, Zones: []string{"a"}}
	require.NoError(t, s.Write(path))
	c, err := sidecarconfig.Load(path, func(string) string { return "" })
	require.NoError(t, err)
	assert.Equal(t, sidecarconfig.Limits{Cores: 1, MemoryMB: 64, Sockets: 512}, c.Limits)
	assert.True(t, c.Settings.RetryAfter)
	assert.Len(t, c.Settings.Policy.Classes, 3)
}
