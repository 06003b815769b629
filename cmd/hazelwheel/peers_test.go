package main

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/coordination"
	"hazelwheel/internal/lab/processcluster"
)

// testFleet is several sidecars that know each other, each a process, with a fault-injecting proxy between all of them.
type testFleet struct {
	*testing.T
	peerProxy *processcluster.FaultProxy
	server    *server
	all       []*fleetMember
	limits    map[string]any
	replica   int // the fleet's size as configured

	electors []string                      // addresses; empty: no electors and no roles
	jobs     []string                      // empty: only the report
	registry *discoveryRegistry            // discovery service of all; nil: each sidecar has its own, which sends nothing
	effects  *processcluster.EffectChecker // nil: effects are not checked
	settings func(s map[string]any)
}

// fleetMember is one sidecar across all restarts of its process.
type fleetMember struct {
	c                       *testFleet
	name                    string
	dir                     string // folder of its state
	tmp                     string
	listen, ops             string
	peers, advertise        string
	join                    []string
	env                     []string
	cmd                     *exec.Cmd
	ended                   chan struct{} // closed once the process has ended
	log                     *syncBuffer
	frozen                  atomic.Bool
	gone                    atomic.Bool // true while it must not be sent requests
	known                   []endpoint
	capture                 bool     // its decisions are recorded
	diskFull                bool     // its disk is full
	withoutRoles            bool     // it does not know roles, like an earlier version
	inheritedSocket         *os.File // the clients' listening socket, where the platform holds it
	responses, refused, bad atomic.Int64
}

// newTestFleet returns sidecars that are not started. They join by the addresses of the first two.
func newTestFleet(t *testing.T, n int) *testFleet {
	t.Parallel()
	return newTestFleetIn(t, n)
}

// newTestFleetIn is like newTestFleet, for a test that has a sidecar already.
func newTestFleetIn(t *testing.T, n int) *testFleet {
	c := &testFleet{T: t, peerProxy: processcluster.NewFaultProxy(), server: newServer(t, "s-00000001", says(200, "ok")), replica: n,
		limits: map[string]any{"cores": 1, "sockets": 256}}
	t.Cleanup(c.peerProxy.Close)
	for range n {
		c.add()
	}
	return c
}

// add adds a sidecar that is not started.
func (c *testFleet) add() *fleetMember {
	m := &fleetMember{c: c, name: fmt.Sprintf("m%02d", len(c.all)), dir: c.TempDir(), tmp: c.TempDir(), listen: freeAddress(c.T), ops: freeAddress(c.T), peers: freeAddress(c.T),
		log: &syncBuffer{}}
	var err error
	m.advertise, err = c.peerProxy.Listen(m.name, m.peers)
	require.NoError(c, err)
	for _, o := range c.all[:min(len(c.all), 2)] {
		m.join = append(m.join, o.advertise)
	}
	c.all = append(c.all, m)
	if len(c.all) == 2 { // else the first would find no peer after a restart
		c.all[0].join = []string{m.advertise}
	}
	c.Cleanup(func() {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.ended
		}
		assert.NotContains(c, m.log.String(), "DATA RACE")
		assert.NotContains(c, m.log.String(), "msg=panic")
		if c.Failed() {
			c.Logf("%s:\n%s", m.name, m.log.String())
		}
	})
	return m
}

func (m *fleetMember) fleet() map[string]any {
	f := map[string]any{"name": "yard", "listen": m.peers, "advertise": m.advertise, "join": m.join, "dir": m.dir}
	if len(m.c.electors) > 0 && !m.withoutRoles {
		f["electors"], f["jobs"] = m.c.electors, []string{"report"}
		if len(m.c.jobs) > 0 {
			f["jobs"] = m.c.jobs
		}
	}
	return f
}

// start starts the sidecar's process without waiting for it.
func (m *fleetMember) start() *fleetMember {
	m.c.Helper()
	w := &testSidecar{T: m.c.T, discovery: newDiscovery(m.c.T), listen: m.listen, limits: m.c.limits, path: filepath.Join(m.tmp, "config.json")}
	w.settings = map[string]any{
		"classes": []map[string]any{{"name": "read", "effect": "free", "objectiveS": 5, "giveUpS": 10, "importance": 1}},
		"dcs":     []string{"a"}, "discovery": "on_request", "replicasOfMe": m.c.replica, "selfIndex": slices.Index(m.c.all, m), "roundS": 0.005,
		"limits":      map[string]any{"cancel": true, "probes": false, "sendCap": 3, "maxRetryAfterS": 1.5, "connIdleS": 60, "connectTimeoutS": 5},
		"obligations": map[string]any{"answerSlackS": 0.02, "askWithinS": 10, "drainGraceS": 0.75},
		"report":      map[string]any{"how": "off"},
	}
	if m.c.settings != nil {
		m.c.settings(w.settings)
	}
	if m.c.registry != nil {
		w.discovery.Close()
		w.discovery = &discovery{Server: m.c.registry.Server}
	}
	w.known = append([]endpoint{m.c.server.endpoint()}, m.known...)
	path := w.writeConfig()
	raw, err := os.ReadFile(path)
	require.NoError(m.c, err)
	require.NoError(m.c, os.WriteFile(path, []byte(strings.Replace(string(raw), `"name":"n0"`, `"name":"`+m.name+`"`, 1)), 0o600))
	extras := map[string]any{"fleet": m.fleet()}
	if slices.Contains(m.c.jobs, "drill") {
		extras["drills"] = []map[string]any{{"name": "lag", "class": "read", "share": 100, "delay_ms": 1, "duration_s": 6}}
		extras["drills.secret_sha256"] = fmt.Sprintf("%x", sha256.Sum256([]byte(drillSecret)))
	}
	if m.capture {
		extras["capture"] = map[string]any{"max_bytes": 1 << 20, "files": 1}
	}
	text, err := json.Marshal(extras)
	require.NoError(m.c, err)
	features := filepath.Join(m.tmp, "features.json")
	require.NoError(m.c, os.WriteFile(features, text, 0o600))
	m.cmd = program("serve", "--config", path, "--features", features)
	if m.diskFull { // no file of the process may hold a byte
		m.cmd.Path, m.cmd.Args = "/bin/sh", append([]string{"sh", "-c", `ulimit -f 0; exec "$0" "$@"`}, m.cmd.Args...)
	}
	m.cmd.Env = append(append(m.cmd.Env, "GW_OPS="+m.ops), m.env...)
	if m.inheritedSocket != nil {
		m.cmd.ExtraFiles = []*os.File{m.inheritedSocket, m.inheritedSocket}
	}
	m.cmd.Stderr = m.log
	require.NoError(m.c, m.cmd.Start())
	m.frozen.Store(false)
	ended, cmd := make(chan struct{}), m.cmd
	m.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return m
}

func (c *testFleet) start() *testFleet {
	for _, m := range c.all {
		m.start()
	}
	return c
}

func (m *fleetMember) signal(s syscall.Signal) {
	m.c.Helper()
	require.NoError(m.c, m.cmd.Process.Signal(s))
}

// kill ends the process with SIGKILL.
func (m *fleetMember) kill() {
	m.gone.Store(true)
	m.signal(syscall.SIGKILL)
	<-m.ended
}

func (m *fleetMember) term() {
	m.gone.Store(true)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(patience):
		require.Fail(m.c, m.name+" does not exit")
	}
}

// freeze stops the process with SIGSTOP, and returns once the kernel shows it as stopped.
func (m *fleetMember) freeze() {
	m.c.Helper()
	m.frozen.Store(true)
	m.signal(syscall.SIGSTOP)
	m.c.poll(m.name+" is paused", func() bool {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.cmd.Process.Pid))
		if err != nil {
			return false
		}
		rest := string(raw[strings.LastIndexByte(string(raw), ')')+1:])
		return strings.HasPrefix(rest, " T")
	})
}

func (m *fleetMember) resume() {
	m.signal(syscall.SIGCONT)
	m.frozen.Store(false)
}

// poll waits until a condition holds.
func (c *testFleet) poll(what string, f func() bool) {
	c.Helper()
	c.pollFor(3*patience, what, f)
}

// pollFor is like poll, with a time limit of its own.
func (c *testFleet) pollFor(patience time.Duration, what string, f func() bool) {
	c.Helper()
	c.pollUntil(patience, what, f, func() string { return "" })
}

// pollWith is like poll, and reports the actual state on a timeout.
func (c *testFleet) pollWith(what string, f func() bool, instead func() string) {
	c.Helper()
	c.pollUntil(3*patience, what, f, instead)
}

func (c *testFleet) pollUntil(patience time.Duration, what string, f func() bool, instead func() string) {
	c.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(20 * time.Millisecond) {
		if !time.Now().Before(end) {
			require.Fail(c, what, instead())
		}
	}
}

// status queries the sidecar's admin endpoint for the members; false if it does not reply.
func (m *fleetMember) status() (s coordination.Status, ok bool) {
	if m.frozen.Load() {
		return s, false
	}
	text, err := callOnce(m.ops, "PEERS\n")
	return s, err == nil && json.Unmarshal([]byte(text), &s) == nil
}

// states returns a sidecar's view of each name: of several identities with one name the live one, or else the last.
func states(s coordination.Status) map[string]string {
	all := map[string]string{}
	for _, m := range s.Members {
		if old, ok := all[m.Name]; !ok || old != "alive" {
			all[m.Name] = m.State
		}
	}
	return all
}

// alive returns the sorted names of those that a sidecar considers live; a name with two live identities is listed twice.
func alive(s coordination.Status) (names []string) {
	for _, m := range s.Members {
		if m.State == "alive" {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// awaitAgreement waits until each of the members considers exactly these live and ranks are dense; it returns how long that took.
func (c *testFleet) awaitAgreement(all ...*fleetMember) time.Duration {
	c.Helper()
	return c.awaitView(all, all)
}

// awaitView waits until some members consider exactly others live.
func (c *testFleet) awaitView(some, others []*fleetMember) time.Duration {
	c.Helper()
	began := time.Now()
	var want []string
	for _, m := range others {
		want = append(want, m.name)
	}
	slices.Sort(want)
	last := ""
	for end := time.Now().Add(3 * patience); ; time.Sleep(20 * time.Millisecond) {
		done := true
		for _, m := range some {
			s, ok := m.status()
			unsure := slices.ContainsFunc(s.Members, func(m coordination.MemberStatus) bool { return m.State == "suspected" })
			if got := alive(s); !ok || unsure || !slices.Equal(got, want) {
				done, last = false, fmt.Sprintf("%s holds %v alive, wanted %v", m.name, states(s), want)
				break
			}
		}
		if done {
			return time.Since(began)
		}
		require.True(c, time.Now().Before(end), last)
	}
}

// awaitRanks waits until the ranks in use are 0 to n-1, each once, and the count is n.
func (c *testFleet) awaitRanks(all ...*fleetMember) {
	c.Helper()
	c.poll("ranks are dense", func() bool {
		ranks := make([]int, len(all))
		for _, m := range all {
			s, ok := m.status()
			if !ok || s.Count != len(all) || s.Rank >= len(all) {
				return false
			}
			ranks[s.Rank]++
		}
		return !slices.ContainsFunc(ranks, func(n int) bool { return n != 1 })
	})
}

// request returns a unique request for a sidecar with a Request-Timeout. Servers recognize the sidecar by the path.
func (m *fleetMember) request(patience string) *http.Request {
	r, err := http.NewRequest("GET", "http://"+m.listen+"/read/"+m.name, nil)
	if err != nil {
		panic(err)
	}
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	r.Header.Set("Request-Id", fmt.Sprintf("%016x", lastID.n))
	r.Header.Set("Request-Timeout", patience)
	return r
}

// serveAll sends requests to all sidecars, from one client each, until the function that it returns is called. Each request must be
// answered, and a sidecar that is neither stopped nor ending must serve.
func (c *testFleet) serveAll() (stop func()) {
	over := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range c.all {
		clients.Go(func() {
			client := http.Client{Timeout: 2 * patience, Transport: &http.Transport{DisableKeepAlives: true}}
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(10 * time.Millisecond):
				}
				awayBefore := m.gone.Load() || m.frozen.Load()
				p, sentAfter, err := askOnce(&client, m.request("8000m"))
				away := awayBefore || m.gone.Load() || m.frozen.Load()
				switch {
				case err == nil:
					p.Body.Close()
					if m.responses.Add(1); p.StatusCode != 200 && !away {
						m.refused.Add(1)
					}
				case away:
				case sentAfter >= silentMost:
					c.Logf("%s: %v: the client stalled for %v before it sent its request", m.name, err, sentAfter)
				default:
					m.bad.Add(1)
					c.Logf("%s: %v (the request was sent after %v)", m.name, err, sentAfter)
				}
			}
		})
	}
	return func() {
		close(over)
		clients.Wait()
		for _, m := range c.all {
			assert.Zero(c, m.bad.Load(), "%s left requests without an answer", m.name)
			// On a busy machine the policy may reject some requests.
			assert.LessOrEqual(c, m.refused.Load(), 1+m.responses.Load()/50, "%s did not serve", m.name)
		}
	}
}

// silentMost is the shortest time after which a sidecar closes a silent connection: silentS of internal/sidecar. Where the client itself
// stalls for longer between its dial and its request on a busy machine, the sidecar is not at fault.
const silentMost = 2200 * time.Millisecond

// askOnce sends a request over a connection of its own. It returns how long after the start of the dial the client had written it, or
// where that never happened, how long the call took.
func askOnce(client *http.Client, r *http.Request) (p *http.Response, sentAfter time.Duration, err error) {
	var wrote atomic.Int64 // the transport writes in another goroutine
	began := time.Now()
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(int64(time.Since(began))) }}
	p, err = client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	return p, cmp.Or(time.Duration(wrote.Load()), time.Since(began)), err
}

// ready waits until all of them serve.
func (c *testFleet) ready(all ...*fleetMember) {
	c.Helper()
	for _, m := range all {
		c.poll(m.name+" serves", func() bool {
			r, err := outside.Get("http://" + m.listen + "/ready")
			return err == nil && r.Body.Close() == nil && r.StatusCode == 200
		})
		m.gone.Store(false)
	}
}

// Two sidecars find each other. One is killed; the other declares it dead, counts only itself and goes on serving.
func TestFleetOfTwo(t *testing.T) {
	c := newTestFleet(t, 2).start()
	c.ready(c.all...)
	stop := c.serveAll()
	t.Logf("all agree after %v", c.awaitAgreement(c.all...))
	c.awaitRanks(c.all...)
	c.all[1].kill()
	t.Logf("considered dead after %v", c.awaitAgreement(c.all[0]))
	s, _ := c.all[0].status()
	assert.Equal(t, "dead", states(s)["m01"])
	c.all[1].start()
	c.ready(c.all...)
	t.Logf("a member again after %v", c.awaitAgreement(c.all...))
	s, _ = c.all[0].status()
	assert.Len(t, s.Members, 2, "with its state it is the same sidecar")
	stop()
}
