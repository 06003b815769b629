package main

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// list answers a watch with one object and holds it.
func list(text string) func(watch) {
	return func(d watch) {
		d.write(text)
		<-d.done
	}
}

// SIGHUP has the file read again. The new discovery is asked for its whole list at once, though a variable still
// names the first one; meanwhile the list is kept and requests go on.
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
	assert.Equal(t, "/v1/endpoints?follow=1", <-w.discovery.calls, "versions of the old one mean nothing to it")
	assert.Equal(t, "1", w.ask("read", "", "").body, "the list is kept until it has answered")
	w.discovery.answers <- list(line(t, 2, true, second))
	w.eventually("the new list", func() bool { return w.counter("lists") == 2 })
	assert.Equal(t, "2", w.ask("read", "", "").body)
	assert.Len(t, old.calls, 1, "the old discovery is left alone")
	assert.Zero(t, w.counter("list_failed"))
	assert.EqualValues(t, 1, w.counter("reloads"))
}

// A file that is at fault changes nothing, and what can't change while running is said and left alone.
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
	assert.EqualValues(t, 1, w.counter("watches"), "the same discovery is watched on")
}

// Signals in a row lead to the last file, and one while draining does not keep the program from its end.
func TestReloadsInARow(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "s-00000001", says(200, ""))).start()
	for range 20 {
		w.discovery = newDiscovery(t)
		w.writeConfig()
		w.signal(syscall.SIGHUP)
	}
	<-w.discovery.calls
	w.signal(syscall.SIGTERM)
	w.eventually("ending", func() bool { return w.ask("read", "", "").last })
	w.discovery = newDiscovery(t)
	w.writeConfig()
	w.signal(syscall.SIGHUP)
	<-w.discovery.calls
	assert.NoError(t, w.cmd.Wait())
}
