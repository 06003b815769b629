package main

import (
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A watch that fails is begun again, goes on from the list that is held, and its lines may be cut anywhere.
func TestWatch(t *testing.T) {
	first, second := newServer(t, "s-00000001", says(200, "1")), newServer(t, "s-00000002", says(200, "2"))
	w := newWorld(t, first)
	w.discovery.answers <- func(d watch) { d.WriteHeader(503) }
	w.discovery.answers <- func(d watch) {
		text := line(t, 9, true, second)
		d.write("\n" + text[:20])
		w.eventually("nothing yet", func() bool { return w.counter("watches") == 2 && w.counter("lists") == 0 })
		d.write(text[20:] + "\n" + `{"index":10,"snap`) // and it breaks
	}
	w.discovery.answers <- func(d watch) { panic(http.ErrAbortHandler) }
	w.start()
	for _, since := range []string{"7", "7", "9", "9"} {
		assert.Equal(t, "/v1/endpoints?follow=1&since="+since, <-w.discovery.calls)
	}
	assert.EqualValues(t, 3, w.counter("list_failed"))
	assert.EqualValues(t, 1, w.counter("lists"))
	assert.Equal(t, "2", w.ask("read", "", "").body, "the server that the whole list no longer has is gone")
	assert.Zero(t, first.got())
}

// A watch that says nothing, not even its empty lines, has failed.
func TestWatchFallsSilent(t *testing.T) {
	w := newWorld(t)
	w.discovery.answers <- func(d watch) {
		d.write("\n")
		<-d.done
	}
	w.start()
	<-w.discovery.calls
	began := time.Now()
	<-w.discovery.calls
	assert.Greater(t, time.Since(began), 3*time.Second, "well past the two seconds between signs of life")
	assert.EqualValues(t, 1, w.counter("list_failed"))
}

func TestDrainingServerGetsNothingNew(t *testing.T) {
	leaves, stays := newServer(t, "s-00000001", says(200, "")), newServer(t, "s-00000002", says(200, ""))
	w := newWorld(t, leaves, stays)
	drains := make(chan struct{})
	w.discovery.answers <- func(d watch) {
		<-drains
		leaves.status = "DRAINING"
		d.write(line(t, 8, false, leaves))
		<-d.done
	}
	w.start()
	w.eventually("both serve", func() bool { w.ask("read", "", ""); return leaves.got() > 0 && stays.got() > 0 })
	close(drains)
	w.eventually("the list", func() bool { return w.counter("lists") == 1 })
	before := leaves.got()
	for range 30 {
		assert.Equal(t, 200, w.ask("read", "", "").status)
	}
	assert.Equal(t, before, leaves.got())
	w.eventually("its idle links are closed", func() bool { _, opened, closed := leaves.counts(); return opened == closed })
}

// Probes go where the deployment has its reports; what they say beside the known fields does no harm.
func TestProbes(t *testing.T) {
	for how, path := range map[string]string{"on_probe": "/status/load", "inline": "/health"} {
		t.Run(how, func(t *testing.T) {
			paths := make(chan string, 1000)
			s := newServer(t, "s-00000001", func(w http.ResponseWriter, r *http.Request) {
				paths <- r.URL.Path
				says(200, "inflight=1,queue=,odd,util=NaN\n")(w, r)
			})
			w := newWorld(t, s, newServer(t, "s-00000002", hangs))
			w.limit("probes", true)
			w.settings["report"] = map[string]any{"how": how, "fields": []string{"busy_reqs", "pending"}}
			w.start()
			assert.Equal(t, path, <-paths)
			w.eventually("a probe in vain", func() bool { return w.ends("probe_ends", "timed_out") > 0 })
			assert.Positive(t, w.ends("probe_ends", "ok"))
			assert.Zero(t, w.counter("panics"))
		})
	}
}

// A full server turns probes away, which shows that it lives; one with a long line lets them wait first.
func TestProbesTurnedAway(t *testing.T) {
	full, slow := newServer(t, "s-00000001", says(503, "")), newServer(t, "s-00000002", nil)
	slow.set(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		w.WriteHeader(503)
	})
	w := newWorld(t, full, slow)
	w.limit("probes", true)
	w.start()
	w.eventually("an end of each kind", func() bool {
		return w.ends("probe_ends", "rejected") > 0 && w.ends("probe_ends", "timed_out") > 0
	})
	assert.Zero(t, w.ends("probe_ends", "host_error"))
}

// A probe whose link breaks is begun again on a new one: it asks after the server, not the link.
func TestProbeOnABrokenLink(t *testing.T) {
	s := newServer(t, "s-00000001", nil)
	s.set(func(w http.ResponseWriter, r *http.Request) {
		s.set(says(200, ""))
		breaks("")(w, r)
	})
	w := newWorld(t, s)
	w.limit("probes", true)
	w.start()
	w.eventually("its answer", func() bool { return w.ends("probe_ends", "ok") > 0 })
	assert.Zero(t, w.ends("probe_ends", "reset"))
}

// A probe whose answer can't be read has found its server alive, and says nothing of its load.
func TestSpoiltProbes(t *testing.T) {
	w := newWorld(t, newServer(t, "s-00000001", breaks("\x00\x01noise")))
	w.limit("probes", true)
	w.settings["report"] = map[string]any{"how": "on_probe", "fields": []string{"pending"}}
	w.start()
	w.eventually("a probe", func() bool { return w.ends("probe_ends", "ok") > 0 })
	assert.Zero(t, w.ends("probe_ends", "host_error")+w.ends("probe_ends", "reset"))
}

func TestCommands(t *testing.T) {
	w := newWorld(t)
	raw, err := program("check", "--config", w.config()).CombinedOutput()
	assert.NoError(t, err)
	assert.Contains(t, string(raw), "3 classes")
	w.limits["sockets"] = 3
	for _, command := range []string{"check", "serve"} {
		cmd := program(command, "--config", w.config())
		var line strings.Builder
		cmd.Stderr = &line
		assert.Error(t, cmd.Run())
		assert.Equal(t, "hazelwheel: limits.sockets: missing, or out of range\n", line.String())
	}
	w.limits["sockets"] = 100
	path := w.config()
	text, err := os.ReadFile(path)
	assert.NoError(t, err)
	assert.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(text), `"index":7`, `"index":"x"`, 1)), 0o600))
	for _, command := range []string{"check", "serve"} {
		raw, err = program(command, "--config", path).CombinedOutput()
		assert.Error(t, err)
		assert.Contains(t, string(raw), "hazelwheel: known: ")
	}
	raw, err = program("version").CombinedOutput()
	assert.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(raw), "hazelwheel "), string(raw))
}
