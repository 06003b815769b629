package main

import (
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
	w := newWorld(t, newServer(t, "a", says(200, "ok"))).start()
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
