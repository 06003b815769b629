package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/coordination"
	"hazelwheel/internal/decide/maintenance"
)

// fakeAdminEndpoint sends replies to command lines from a list, whose last it repeats; for an empty reply it closes the connection
// without one.
type fakeAdminEndpoint struct {
	mu       sync.Mutex
	replies  []string
	received []string
	address  string
}

func newFakeAdminEndpoint(t *testing.T, replies ...string) *fakeAdminEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	d := &fakeAdminEndpoint{replies: replies, address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, err := bufio.NewReader(c).ReadString('\n')
			if err == nil {
				d.mu.Lock()
				d.received = append(d.received, strings.TrimSpace(line))
				reply := d.replies[0]
				if len(d.replies) > 1 {
					d.replies = d.replies[1:]
				}
				d.mu.Unlock()
				io.WriteString(c, reply)
			}
			c.Close()
		}
	}()
	return d
}

// commands returns the commands that the endpoint has received.
func (d *fakeAdminEndpoint) commands(t *testing.T) (all []maintenance.Command) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, line := range d.received {
		var c maintenance.Command
		require.NoError(t, json.Unmarshal([]byte(strings.TrimPrefix(line, "WORK ")), &c), line)
		all = append(all, c)
	}
	return all
}

// Checks what each command submits to the admin endpoint, what it prints, and its exit status.
func TestMaintenanceCommandLines(t *testing.T) {
	t.Parallel()
	c := &testFleet{T: t}
	plan := filepath.Join(t.TempDir(), "plan.toml")
	require.NoError(t, os.WriteFile(plan, []byte("name = 'n'\nboxes = ['s-00000001']\ntakes = '1s'\nat_once = 1\nkeep = 0.5\n"), 0o600))
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("name = 'n'\nboxes = ['s-00000001']\ntakes = '1s'\nat_once = 0\nkeep = 0.5\n"), 0o600))
	token := uint64(3<<40 | 57)
	for _, k := range []struct {
		args      string
		reply     string
		submitted maintenance.Command
		code      int
		out       string
	}{
		{"plan " + plan, `{"plan":4,"text":"1 box"}`, maintenance.Command{Kind: maintenance.SubmitPlan, Spec: &maintenance.Spec{Name: "n", Servers: []string{"s-00000001"}, WorkSeconds: 1, MaxConcurrent: 1, MinCapacity: 0.5}}, 0,
			"OK plan: plan 4: 1 box\n"},
		{"plan " + bad, "", maintenance.Command{}, 2, "hazelwheel: work plan: " + bad + ":4:1: at_once: 0 is not 1 to 250\n"},
		{"check " + bad, "", maintenance.Command{}, 2, "hazelwheel: " + bad + ":4:1: at_once: 0 is not 1 to 250\n"},
		{"check " + plan, "", maintenance.Command{}, 0, "n: boxes s-00000001; 1s each, 1 at once, 0.5 of the capacity stays\n"},
		{"plan", "", maintenance.Command{}, 2, "hazelwheel: work plan: want FILE\n"},
		{"pause", `{"plan":4}`, maintenance.Command{Kind: maintenance.PausePlan}, 0, "OK pause: plan 4\n"},
		{"resume 4", `{"plan":4}`, maintenance.Command{Kind: maintenance.ResumePlan, Plan: 4}, 0, "OK resume: plan 4\n"},
		{"abort x", "", maintenance.Command{}, 2, "hazelwheel: work abort: \"x\" is not the number of a plan\n"},
		{"skip s-1", `{"error":"it is taken"}`, maintenance.Command{Kind: maintenance.SkipServer, Server: "s-1"}, 1, "hazelwheel: the sidecar says: it is taken\n"},
		{"force --by bob s-1", `{"plan":1,"box":"s-1"}`, maintenance.Command{Kind: maintenance.ForceDrained, Server: "s-1", Agent: "bob"}, 0, "OK force: plan 1: s-1\n"},
		{"next anna", `{"box":"s-1","token":3298534883385}`, maintenance.Command{Kind: maintenance.AcquireServer, Agent: "anna"}, 0, "s-1 3.57\n"},
		{"next anna", `{"text":"all is done"}`, maintenance.Command{Kind: maintenance.AcquireServer, Agent: "anna"}, 0, "- all is done\n"},
		{"done s-1 3.57", `{"box":"s-1"}`, maintenance.Command{Kind: maintenance.CompleteServer, Server: "s-1", Token: token}, 0, "OK done: s-1\n"},
		{"done s-1 3298534883385", `{"box":"s-1"}`, maintenance.Command{Kind: maintenance.CompleteServer, Server: "s-1", Token: token}, 0, "OK done: s-1\n"},
		{"done s-1 3.x", "", maintenance.Command{}, 2, "hazelwheel: work done: \"3.x\" is not a token like 1.57\n"},
		{"failed s-1 3.57 no-disk", `{}`, maintenance.Command{Kind: maintenance.FailServer, Server: "s-1", Token: token, Reason: "no-disk"}, 0, "OK failed: s-1\n"},
	} {
		d := newFakeAdminEndpoint(t, k.reply+"\n")
		args := append([]string{"fleet", "work"}, strings.Fields(k.args)...)
		if !strings.HasPrefix(k.args, "check") {
			args = append(args, "--ops", d.address)
		}
		out, code := c.command(args...)
		assert.Equal(t, k.code, code, k.args)
		assert.Equal(t, k.out, out, k.args)
		submitted := d.commands(t)
		if k.submitted.Kind == "" {
			assert.Empty(t, submitted, k.args)
			continue
		}
		require.Len(t, submitted, 1, k.args)
		assert.NotZero(t, submitted[0].Nonce)
		k.submitted.Nonce = submitted[0].Nonce
		assert.Equal(t, k.submitted, submitted[0], k.args)
	}
}

// A command that is not committed yet is submitted again with its nonce, also after a lost reply. After the timeout the error names the
// nonce to repeat it with. A rejection, or an endpoint that was never reached, ends the command at once.
func TestMaintenanceCommandIsRetriedUntilCommitted(t *testing.T) {
	t.Parallel()
	c := &testFleet{T: t}
	d := newFakeAdminEndpoint(t, "WAIT\n", "", "ERR the event loop is late: it will be done, ask again for a yes\n", "WAIT\n", `{"plan":1}`+"\n")
	out, code := c.command("fleet", "work", "pause", "--nonce", "77", "--ops", d.address)
	assert.Equal(t, "OK pause: plan 1\n", out)
	assert.Zero(t, code)
	submitted := d.commands(t)
	assert.Len(t, submitted, 5)
	for _, s := range submitted {
		assert.Equal(t, uint64(77), s.Nonce)
	}
	d = newFakeAdminEndpoint(t, "ERR no\n")
	out, code = c.command("fleet", "work", "pause", "--ops", d.address)
	assert.Equal(t, "hazelwheel: the sidecar says: no\n", out)
	assert.Equal(t, 1, code)
	assert.Len(t, d.commands(t), 1)
	out, code = c.command("fleet", "work", "pause", "--ops", freeAddress(t))
	assert.Contains(t, out, "can't be reached")
	assert.Equal(t, 1, code)
	d = newFakeAdminEndpoint(t, "WAIT\n")
	out, code = c.command("fleet", "work", "pause", "--nonce", "78", "--ops", d.address)
	assert.Equal(t, "hazelwheel: it is not known whether it was done (nobody has settled it within 10s); the same again with --nonce 78 is done once\n", out)
	assert.Equal(t, 1, code)
	assert.Greater(t, len(d.commands(t)), 10)
}

func TestMaintenanceStatusTable(t *testing.T) {
	t.Parallel()
	c := &testFleet{T: t}
	raw, err := json.Marshal(coordination.MaintenanceStatus{Version: 17, Holder: "m01", AgeSeconds: 0.3, Reinstated: []string{"s-2"},
		Plans: []maintenance.Plan{{Number: 1, Spec: maintenance.Spec{Name: "firmware"}, AgeSeconds: 90, PausedBy: "anna", Servers: []maintenance.Server{
			{Name: "s-1", Site: "site-a", Stage: maintenance.Draining, SinceVersion: 17},
			{Name: "s-2", Site: "site-a", Stage: maintenance.InMaintenance, SinceVersion: 16, Token: 1<<40 | 16, Agent: "bob", Overdue: true, ForcedPast: []string{"m04"}},
			{Name: "s-3", Site: "site-b", Stage: maintenance.Done, SinceVersion: 9},
			{Name: "s-4", Site: "site-b", Stage: maintenance.Lost, SinceVersion: 8, Reason: "no disk"},
			{Name: "s-5", Site: "site-b"}}}},
		Blockers: []maintenance.Blocker{{Plan: 1, Server: "s-1", Reason: "not said to be empty", Members: []string{"m02", "m03"}}, {Plan: 1, Reason: "a box is cold"}}})
	require.NoError(t, err)
	d := newFakeAdminEndpoint(t, string(raw)+"\n")
	out, code := c.command("fleet", "work", "status", "--ops", d.address)
	assert.Zero(t, code)
	assert.Equal(t, `PLAN  BOX  SITE    STAGE    SINCE  MECHANIC  TOKEN  WAITS FOR
1     s-1  site-a  leaving  17                      not said to be empty: m02 m03
1     s-2  site-a  taken    16     bob       1.16   it is late; forced past m04
1     s-3  site-b  done     9                       
1     s-4  site-b  lost     8                       no disk
1     s-5  site-b  waiting                          
plan 1, firmware: 1 of 5 done, 1 lost, 1m30s old, paused by anna; a box is cold
version 17 is agreed; m01 settles the order, 0.3 s ago
given back here by hand: s-2
`, out)
	out, code = c.command("fleet", "work", "status", "--json", "--ops", d.address)
	assert.Zero(t, code)
	assert.Equal(t, string(raw)+"\n", out)
}
