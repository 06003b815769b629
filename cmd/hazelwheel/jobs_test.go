package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/coordination"
)

// discoveryRegistry is a discovery service for many sidecars: it counts versions, sends the changes since one, and sends an empty line
// every 2 s.
type discoveryRegistry struct {
	*httptest.Server
	mu      sync.Mutex
	index   int
	entries []endpoint // the endpoint of each change, from the version after first on
	odd     int        // the call whose watch is sent another last version than the others; -1 for none
	live    []int      // the calls whose watches are open
	down    chan struct{}
	changed chan struct{} // closed at each change
	calls   int
}

// first is the version before the first change. Configurations hold an earlier one.
const first = 40

func newDiscoveryRegistry(t *testing.T) *discoveryRegistry {
	r := &discoveryRegistry{index: first, odd: -1, down: make(chan struct{}), changed: make(chan struct{})}
	r.Server = httptest.NewServer(http.HandlerFunc(r.serve))
	t.Cleanup(r.CloseClientConnections)
	return r
}

// publish creates a version that changes one endpoint.
func (r *discoveryRegistry) publish(e endpoint, split bool) (index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	if r.entries, r.odd = append(r.entries, e), -1; split && len(r.live) > 0 {
		r.odd = r.live[0]
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return uint64(r.index)
}

// fail ends all watches and answers 503 until it is called with false.
func (r *discoveryRegistry) fail(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		close(r.down)
	} else {
		r.down = make(chan struct{})
	}
}

func (r *discoveryRegistry) state() (watches, calls int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.live), r.calls
}

func (r *discoveryRegistry) serve(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	down, number := r.down, r.calls
	r.calls++
	r.mu.Unlock()
	select {
	case <-down:
		w.WriteHeader(503)
		return
	default:
	}
	since := -1
	fmt.Sscanf(q.FormValue("since"), "%d", &since) // without a number the complete list is sent
	r.count(number, true)
	defer r.count(number, false)
	for {
		r.mu.Lock()
		text, changed := "\n", r.changed
		if since < r.index {
			last := map[string]endpoint{}
			list := []endpoint{}
			for i, e := range r.entries {
				if first+i >= since {
					last[e.Name] = e
				}
			}
			for _, e := range last {
				if number == r.odd && e.Name == r.entries[len(r.entries)-1].Name {
					e.Weight++
				}
				list = append(list, e)
			}
			raw, err := json.Marshal(map[string]any{"index": r.index, "snapshot": since < first, "endpoints": list})
			if err != nil {
				panic(err)
			}
			text, since = string(raw)+"\n", r.index
		}
		r.mu.Unlock()
		io.WriteString(w, text) // fails if the client has disconnected, which the context reports
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		case <-down:
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (r *discoveryRegistry) count(number int, up bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.live = slices.DeleteFunc(r.live, func(n int) bool { return n == number }); up {
		r.live = append(r.live, number)
	}
}

// newListeners returns sidecars that can take the list role, and that serve.
func newListeners(t *testing.T) (c *testFleet, stop func()) {
	c = newRoleFleet(t, 5, 5)
	c.jobs, c.registry = []string{"list"}, newDiscoveryRegistry(t)
	c.registry.publish(c.server.endpoint(), false)
	c.start().ready(c.all...)
	c.awaitRelayedLists("at the start", c.all...)
	return c, c.serveAll()
}

func (m *fleetMember) listStats() (l coordination.ListStats) {
	if s, ok := m.leaseStatus(); ok && s.Lists != nil {
		l = *s.Lists
	}
	return l
}

// awaitRelayedLists waits until three of the members own the parts of the list role and have the only watches, and all members use the
// list that these relay.
func (c *testFleet) awaitRelayedLists(what string, some ...*fleetMember) (owners []*fleetMember) {
	c.Helper()
	began := time.Now()
	c.poll("three watch "+what, func() bool {
		if watches, _ := c.registry.state(); watches != 3 {
			return false
		}
		owners = nil
		for _, m := range some {
			s, ok := m.leaseStatus()
			if !ok || s.Lists == nil {
				return false
			}
			if slices.ContainsFunc(s.Roles, func(j coordination.RoleStatus) bool { return strings.HasPrefix(j.Role, "list") && j.HeldToken != 0 }) {
				owners = append(owners, m)
			} else if !s.Lists.Relayed {
				return false
			}
		}
		return len(owners) == 3
	})
	c.Logf("%s: three watch and all are fed after %v", what, time.Since(began).Round(10*time.Millisecond))
	return owners
}

// awaitVersion waits until all of the members hold a version, and returns the longest time that one of them took.
func (c *testFleet) awaitVersion(index uint64, some ...*fleetMember) time.Duration {
	c.Helper()
	began := time.Now()
	c.poll(fmt.Sprintf("all hold version %d", index), func() bool {
		return !slices.ContainsFunc(some, func(m *fleetMember) bool { return m.listStats().Index < index })
	})
	return time.Since(began)
}

// Three of five members watch discovery and relay its changes to all. An owner is killed while discovery publishes changes: the members
// go on with the other two, none goes without news for longer than a watch may be silent, and there are three watches again.
func TestOwnerListSurvivesOwnerDeath(t *testing.T) {
	c, stop := newListeners(t)
	owners := c.awaitRelayedLists("before", c.all...)
	for range 3 {
		t.Logf("a version is everywhere after %v", c.awaitVersion(c.registry.publish(c.server.endpoint(), false), c.all...))
	}
	owners[0].kill()
	left := c.without(owners[0])
	for range 3 {
		t.Logf("a version is everywhere after %v", c.awaitVersion(c.registry.publish(c.server.endpoint(), false), left...))
	}
	// Danger: where the machine starves all members but one, that one owns all three roles, and hears no relayed lists but has its own
	// watch.
	oldest := 0.0
	c.poll("there is a third watch", func() bool {
		for _, m := range left {
			if l := m.listStats(); l.UpdatesSent == 0 {
				oldest = max(oldest, l.AgeSeconds)
			}
		}
		watches, _ := c.registry.state()
		return watches == 3
	})
	c.awaitRelayedLists("after the kill", left...)
	c.awaitVersion(c.registry.publish(c.server.endpoint(), false), left...)
	for _, m := range left {
		if l := m.listStats(); l.UpdatesSent == 0 {
			assert.Zero(t, l.Stale, m.name)
		}
		assert.Zero(t, m.listStats().Mismatches, m.name)
	}
	assert.Less(t, oldest, 5.0)
	t.Logf("the list was %.1f s old at most", oldest)
	stop()
}

// Discovery fails and recovers: all members know at once that there is no news and serve from the list that they hold, and afterwards
// three watch again.
func TestOwnerListDiscoveryFailure(t *testing.T) {
	c, stop := newListeners(t)
	c.registry.fail(true)
	c.poll("no member has news", func() bool {
		return !slices.ContainsFunc(c.all, func(m *fleetMember) bool { return m.listStats().Relayed })
	})
	index := c.registry.publish(c.server.endpoint(), false)
	c.registry.fail(false)
	t.Logf("discovery is back: the version is everywhere after %v", c.awaitVersion(index, c.all...))
	c.awaitRelayedLists("when it is back", c.all...)
	stop()
}

// Two owners get different contents for one version: a member that hears both requests the complete list from discovery, and no list of
// a lower version is used again.
func TestOwnerListConflictingContents(t *testing.T) {
	c, stop := newListeners(t)
	_, before := c.registry.state()
	split := c.registry.publish(c.server.endpoint(), true)
	c.awaitVersion(split, c.all...)
	// Danger: where the owner of one list had just lost its lease, as on an overloaded machine, nobody hears the other.
	again := time.Now().Add(3 * time.Second)
	c.poll("a member has received both lists", func() bool {
		if time.Now().After(again) {
			c.registry.publish(c.server.endpoint(), true)
			again = time.Now().Add(3 * time.Second)
		}
		return slices.ContainsFunc(c.all, func(m *fleetMember) bool { return m.listStats().Mismatches > 0 })
	})
	c.poll("discovery is queried", func() bool { _, calls := c.registry.state(); return calls > before })
	c.awaitVersion(c.registry.publish(c.server.endpoint(), false), c.all...)
	stop()
}

// A drill that is started at one sidecar runs once at each, and ends once. Its owner is killed meanwhile, and after its restart runs the
// rest of the drill.
func TestOwnerDrill(t *testing.T) {
	c := newRoleFleet(t, 5, 5)
	c.jobs = []string{"drill"}
	c.start().ready(c.all...)
	owner := func(some ...*fleetMember) (found *fleetMember) {
		c.poll("a sidecar owns the drills", func() bool {
			for _, m := range some {
				s, _ := m.leaseStatus()
				if slices.ContainsFunc(s.Roles, func(j coordination.RoleStatus) bool { return j.Role == "drill" && j.HeldToken != 0 }) {
					found = m
				}
			}
			return found != nil
		})
		return found
	}
	first := owner(c.all...)
	given := c.without(first)[0]
	start := func(secret string) (string, int) {
		file := filepath.Join(given.tmp, "secret")
		require.NoError(t, os.WriteFile(file, []byte(secret), 0o600))
		return c.command("drill", "start", "--config", filepath.Join(given.tmp, "config.json"), "--name", "lag", "--secret-file", file)
	}
	_, code := start("wrong")
	assert.Equal(t, 2, code)
	out, code := start(drillSecret)
	require.Zero(t, code, out)
	began := time.Now()
	drills := func(m *fleetMember) []coordination.FaultStatus { s, _ := m.leaseStatus(); return s.Faults }
	c.poll("the drill runs at all sidecars", func() bool {
		return !slices.ContainsFunc(c.all, func(m *fleetMember) bool {
			d := drills(m)
			return len(d) != 1 || d[0].RemainingSeconds == 0 || !d[0].Announced
		})
	})
	t.Logf("it runs at all after %v", time.Since(began))
	id := drills(given)[0].ID
	first.kill()
	c.ready(first.start())
	c.poll("the restarted sidecar runs the rest of the drill", func() bool { d := drills(first); return len(d) == 1 && d[0].RemainingSeconds > 0 })
	late := drills(first)[0]
	assert.LessOrEqual(t, late.RemainingSeconds, 6-time.Since(began).Seconds()+1, "only the remaining time")
	owner(c.all...)
	c.poll("the drill has ended at all sidecars", func() bool {
		return !slices.ContainsFunc(c.all, func(m *fleetMember) bool { d := drills(m); return len(d) != 1 || d[0].RemainingSeconds > 0 })
	})
	t.Logf("it has ended at all after %v", time.Since(began))
	for _, m := range c.all {
		assert.Equal(t, id, drills(m)[0].ID)
		want := 1
		if m == first {
			want = 2 // once in each of its two processes
		}
		assert.Equal(t, want, strings.Count(m.log.String(), "msg=\"drill of the fleet started\"")+strings.Count(m.log.String(), "msg=\"drill started\""), m.name)
	}
}
