package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// newCapturingSidecar returns a sidecar with a capture and three servers, two of which fail at times.
func newCapturingSidecar(t *testing.T, settings string) *testSidecar {
	var n atomic.Int64
	odd := func(w http.ResponseWriter, r *http.Request) {
		switch i := n.Add(1); {
		case i%7 == 0:
			says(503, "", "Not-Started", "1")(w, r)
		case i%11 == 0:
			breaks("")(w, r)
		case i%13 == 0:
			says(500, "")(w, r)
		default:
			says(200, "ok", "Server-Load", "queue=2")(w, r)
		}
	}
	servers := []*server{newServer(t, "s-00000001", says(200, "")), newServer(t, "s-00000002", odd), newServer(t, "s-5be2a07c", odd)}
	w := newTestSidecar(t, servers...)
	w.setLimit("probes", true)
	w.settings["report"] = map[string]any{"how": "on_probe", "fields": []string{"pending", "cpu_share"}}
	w.discovery.answers <- list(line(t, 8, true, servers...))
	w.features = `{"capture":{` + settings + `}}`
	return w
}

// load sends a number of requests, several at a time.
func (w *testSidecar) load(requests int) {
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for i := range requests / 8 {
				w.send(w.request([]string{"read", "write", "alert"}[i%3], "/7", "x"))
			}
		})
	}
	all.Wait()
}

// dump has the capture written to the log and returns the log from there on.
func (w *testSidecar) dump() string {
	before := strings.Count(w.log.String(), `"k":"end"}`)
	w.signal(syscall.SIGUSR1)
	w.awaitLog(`"k":"end"}`, before+1)
	text := w.log.String()
	return text[strings.LastIndex(text, `"k":"dump"}`)-len(`{"t":1234567890123,`):]
}

func (w *testSidecar) replay(text string) (int, string) {
	return run(w.T, "capture", "replay", "--in", w.writeFile("capture.log", text))
}

var summary = regexp.MustCompile(`(\d+) events replayed, (\d+) decisions compared, (\d+) differ; (\d+) lines truncated, (\d+) lines not compared`)

// comparedDecisions returns how many decisions a replay compared.
func comparedDecisions(t *testing.T, text string) int {
	m := summary.FindStringSubmatch(text)
	require.NotNil(t, m, text)
	n, err := strconv.Atoi(m[2])
	require.NoError(t, err)
	return n
}

// A capture of a running sidecar replays without differences, also after the ring buffer has dropped its oldest records. A decision that
// was tampered with is reported.
func TestCaptureReplays(t *testing.T) {
	w := newCapturingSidecar(t, `"max_bytes":131072`).start()
	w.load(80)
	first := w.dump()
	assert.Contains(t, first, `"k":"start"`)
	w.load(1600)
	dump := w.dump()
	assert.NotContains(t, dump, `"k":"start"`, "the ring buffer has dropped its oldest records")
	assert.Regexp(t, `\{"t":\d{13},"k":"dec","id":"[0-9a-f]{16}","class":"(read|write|alert)","to":"s-(0000000\d|5be2a07c)"`, dump)
	stats := w.counters()["capture"].(map[string]any)
	assert.Greater(t, stats["segments"], 4.0)
	assert.Zero(t, stats["lost"].(float64)+stats["no_checkpoint"].(float64))
	t.Logf("a checkpoint blocked the event loop for at most %v us", stats["checkpoint_max_us"])

	for _, text := range []string{first, dump, w.log.String()} { // the complete log holds two dumps
		code, output := w.replay(text)
		assert.Zero(t, code, output)
		assert.Greater(t, comparedDecisions(t, output), 40)
		assert.Contains(t, output, " 0 differ; 0 lines truncated, 0 lines not compared")
	}
	lines := strings.SplitAfter(dump, "\n")
	at := 0
	for !strings.Contains(lines[at], `"do":"send"`) {
		at++
	}
	lines[at] = regexp.MustCompile(`"to":"[^"]*"(.*)"host":\d+`).ReplaceAllString(lines[at], `"to":"s-0000000f"$1"host":15`)
	code, output := w.replay(strings.Join(lines, ""))
	assert.Equal(t, 1, code, output)
	assert.Contains(t, output, fmt.Sprintf("line %d: recorded %s", at+1, lines[at]))
	assert.Contains(t, output, fmt.Sprintf("line %d: replayed {", at+1))
	assert.Contains(t, output, " 1 differ;")
	code, output = w.replay(dump[:strings.LastIndex(dump[:len(dump)/2], "\n")+20])
	assert.Zero(t, code, output)
	assert.Contains(t, output, " 0 differ; 1 lines truncated")
	for _, text := range []string{"", "time=x level=INFO msg=nothing\n"} {
		code, output = w.replay(text)
		assert.Equal(t, 2, code, output)
	}
	code, output = run(t, "capture", "replay", "--in", filepath.Join(t.TempDir(), "none"))
	assert.Equal(t, 2, code, output)
}

// SIGUSR1 is handled while the program still reads its configuration and while it drains, and a dump that has begun is written
// completely.
func TestDumpAtAnyTime(t *testing.T) {
	let := make(chan struct{})
	w := newTestSidecar(t, newServer(t, "s-00000001", func(http.ResponseWriter, *http.Request) { <-let }))
	raw, err := os.ReadFile(w.writeConfig())
	require.NoError(t, err)
	require.NoError(t, os.Remove(w.path))
	require.NoError(t, unix.Mkfifo(w.path, 0o600))
	w.cmd = program("serve", "--config", w.path, "--features", w.writeFile("features.json", `{"capture":{}}`))
	w.cmd.Stderr, w.cmd.Stdout = &w.log, &w.out
	require.NoError(t, w.cmd.Start())
	t.Cleanup(func() { _ = w.cmd.Process.Kill() })
	f, err := os.OpenFile(w.path, os.O_WRONLY, 0) // returns once the program opens the file for reading
	require.NoError(t, err)
	w.signal(syscall.SIGUSR1)
	_, err = f.Write(raw)
	require.NoError(t, err)
	require.NoError(t, f.Close())
	w.awaitLog(`"k":"end"}`, 1)

	last := w.askAsync("write", "", "")
	w.eventually("a request is in flight", func() bool { return w.counter("executions") == 1 })
	w.signal(syscall.SIGTERM)
	w.awaitLog("msg=ending", 1)
	assert.Contains(t, w.dump(), `"do":"send"`)
	close(let)
	assert.Equal(t, 200, (<-last).status)
	assert.NoError(t, w.cmd.Wait())
}

// A dump that nobody reads delays neither requests, nor log lines, nor the shutdown.
func TestUnreadDump(t *testing.T) {
	t.Run("pipe", func(t *testing.T) {
		r, stderr, err := os.Pipe()
		require.NoError(t, err)
		dumpUnread(t, r, stderr)
	})
	t.Run("socket", func(t *testing.T) {
		fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		require.NoError(t, err)
		dumpUnread(t, os.NewFile(uintptr(fds[0]), "reader"), os.NewFile(uintptr(fds[1]), "log"))
	})
}

func dumpUnread(t *testing.T, r, stderr *os.File) {
	defer r.Close()
	defer stderr.Close()
	w := newCapturingSidecar(t, "")
	w.cmd = program("serve", "--config", w.writeConfig(), "--features", w.writeFile("features.json", w.features))
	w.cmd.Stderr, w.cmd.Stdout = stderr, &w.out
	require.NoError(t, w.cmd.Start())
	t.Cleanup(func() { _ = w.cmd.Process.Kill() })
	w.eventually("ready", func() bool {
		resp, err := outside.Get("http://" + w.listen + "/ready")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	})
	w.load(400)
	w.signal(syscall.SIGUSR1)
	w.eventually("the dump is blocked", func() bool {
		unread, err := unix.IoctlGetInt(int(r.Fd()), unix.TIOCINQ)
		return err == nil && unread > 16<<10
	})
	for range 20 { // each reload logs a line
		before := w.counter("reloads")
		w.signal(syscall.SIGHUP)
		w.eventually("a reload", func() bool { return w.counter("reloads") > before })
	}
	w.signal(syscall.SIGTERM)
	assert.NoError(t, w.cmd.Wait())
}

// Without a features file SIGUSR1 is ignored.
func TestNoCapture(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "s-00000001", says(200, ""))).start()
	w.signal(syscall.SIGUSR1)
	for range 20 {
		assert.Equal(t, 200, w.ask("read", "", "").status)
	}
	assert.NotContains(t, w.log.String(), `{"t":`)
	assert.NotContains(t, w.counters(), "capture")
	assert.NotContains(t, w.counters(), "hazelwheel_drill_hits")
}

// With a folder configured, segments are written there while the sidecar serves, up to the last line at shutdown.
func TestCaptureFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "capture")
	w := newCapturingSidecar(t, `"max_bytes":131072,"dir":"`+dir+`"`).start()
	w.load(800)
	w.signal(syscall.SIGTERM)
	require.NoError(t, w.cmd.Wait())
	names, err := filepath.Glob(filepath.Join(dir, "capture-*.jsonl"))
	require.NoError(t, err)
	assert.NotEmpty(t, names)
	assert.LessOrEqual(t, len(names), 4)
	for _, name := range names {
		code, output := run(t, "capture", "replay", "--in", name)
		assert.Zero(t, code, output)
		assert.Contains(t, output, " 0 differ; 0 lines truncated, 0 lines not compared")
	}
	assert.Contains(t, w.out.String(), `"disk_errors":0`)
}
