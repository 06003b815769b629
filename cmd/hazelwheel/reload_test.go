package main

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// list answers a watch with one object and keeps the watch open.
func list(text string) func(watch) {
	return func(d watch) {
		d.write(text)
		<-d.done
	}
}

// SIGHUP reloads the file. The new discovery address is asked for the complete list at once, though an environment variable still names
// the first one; meanwhile the old list stays in use and requests are served.
func TestReload(t *testing.T) {
	first, second := newServer(t, "s-00000001", says(200, "1")), newServer(t, "s-00000002", says(200, "2"))
	w := newTestSidecar(t, first)
	w.env = []string{"GW_DISCOVERY=" + w.discovery.address()}
	w.discovery.answers <- list(line(t, 8, true, first))
	w.start()
	w.eventually("the list", func() bool { return w.counter("lists") == 1 })
	old := w.discovery
	w.discovery = newDiscovery(t)
	w.writeConfig()
	w.signal(syscall.SIGHUP)
	assert.Equal(t, "/v1/endpoints?follow=1", <-w.discovery.calls, "the new discovery does not know the old one's versions")
	assert.Equal(t, "1", w.ask("read", "", "").body, "the list is kept until the new discovery has answered")
	w.discovery.answers <- list(line(t, 2, true, second))
	w.eventually("the new list", func() bool { return w.counter("lists") == 2 })
	assert.Equal(t, "2", w.ask("read", "", "").body)
	assert.Len(t, old.calls, 1, "the old discovery gets no more calls")
	assert.Zero(t, w.counter("list_failed"))
	assert.EqualValues(t, 1, w.counter("reloads"))
}

// An invalid file changes nothing, and a setting that can't change at run time is logged and left as it is.
func TestReloadFaults(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "s-00000001", says(200, ""))).start()
	<-w.discovery.calls
	reload := func(counter, log string, n float64) {
		w.signal(syscall.SIGHUP)
		w.eventually(counter, func() bool { return w.counter(counter) == n })
		assert.Equal(t, 200, w.ask("write", "", "").status)
		w.awaitLog(log, 1)
	}
	require.NoError(t, os.WriteFile(w.path, []byte("{"), 0o600))
	reload("reload_failed", "not the JSON", 1)
	w.limits["sockets"] = 3
	w.writeConfig()
	reload("reload_failed", "limits.sockets: missing", 2)
	require.NoError(t, os.Remove(w.path))
	reload("reload_failed", "no such file", 3)
	delete(w.limits, "sockets")
	w.settings["classes"] = w.settings["classes"].([]map[string]any)[:1]
	w.writeConfig()
	reload("reloads", "field=settings", 1)
	assert.EqualValues(t, 1, w.counter("watches"), "the same discovery is still watched")
}

// After several signals in a row the last file is in effect, and a signal during the drain does not keep the program from ending.
func TestReloadsInARow(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "s-00000001", says(200, ""))).start()
	for range 20 {
		w.discovery = newDiscovery(t)
		w.writeConfig()
		w.signal(syscall.SIGHUP)
	}
	<-w.discovery.calls
	w.signal(syscall.SIGTERM)
	w.eventually("the program is shutting down", func() bool { return w.ask("read", "", "").last })
	w.discovery = newDiscovery(t)
	w.writeConfig()
	w.signal(syscall.SIGHUP)
	<-w.discovery.calls
	assert.NoError(t, w.cmd.Wait())
}
