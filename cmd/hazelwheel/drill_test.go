package main

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const drillSecret = " a secret\twith \x01 odd bytes "

// withFaults sets a features file with some drills.
func (w *testSidecar) withFaults(drills string) *testSidecar {
	w.features = fmt.Sprintf(`{"drills":[%s],"drills.secret_sha256":"%x"}`, drills, sha256.Sum256([]byte(drillSecret)))
	return w
}

// run runs a command of the program and returns its exit code and everything that it prints.
func run(t *testing.T, args ...string) (code int, text string) {
	out, err := program(args...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	if exit != nil {
		code = exit.ExitCode()
	}
	return code, string(out)
}

// writeFile writes a file into the test's own folder and returns its path.
func (w *testSidecar) writeFile(name, text string) string {
	path := filepath.Join(w.TempDir(), name)
	require.NoError(w, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (w *testSidecar) controlFault(name, secret string) (int, string) {
	return run(w.T, "drill", "start", "--config", w.path, "--name", name, "--secret-file", w.writeFile("secret", secret))
}

// faultHits returns how many requests the first drill has affected.
func (w *testSidecar) faultHits() float64 {
	return w.counters()["hazelwheel_drill_hits"].([]any)[0].(map[string]any)["hits"].(float64)
}

// About a tenth of 1000 requests is delayed, and the log names each of them. The bounds are over six standard deviations from the mean:
// a correct program exceeds them less than once in 100 million runs.
func TestDrillDelaysItsShare(t *testing.T) {
	s := newServer(t, "s-00000001", says(200, ""))
	w := newTestSidecar(t, s).withFaults(`{"name":"lag1","class":"read","share":10,"delay_ms":400}`).start()
	for range 20 {
		assert.Equal(t, 200, w.ask("read", "", "").status)
	}
	assert.Zero(t, w.faultHits(), "a drill runs only once it is started")
	code, text := w.controlFault("lag1", drillSecret+"\n")
	require.Zero(t, code, text)

	var mu sync.Mutex
	var all sync.WaitGroup
	took, slow := map[string]time.Duration{}, 0
	for range 20 {
		all.Go(func() {
			for range 50 {
				r := w.request("read", "", "")
				p := w.send(r)
				assert.NoError(t, p.err)
				assert.Equal(t, 200, p.status)
				mu.Lock()
				took[r.Header.Get("Request-Id")] = p.took
				mu.Unlock()
			}
		})
	}
	all.Wait()
	w.awaitLog("drill=lag1 request_id=", int(w.faultHits()))
	log := w.log.String()
	for id, d := range took {
		if strings.Contains(log, "drill=lag1 request_id="+id+"\n") {
			slow++
			assert.GreaterOrEqual(t, d, 400*time.Millisecond)
		}
	}
	assert.InDelta(t, 100, slow, 60)
	assert.EqualValues(t, slow, w.faultHits())
	assert.NotContains(t, log, "secret\\twith")
	for range 5 {
		assert.Equal(t, 200, w.ask("write", "", "").status, "other classes are not affected")
	}
	assert.EqualValues(t, slow, w.faultHits())
}

// Without the secret no drill can be started, the reply doesn't tell whether the drill exists, and the sidecar logs the attempt.
func TestDrillIsRefused(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "s-00000001", says(200, ""))).withFaults(`{"name":"a","class":"read","share":100,"abort":"503"}`).start()
	for _, c := range []struct {
		name, secret, says string
	}{{"a", "wrong", "wrong secret"}, {"a", drillSecret + "\n\n", "wrong secret"}, {"b", "wrong", "wrong secret"},
		{"b", drillSecret, "no such drill"}, {"../counters", drillSecret, "404"}} {
		code, text := w.controlFault(c.name, c.secret)
		assert.Equal(t, 2, code, text)
		assert.Contains(t, text, c.says)
		assert.Equal(t, 1, strings.Count(text, "\n"), text)
	}
	w.awaitLog(`msg="drill refused" error="wrong secret"`, 3)
	assert.Equal(t, 200, w.ask("read", "", "").status)

	code, text := w.controlFault("a", drillSecret)
	require.Zero(t, code, text)
	p := w.ask("read", "", "")
	assert.Equal(t, 503, p.status)
	assert.NotEmpty(t, p.header.Get("Retry-After"))
	assert.EqualValues(t, 1, w.counter("throttled"))
	assert.EqualValues(t, 1, w.faultHits())

	w.signal(syscall.SIGTERM)
	w.eventually("the end", func() bool {
		c, err := net.Dial("tcp", w.listen)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	code, text = w.controlFault("a", drillSecret)
	assert.Equal(t, 1, code, text)
}

// Without a secret's hash the endpoint does not exist, whatever drills the file defines.
func TestNoDrillWithoutHash(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "s-00000001", says(200, "")))
	w.features = `{"drills":[{"name":"a","class":"read","share":100,"abort":"503"}]}`
	w.start()
	for _, path := range []string{"drills/a", "nothing"} {
		status, _, _ := w.writeRaw("POST /" + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		assert.Equal(t, 404, status)
	}
	code, text := w.controlFault("a", "")
	assert.Equal(t, 2, code, text)
	assert.Equal(t, 200, w.ask("read", "", "").status)
}

// A delayed request counts as open: its id is in use, its client may disconnect, the sidecar waits for its response before it exits, and
// the policy keeps part of its time for the send.
func TestDelayedRequestsAreOpen(t *testing.T) {
	s := newServer(t, "s-00000001", says(200, ""))
	w := newTestSidecar(t, s).withFaults(`{"name":"a","class":"read","share":100,"delay_ms":60000},
		{"name":"b","class":"write","share":100,"delay_ms":600}`)
	read := w.settings["classes"].([]map[string]any)[0]
	read["objectiveS"] = 0.5 // the remaining time must suffice for a send
	read["giveUpS"] = 60
	w.start()
	for _, name := range []string{"a", "b"} {
		code, text := w.controlFault(name, drillSecret)
		require.Zero(t, code, text)
	}
	c, err := net.Dial("tcp", w.listen)
	require.NoError(t, err)
	fmt.Fprintf(c, "GET /read HTTP/1.1\r\nHost: h\r\nRequest-Id: gone\r\n\r\n")
	w.eventually("a request is delayed", func() bool { return w.counter("open") == 1 })
	assert.Equal(t, 409, w.ask("read", "", "", "Request-Id", "gone").status)
	c.Close()
	w.eventually("the client has disconnected", func() bool { return w.counter("abandoned") == 1 && w.counter("open") == 0 })

	// A fifth of the time is left for the send, here 3 s of real time. With the 0.3 s that 1.5 s leave, a server or sidecar that stalls
	// on a busy machine would make the request miss its deadline, which is not a fault of the program.
	cut := w.ask("read", "", "", "Request-Timeout", "15000m")
	assert.Equal(t, 200, cut.status, "the delay is cut to leave time for the send: %s after %v", cut.body, cut.took)
	assert.GreaterOrEqual(t, cut.took, 12*time.Second)
	assert.Less(t, cut.took, 15*time.Second)

	last := w.askAsync("write", "", "")
	w.eventually("another request is delayed", func() bool { return w.counter("open") == 1 })
	w.signal(syscall.SIGTERM)
	assert.Equal(t, 200, (<-last).status)
	require.NoError(t, w.cmd.Wait())
	assert.Equal(t, 2, s.requestCount(), "the abandoned request was never sent")
}

// A read that is delayed beyond its objective is slow, not rejected: it must not be treated as a client's later retry, for which the
// objective has already passed.
func TestDelayBeyondTheAim(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "s-00000001", says(200, ""))).withFaults(`{"name":"a","class":"read","share":100,"delay_ms":900}`)
	w.settings["classes"].([]map[string]any)[0]["objectiveS"] = 0.6
	w.start()
	for range 5 { // the policy learns how long clients wait
		w.ask("read", "", "")
	}
	code, text := w.controlFault("a", drillSecret)
	require.Zero(t, code, text)
	p := w.ask("read", "", "")
	assert.Equal(t, 200, p.status)
	assert.GreaterOrEqual(t, p.took, 900*time.Millisecond)
}

// An invalid features file ends the program at startup with one line that names the field.
func TestInvalidFeatures(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "s-00000001", says(200, "")))
	path := w.writeFile("features.json", `{"drills":[{"name":"a","class":"read","shares":1}]}`)
	for _, command := range []string{"serve", "check"} {
		code, text := run(t, command, "--config", w.writeConfig(), "--features", path)
		assert.Equal(t, 2, code)
		assert.True(t, strings.HasSuffix("\n"+text, "\nhazelwheel: features: drills[0].shares: unknown field\n"), text)
		assert.Equal(t, command == "check", strings.Contains(text, "HW011"), "serve prints only the error that ends it, check prints all findings")
	}
	path = w.writeFile("features.json", `{"drills":[{"name":"a","class":"read"}],"rewrites.forwarded":true,"health.port":9000,"capture":{}}`)
	code, text := run(t, "check", "--config", w.writeConfig(), "--features", path)
	assert.Zero(t, code, text)
	assert.Contains(t, text, "features: rewrites (0 rules), health (port 9000), capture (524288 bytes in 4 segments)\n",
		"drills without a secret are off")
}
