package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// serverUsage counts the requests that each sidecar sent to each server, as the servers report them.
type serverUsage struct {
	mu   sync.Mutex
	sent map[string]map[string]int // by sidecar and server
}

func (u *serverUsage) note(by, server string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sent[by] == nil {
		u.sent[by] = map[string]int{}
	}
	u.sent[by][server]++
}

// fresh discards the counts and returns the new ones once each of some sidecars has sent so many requests.
func (u *serverUsage) fresh(c *testFleet, some []*fleetMember, each int) (sent map[string]map[string]int) {
	c.Helper()
	u.mu.Lock()
	u.sent = map[string]map[string]int{}
	u.mu.Unlock()
	c.pollFor(6*patience, "all have sent", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		for _, m := range some {
			n := 0
			for _, k := range u.sent[m.name] {
				n += k
			}
			if n < each {
				return false
			}
		}
		sent, u.sent = u.sent, map[string]map[string]int{}
		return true
	})
	return sent
}

// One more sidecar moves the server subsets of the others by one or two servers each, and every server is used by at least two sidecars.
// If sidecars knew only their own rank, each of the 20 would use a different half of the servers.
func TestShareAddedSidecar(t *testing.T) {
	const standing, serverCount, each = 20, 40, 120
	c := newTestFleet(t, standing+1)
	c.replica = standing
	c.settings = func(s map[string]any) { // low traffic and a tight objective: a sidecar uses half of the servers
		class := s["classes"].([]map[string]any)[0]
		class["objectiveS"], class["giveUpS"] = 0.3, 2
	}
	u := &serverUsage{}
	u.sent = map[string]map[string]int{}
	for i := range serverCount {
		name := fmt.Sprintf("s-%08x", i+1)
		b := c.server
		if i > 0 {
			b = newServer(t, name, nil)
			for _, m := range c.all {
				m.known = append(m.known, b.endpoint())
			}
		}
		b.set(func(w http.ResponseWriter, r *http.Request) {
			u.note(strings.TrimPrefix(r.URL.Path, "/read/"), name)
			says(200, "ok")(w, r)
		})
	}
	some, newcomer := c.all[:standing], c.all[standing]
	newcomer.gone.Store(true)
	for _, m := range some {
		m.start()
	}
	c.ready(some...)
	c.awaitAgreement(some...)
	c.awaitRanks(some...)
	over := make(chan struct{})
	var clients sync.WaitGroup
	t.Cleanup(func() {
		close(over)
		clients.Wait()
	})
	for _, m := range c.all {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(120 * time.Millisecond):
				}
				if m.gone.Load() {
					continue
				}
				if p, err := outside.Do(m.request("2000m")); err == nil {
					p.Body.Close()
				}
			}
		})
	}
	u.fresh(c, some, 30) // the sidecars must learn their own traffic first
	before := u.fresh(c, some, each)
	newcomer.start()
	c.ready(newcomer)
	c.awaitAgreement(c.all...)
	c.awaitRanks(c.all...)
	after := u.fresh(c, c.all, each)
	moved, held := 0, 0
	by := map[string]int{}
	for _, m := range c.all {
		for server := range after[m.name] {
			by[server]++
			if before[m.name][server] == 0 && m != newcomer {
				moved++
			}
		}
		if m != newcomer {
			held += len(before[m.name])
		}
	}
	t.Logf("%d sidecars used %d servers each; adding one sidecar moved %d of %d", standing, held/standing, moved, held)
	require.Less(t, held, standing*serverCount*3/4, "a sidecar uses a part of the servers")
	assert.Less(t, moved, 3*standing)
	require.Len(t, by, serverCount, "every server is used")
	for server, n := range by {
		assert.GreaterOrEqual(t, n, 2, "%s is held by one", server)
	}
}
