package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// On hosts that run many sidecars a process may use only TCP and UDP over IPv4, so the program must not open Unix sockets.
func TestNoUnixSockets(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "a", says(200, "ok"))).start()
	require.Equal(t, 200, w.ask("read", "/read/1", "").status)
	raw, err := os.ReadFile("/proc/net/unix")
	require.NoError(t, err)
	unix := map[string]bool{}
	for _, line := range strings.Split(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 6 {
			unix["socket:["+fields[6]+"]"] = true
		}
	}
	sockets := 0
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", w.cmd.Process.Pid))
	require.NoError(t, err)
	for _, link := range links {
		target, _ := os.Readlink(link) // empty if the descriptor was closed meanwhile
		if strings.HasPrefix(target, "socket:") {
			sockets++
			assert.False(t, unix[target], "%s is a Unix socket", link)
		}
	}
	assert.Greater(t, sockets, 2)
}

// The sidecar starts without valid information: no endpoint list or an empty one, and no peers. It requests the list and serves
// requests, and logs a line for each condition.
func TestStartsWithoutValidList(t *testing.T) {
	for _, known := range []string{`{"index":0,"snapshot":true,"endpoints":[]}`, `{}`, ``} {
		t.Run(known, func(t *testing.T) {
			a := newServer(t, "a", says(200, "ok"))
			w := newTestSidecar(t)
			w.settings["replicasOfMe"], w.settings["selfIndex"] = 0, 700
			w.discovery.answers <- func(d watch) {
				d.write(line(t, 8, true, a))
				<-d.done
			}
			path := w.writeConfig()
			raw, err := os.ReadFile(path)
			require.NoError(t, err)
			var c map[string]json.RawMessage
			require.NoError(t, json.Unmarshal(raw, &c))
			if delete(c, "known"); known != "" {
				c["known"] = json.RawMessage(known)
			}
			raw, err = json.Marshal(c)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(path, raw, 0o600))
			w.launch("serve", "--config", path)
			w.eventually("a request is served", func() bool { return w.ask("read", "/read/1", "").status == 200 })
			w.awaitLog("settings.replicasOfMe: missing, or out of range:", 1)
			w.awaitLog("beginning without a list", 1)
			w.awaitLog("by the sidecar's name", 1)
		})
	}
}
