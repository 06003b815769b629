package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	quotaGroups = `{"limits": [{"measure": "requests", "window_s": 3600, "quota": 20}, {"measure": "bytes", "window_s": 60, "quota": 1e6}],
		"groups": [{"name": "city", "share": 50, "floor": 10}, {"name": "ministry", "share": 50}, {"name": "batch", "parent": "ministry", "share": 60},
		{"name": "desk", "parent": "ministry", "share": 40}]}`
	quotaFeature = `"identify": [{"header": "Organisation"}, {"addresses": "127.0.0.9", "group": "city"}, {"class": "write", "group": "desk"}],
		"default": "batch", "exempt": [], "floor": ["alert"]`
)

// withQuotas starts a program with quotas; more is added to their settings.
func withQuotas(t *testing.T, groups, more string, servers ...*server) (*testSidecar, string) {
	w := newTestSidecar(t, servers...)
	path := w.writeFile("quotas.json", groups)
	w.features = `{"quotas": {"file": "` + path + `", ` + quotaFeature + more + `}}`
	return w, path
}

func TestQuotasRefuseAtOnce(t *testing.T) {
	s := newServer(t, "s-00000001", says(200, "answer"))
	w, _ := withQuotas(t, quotaGroups, "", s)
	w.start()
	for range 6 { // the batch group's own share: 60 % of half of 20
		assert.Equal(t, 200, w.ask("read", "", "", "Organisation", "ministry.batch").status)
	}
	r := w.ask("read", "", "", "Organisation", "batch")
	for range 5 { // what its related groups have left over so far
		r = w.ask("read", "", "", "Organisation", "batch")
	}
	require.Equal(t, 429, r.status)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.Positive(t, after)
	assert.Contains(t, r.body, "ministry.batch")
	assert.False(t, r.last, "the connection stays open")
	got := s.requestCount()
	assert.Equal(t, 429, w.ask("read", "", "", "Organisation", "nobody-"+strings.Repeat("x", 200)).status, "an unknown name belongs to the default group")
	assert.Equal(t, got, s.requestCount(), "a rejected request reaches no server")
	assert.Equal(t, 200, w.ask("write", "", "x").status, "its class has another group")
	for range 8 {
		assert.Equal(t, 200, w.ask("read", "", "", "Organisation", "city").status, "and the city has its own")
	}
	assert.Equal(t, 429, w.ask("read", "", "", "Organisation", "city").status, "but for the floor")
	assert.Equal(t, 200, w.ask("alert", "", "x", "Organisation", "city").status, "which alerts may use")

	c := w.counters()
	q := c["quotas"].(map[string]any)
	assert.Equal(t, c["over_quota"], q["refused"])
	assert.Equal(t, "ministry.batch", q["most_refused"].([]any)[0].(map[string]any)["group"])

	out, err := program("quota", "show", "--config", w.path).CombinedOutput()
	require.NoError(t, err, string(out))
	assert.Regexp(t, `(?m)^\s+batch\s+requests/3600\s+6\s`, string(out))
	out, err = program("quota", "explain", "--config", w.path, "--group", "ministry.batch").CombinedOutput()
	require.NoError(t, err, string(out))
	assert.Contains(t, string(out), "ministry.batch: refused")
	assert.Contains(t, string(out), "by requests/3600: its own bucket held")
	out, err = program("quota", "explain", "--config", w.path, "--group", "nobody").CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(out), "404")
}

func TestAnswersBytesAreCharged(t *testing.T) {
	s := newServer(t, "s-00000001", says(200, strings.Repeat("x", 60<<10)))
	groups := `{"limits": [{"measure": "bytes", "window_s": 60, "quota": 50000}, {"measure": "open", "quota": 10}], "groups": [{"name": "batch", "share": 100}, {"name": "city"}, {"name": "desk"}]}`
	w, _ := withQuotas(t, groups, "", s)
	w.start()
	require.Equal(t, 200, w.ask("read", "", "").status)
	r := w.ask("read", "", "")
	require.Equal(t, 429, r.status, "the debt of the first counts")
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.InDelta(t, 60*(61440.0-50000+1000)/50000, after, 3)
	var view struct {
		Groups []struct {
			Path   string
			Limits []struct {
				Limit string
				Holds float64
			}
		}
	}
	out, err := program("quota", "show", "--json", "--config", w.path).Output()
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(out, &view))
	assert.Equal(t, "all", view.Groups[0].Path)
	assert.Equal(t, 0.0, view.Groups[0].Limits[1].Holds, "no request is open any more")
}

// Usage is restored after a restart, an unreadable file is set aside, and the program serves in each case.
func TestQuotasSurviveRestart(t *testing.T) {
	s := newServer(t, "s-00000001", says(200, "answer"))
	dir := filepath.Join(t.TempDir(), "state")
	w, _ := withQuotas(t, quotaGroups, `, "dir": "`+dir+`", "snapshot_s": 1`, s)
	w.start()
	use := func() (served int) {
		for range 30 {
			if w.ask("read", "", "", "Organisation", "city").status == 200 {
				served++
			}
		}
		return served
	}
	assert.Greater(t, use(), 7)
	w.eventually("a snapshot", func() bool { return w.counters()["quotas"].(map[string]any)["snapshots"].(float64) >= 2 })
	require.NoError(t, w.cmd.Process.Kill()) // killed, so it can't save at shutdown
	_ = w.cmd.Wait()
	w.start()
	assert.Zero(t, use(), "a crash does not refill a quota")
	w.signal(syscall.SIGTERM)
	_ = w.cmd.Wait()

	file := filepath.Join(dir, "quotas.snapshot")
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	raw[len(raw)/2] ^= 1
	require.NoError(t, os.WriteFile(file, raw, 0o600))
	w.start()
	w.awaitLog("the snapshot can't be used", 1)
	assert.FileExists(t, file+".set-aside")
	assert.Greater(t, use(), 7, "all groups start from scratch")
}

func TestQuotasAreReadAgain(t *testing.T) {
	s := newServer(t, "s-00000001", says(200, "answer"))
	w, path := withQuotas(t, quotaGroups, "", s)
	w.start()
	for range 30 {
		w.ask("read", "", "", "Organisation", "city")
	}
	require.Equal(t, 429, w.ask("read", "", "", "Organisation", "city").status)
	require.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(quotaGroups, `"name": "city", "share": 50`, `"name": "city", "share": 500`)), 0o600))
	w.signal(syscall.SIGHUP)
	w.awaitLog("the quotas stay as they were", 1)
	require.Equal(t, 429, w.ask("read", "", "", "Organisation", "city").status)
	require.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(quotaGroups, `"quota": 20`, `"quota": 2e7`)), 0o600))
	w.signal(syscall.SIGHUP)
	w.awaitLog("quotas read", 1)
	assert.Equal(t, 200, w.ask("read", "", "", "Organisation", "city").status, "at once")
}

// Each invalid file ends the program with 2 and one line that names the file and the place.
func TestQuotaFaults(t *testing.T) {
	dir := t.TempDir()
	w := newTestSidecar(t, newServer(t, "s-00000001", says(200, "")))
	config := w.writeConfig()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := file("good.json", quotaGroups)
	faults := map[string]string{}
	for text, want := range map[string]string{
		`{"limits": [{"measure": "requests", "window_s": 0, "quota": 1}], "groups": [{"name": "a"}]}`:                                              "limits[0].window_s",
		`{"limits": [{"measure": "beans", "window_s": 1, "quota": 1}], "groups": [{"name": "a"}]}`:                                                 "limits[0].measure",
		`{"limits": [{"measure": "requests", "window_s": 1, "quota": 1}], "groups": [{"name": "a", "parent": "b"}, {"name": "b", "parent": "a"}]}`: "a.b.a: it is below itself",
		`{"limits": [{"measure": "requests", "window_s": 1, "quota": 1}], "groups": [{"name": "a", "share": 60}, {"name": "b", "share": 60}]}`:     "all: its children's shares",
		`{"limits": [{"measure": "requests", "window_s": 1, "quota": 1}], "groups": [{"name": "a", "parent": "x"}]}`:                               "a: its parent",
		`{"limits": [{"measure": "requests", "window_s": 1, "quota": 1}], "groups": [{"name": "a"}, {"name": "a"}]}`:                               "a: another group",
		`{"limits": [{"measure": "requests", "window_s": 1, "quota": 1}], "groups": [{"name": "a", "share": 10, "floor": 20}]}`:                    "a: floor",
		"{\"limits\": [],\n \"groups\": [{\"nam\": \"a\"}]}":                                                                                       `unknown field "nam"`,
		"{\"limits\": [],\n \"groups\": 7}": "line 2",
		`{"limits": [{"measure": "requests", "window_s": 1, "quota": 1}], "groups": [{"name": "a"}]}`:                                                    `default: "batch" is no group`,
		`{"limits": [{"measure": "requests", "window_s": 1, "quota": 1}], "groups": [{"name": "batch"}, {"name": "x", "parent": "batch"}]}`:              `"batch" has groups below it`,
		`{"limits": [{"measure": "requests", "window_s": 1, "quota": 1}], "groups": [{"name": "batch"}]} {}`:                                             "more follows",
		`{"limits": [{"measure": "requests", "window_s": 1, "quota": 1}], "groups": [{"name": "batch"}, {"name": "city", "quotas": {"requests/1": 2}}]}`: "city: quotas: requests/1",
	} {
		path := file(strconv.Itoa(len(faults))+".json", text)
		faults[`{"quotas": {"file": "`+path+`", "default": "batch"}}`] = want
	}
	for text, want := range map[string]string{
		`{"quotas": {"default": "batch"}}`:                                                                               "quotas.file: missing",
		`{"quotas": {"file": "` + good + `"}}`:                                                                           "quotas.default: missing",
		`{"quotas": {"file": "/nowhere/x.json", "default": "batch"}}`:                                                    "/nowhere/x.json",
		`{"quotas": {"file": "` + good + `", "default": "batch", "identify": [{"header": "A", "class": "read"}]}}`:       "quotas.identify[0].header: want one of",
		`{"quotas": {"file": "` + good + `", "default": "batch", "identify": [{"addresses": "10.0.0.0/99"}]}}`:           "quotas.identify[0].addresses",
		`{"quotas": {"file": "` + good + `", "default": "batch", "identify": [{"class": "read"}]}}`:                      "quotas.identify[0].group: missing",
		`{"quotas": {"file": "` + good + `", "default": "batch", "identify": [{"class": "read", "group": "ministry"}]}}`: `quotas.identify[0].group: "ministry" has groups below it`,
		`{"quotas": {"file": "` + good + `", "default": "batch", "identify": [{"header": "A", "group": "city"}]}}`:       "quotas.identify[0].group: unknown field",
		`{"quotas": {"file": "` + good + `", "default": "batch", "exempt": ["nothing"]}}`:                                "quotas.exempt",
		`{"quotas": {"file": "` + good + `", "default": "batch", "stretch": 2}}`:                                         "quotas.stretch",
		`{"quotas": {"file": "` + good + `", "default": "batch", "other": 2}}`:                                           "quotas.other: unknown field",
		`{"quotas": 7}`: "quotas: not a JSON object",
	} {
		faults[text] = want
	}
	n := 0
	for text, want := range faults {
		n++
		cmd := program("check", "--config", config, "--features", file("features"+strconv.Itoa(n)+".json", text))
		var line strings.Builder // the other findings of the checks go to standard output
		cmd.Stderr = &line
		assert.Error(t, cmd.Run(), text)
		assert.Equal(t, 2, cmd.ProcessState.ExitCode(), text)
		assert.Contains(t, line.String(), want)
		assert.Equal(t, 1, strings.Count(line.String(), "\n"), line.String())
	}
	for text, want := range map[string]string{"at_s,group\n": "line 1: want the names", "at_s,group,rate_ps\n0,nobody,1\n": `line 2: group: "nobody"`,
		"at_s,group,rate_ps\n5,city,1\n4,city,1\n": "line 3: at_s: 4 comes after 5", "at_s,group,rate_ps\n5,city,x\n": `line 2: rate_ps: "x"`,
		"at_s,group,rate_ps\n0,city,1\n": "the last line's time is the end", "at_s,group,rate_ps\n1,2\n": "line 2:"} {
		cmd := program("quota", "simulate", "--quotas", good, "--load", file("load.csv", text))
		out, err := cmd.CombinedOutput()
		assert.Error(t, err, text)
		assert.Equal(t, 2, cmd.ProcessState.ExitCode(), text)
		assert.Contains(t, string(out), "load.csv: "+want)
	}
	picture := filepath.Join(dir, "x.svg")
	out, err := program("quota", "simulate", "--quotas", good, "--picture", picture, "--load",
		file("load.csv", "at_s,group,rate_ps,bytes,work_s\n0,city,0.001,10,0.1\n0,batch,0.02,10,0\n36000,city,0,0,0\n")).CombinedOutput()
	require.NoError(t, err, string(out))
	assert.Contains(t, string(out), "ministry.batch")
	drawn, err := os.ReadFile(picture)
	require.NoError(t, err)
	assert.Contains(t, string(drawn), "ministry.batch")
}
