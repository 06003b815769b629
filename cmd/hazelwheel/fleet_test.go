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

// Where many sidecars run, a process has TCP and UDP over IPv4 and nothing else.
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
		target, _ := os.Readlink(link) // one that was closed meanwhile is none
		if strings.HasPrefix(target, "socket:") {
			sockets++
			assert.False(t, unix[target], "%s is a Unix socket", link)
		}
	}
	assert.Greater(t, sockets, 2)
}

// A start with nothing sound to go by: no list or an empty one, no word of the fleet. The list is asked for and requests are
// served; the log has a line for each.
func TestStartsWithoutSoundFacts(t *testing.T) {
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
			w.eventually("served", func() bool { return w.ask("read", "/read/1", "").status == 200 })
			w.awaitLog("settings.replicasOfMe: missing, or out of range:", 1)
			w.awaitLog("beginning without a list", 1)
			w.awaitLog("by the sidecar's name", 1)
		})
	}
}
