package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A watch that fails is reopened and continues from the list that is held. Its lines may be split anywhere.
func TestWatch(t *testing.T) {
	first, second := newServer(t, "s-00000001", says(200, "1")), newServer(t, "s-00000002", says(200, "2"))
	w := newTestSidecar(t, first)
	w.discovery.answers <- func(d watch) { d.WriteHeader(503) }
	w.discovery.answers <- func(d watch) {
		text := line(t, 9, true, second)
		d.write("\n" + text[:20])
		w.eventually("the second watch has begun and no list has arrived", func() bool { return w.counter("watches") == 2 && w.counter("lists") == 0 })
		d.write(text[20:] + "\n" + `{"index":10,"snap`) // then the connection breaks
	}
	w.discovery.answers <- func(d watch) { panic(http.ErrAbortHandler) }
	w.start()
	for _, since := range []string{"7", "7", "9", "9"} {
		assert.Equal(t, "/v1/endpoints?follow=1&since="+since, <-w.discovery.calls)
	}
	assert.EqualValues(t, 3, w.counter("list_failed"))
	assert.EqualValues(t, 1, w.counter("lists"))
	assert.Equal(t, "2", w.ask("read", "", "").body, "a server that is missing from the complete list is removed")
	assert.Zero(t, first.requestCount())
}

// A watch that sends nothing, not even its empty keep-alive lines, has failed. Changes that it misses count as known 6 s after it fell
// silent, so the next call must come well before that.
func TestWatchFallsSilent(t *testing.T) {
	w := newTestSidecar(t)
	w.discovery.answers <- func(d watch) {
		d.write("\n")
		<-d.done
	}
	w.start()
	<-w.discovery.calls
	began := time.Now()
	<-w.discovery.calls
	assert.Greater(t, time.Since(began), 2500*time.Millisecond, "well past the two seconds between heartbeats")
	assert.Less(t, time.Since(began), 5*time.Second)
	assert.EqualValues(t, 1, w.counter("list_failed"))
}

// A watch whose first object arrives byte by byte is never silent and never complete; it is reopened all the same.
func TestWatchFirstObjectByteByByte(t *testing.T) {
	w := newTestSidecar(t)
	w.discovery.answers <- func(d watch) {
		d.write("{")
		for {
			select {
			case <-d.done:
				return
			case <-time.After(100 * time.Millisecond):
				d.write(" ")
			}
		}
	}
	w.start()
	<-w.discovery.calls
	select {
	case <-w.discovery.calls:
	case <-time.After(patience):
		t.Fatal("no second call")
	}
}

// After each kind of failed call, the next one comes soon enough for its response to arrive within 6 s of when discovery is reachable
// again.
func TestFailedCallsAreRepeatedSoon(t *testing.T) {
	w := newTestSidecar(t)
	fails := []func(watch){
		func(d watch) { d.WriteHeader(503) },
		func(watch) { panic(http.ErrAbortHandler) },
		func(d watch) { d.write("\n") }, // then the watch ends
		func(d watch) { d.WriteHeader(503) },
		func(d watch) { d.WriteHeader(503) },
		func(d watch) { d.WriteHeader(503) },
	}
	for _, f := range fails {
		w.discovery.answers <- f
	}
	w.start()
	last := time.Now()
	for i := range len(fails) + 1 {
		<-w.discovery.calls
		assert.Less(t, time.Since(last), 4*time.Second, "call %d", i)
		last = time.Now()
	}
}

// Where lists are pushed a change counts as known at once. So a failed watch must be reopened within the time for which a draining
// server may still be sent requests.
func TestPushedListsAreWatchedAgainAtOnce(t *testing.T) {
	leaves, stays := newServer(t, "s-00000001", says(200, "")), newServer(t, "s-00000002", says(200, ""))
	w := newTestSidecar(t, leaves, stays)
	w.settings["discovery"] = "pushed"
	leaves.status = "DRAINING"
	for range 3 {
		w.discovery.answers <- func(d watch) { d.WriteHeader(503) }
	}
	w.discovery.answers <- func(d watch) {
		d.write(line(t, 8, false, leaves))
		<-d.done
	}
	w.start()
	<-w.discovery.calls
	for range 3 {
		last := time.Now()
		<-w.discovery.calls
		assert.Less(t, time.Since(last), 700*time.Millisecond)
	}
	w.eventually("the list", func() bool { return w.counter("lists") == 1 })
	before := leaves.requestCount()
	for range 20 {
		assert.Equal(t, 200, w.ask("read", "", "").status)
	}
	assert.Equal(t, before, leaves.requestCount())
}

// Lists may be indented, arrive in pieces, or follow each other on one line; a complete list may be the last of a response.
func TestListsInAllForms(t *testing.T) {
	first, second, third := newServer(t, "s-00000001", says(200, "1")), newServer(t, "s-00000002", says(200, "2")), newServer(t, "s-00000003", says(200, "3"))
	indented := func(index int, snapshot bool, servers ...*server) string {
		var out bytes.Buffer
		require.NoError(t, json.Indent(&out, []byte(line(t, index, snapshot, servers...)), "", "  "))
		return out.String()
	}
	w := newTestSidecar(t, first)
	w.discovery.answers <- func(d watch) {
		for _, b := range []byte(indented(8, true, second)) {
			d.write(string(b))
		}
		w.eventually("the list", func() bool { return w.counter("lists") == 1 })
		first.status = "DELETED"
		d.write(strings.TrimSpace(line(t, 9, false, first)) + indented(10, false, third) + "\n\n")
		w.eventually("both changes have arrived", func() bool { return w.counter("lists") == 3 })
		first.status = "SERVING"
		d.write(strings.TrimSuffix(line(t, 11, true, first), "\n")) // then the watch ends
	}
	w.start()
	w.eventually("the last change has arrived", func() bool { return w.counter("lists") == 4 })
	for _, since := range []string{"7", "11"} {
		assert.Equal(t, "/v1/endpoints?follow=1&since="+since, <-w.discovery.calls)
	}
	assert.Equal(t, "1", w.ask("read", "", "").body)
}

// A malformed list ends its watch, is logged once however often it arrives, and leaves the present list in use.
func TestMalformedLists(t *testing.T) {
	first := newServer(t, "s-00000001", says(200, "1"))
	w := newTestSidecar(t, first)
	for _, text := range []string{"[]", `{"index":"x"}`, `{"index":9,"snapshot":true}`, `{"index":9,"snapshot":true}`, `{"index":9,"endpoints":[{"name":1}]}`} {
		w.discovery.answers <- func(d watch) {
			d.write("\n" + text + "\n")
			<-d.done
		}
	}
	w.start()
	for range 6 {
		<-w.discovery.calls
	}
	assert.Equal(t, 4, strings.Count(w.log.String(), "malformed list"))
	assert.Contains(t, w.log.String(), w.discovery.address())
	assert.Equal(t, "1", w.ask("read", "", "").body)
}

func TestDrainingServerGetsNothingNew(t *testing.T) {
	leaves, stays := newServer(t, "s-00000001", says(200, "")), newServer(t, "s-00000002", says(200, ""))
	w := newTestSidecar(t, leaves, stays)
	drains := make(chan struct{})
	w.discovery.sendVersionOnce(8, drains, func() string { return line(t, 8, false, leaves) })
	w.start()
	w.eventually("both serve", func() bool { w.ask("read", "", ""); return leaves.requestCount() > 0 && stays.requestCount() > 0 })
	leaves.status = "DRAINING"
	close(drains)
	w.eventually("the list", func() bool { return w.counter("lists") == 1 })
	before := leaves.requestCount()
	for range 30 {
		assert.Equal(t, 200, w.ask("read", "", "").status)
	}
	assert.Equal(t, before, leaves.requestCount())
	w.eventually("idle connections are closed", func() bool { _, opened, closed := leaves.counts(); return opened == closed })
}

// Probes use the path and report fields that are configured, and unknown fields in the replies are ignored.
func TestProbes(t *testing.T) {
	for how, path := range map[string]string{"on_probe": "/status/load", "inline": "/health"} {
		t.Run(how, func(t *testing.T) {
			paths := make(chan string, 1000)
			s := newServer(t, "s-00000001", func(w http.ResponseWriter, r *http.Request) {
				paths <- r.URL.Path
				says(200, "inflight=1,queue=,odd,util=NaN\n")(w, r)
			})
			w := newTestSidecar(t, s, newServer(t, "s-00000002", hangs))
			w.setLimit("probes", true)
			w.settings["report"] = map[string]any{"how": how, "fields": []string{"busy_reqs", "pending"}}
			w.start()
			assert.Equal(t, path, <-paths)
			w.eventually("a failed probe", func() bool { return w.countOfOutcome("probe_ends", "timed_out") > 0 })
			assert.Positive(t, w.countOfOutcome("probe_ends", "ok"))
			assert.Zero(t, w.counter("panics"))
		})
	}
}

// A full server rejects probes, which shows that it is alive; one with a long queue makes them wait first.
func TestProbesTurnedAway(t *testing.T) {
	full, slow := newServer(t, "s-00000001", says(503, "")), newServer(t, "s-00000002", nil)
	slow.set(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		w.WriteHeader(503)
	})
	w := newTestSidecar(t, full, slow)
	w.setLimit("probes", true)
	w.start()
	w.eventually("a connection end of each kind", func() bool {
		return w.countOfOutcome("probe_ends", "rejected") > 0 && w.countOfOutcome("probe_ends", "timed_out") > 0
	})
	assert.Zero(t, w.countOfOutcome("probe_ends", "host_error"))
}

// A probe whose connection breaks is retried on a new one: it tests the server, not the connection.
func TestProbeOnABrokenLink(t *testing.T) {
	s := newServer(t, "s-00000001", nil)
	s.set(func(w http.ResponseWriter, r *http.Request) {
		s.set(says(200, ""))
		breaks("")(w, r)
	})
	w := newTestSidecar(t, s)
	w.setLimit("probes", true)
	w.start()
	w.eventually("a successful probe", func() bool { return w.countOfOutcome("probe_ends", "ok") > 0 })
	assert.Zero(t, w.countOfOutcome("probe_ends", "reset"))
}

// A probe with an unreadable response shows that its server is alive, and nothing of its load.
func TestUnreadableProbeReplies(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "s-00000001", breaks("\x00\x01noise")))
	w.setLimit("probes", true)
	w.settings["report"] = map[string]any{"how": "on_probe", "fields": []string{"pending"}}
	w.start()
	w.eventually("a probe", func() bool { return w.countOfOutcome("probe_ends", "ok") > 0 })
	assert.Zero(t, w.countOfOutcome("probe_ends", "host_error")+w.countOfOutcome("probe_ends", "reset"))
}

func TestCommands(t *testing.T) {
	w := newTestSidecar(t)
	raw, err := program("check", "--config", w.writeConfig()).CombinedOutput()
	assert.NoError(t, err)
	assert.Contains(t, string(raw), "3 classes")
	w.limits["sockets"] = 3
	for _, command := range []string{"check", "serve"} {
		cmd := program(command, "--config", w.writeConfig())
		var line strings.Builder
		cmd.Stderr = &line
		assert.Error(t, cmd.Run())
		assert.Equal(t, "hazelwheel: limits.sockets: missing, or out of range\n", line.String())
	}
	w.limits["sockets"] = 100
	path := w.writeConfig()
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
