package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
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

	"hazelwheel/internal/lab/load"
)

// scratch is the folder of files that the tests share.
var scratch string

// TestMain runs the program in place of the tests where the environment asks for it: the tests start this binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv("RUN_HAZELLAB") != "" {
		main()
		return
	}
	_ = os.Setenv("RUN_HAZELLAB", "1") // for the children and their children
	var err error
	if scratch, err = os.MkdirTemp("", "hazellab"); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(scratch)
	os.Exit(code)
}

// program is a running command of the laboratory.
type program struct {
	*exec.Cmd
	out, err output
}

// output collects what a program writes. It may be read while the program runs.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func start(t *testing.T, args ...string) *program {
	return startWith(t, nil, args...)
}

// startWith starts a command with additions to its environment.
func startWith(t *testing.T, env []string, args ...string) *program {
	p := &program{Cmd: exec.Command(os.Args[0], args...)}
	p.Env = append(os.Environ(), env...)
	p.Stdout, p.Stderr = &p.out, &p.err
	require.NoError(t, p.Start())
	t.Cleanup(func() { _ = p.Process.Kill(); _ = p.Wait() })
	return p
}

// runToEnd runs a command and returns its exit code, standard output and standard error.
func runToEnd(t *testing.T, args ...string) (code int, out, log string) {
	p := start(t, args...)
	_ = p.Wait()
	return p.ProcessState.ExitCode(), p.out.String(), p.err.String()
}

// A load generator that is stopped for half a second counts the requests that were due meanwhile, with their waiting time.
func TestStalledLoadCountsWaitingTime(t *testing.T) {
	t.Parallel()
	const stall = 500 * time.Millisecond
	begun := make(chan struct{}, 1)
	box := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
		select {
		case begun <- struct{}{}:
		default: // it was the first one alone that is waited for
		}
	}))
	defer box.Close()
	p := start(t, "load", "--target", box.Listener.Addr().String(), "--rate", "200", "--for", "1500ms", "--links", "4", "--json", "-")
	// Danger: on a busy machine a stall that is timed from the start of the process may be over before the first request is due.
	select {
	case <-begun:
	case <-time.After(patience):
		t.Fatal("no request came")
	}
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, p.Process.Signal(syscall.SIGSTOP))
	time.Sleep(stall)
	require.NoError(t, p.Process.Signal(syscall.SIGCONT))
	require.NoError(t, p.Wait())
	var r load.Result
	require.NoError(t, json.Unmarshal([]byte(p.out.String()), &r))
	assert.InDelta(t, 300, r.Offered, 2)
	assert.Equal(t, r.Offered, r.Served)
	assert.Greater(t, r.Max, 0.9*float64(stall/time.Millisecond))
	// A third of all requests were due within the stall and waited for half of it on average.
	assert.Greater(t, r.P90, 0.5*float64(stall/time.Millisecond))
	assert.Less(t, r.P50, 0.5*float64(stall/time.Millisecond))
}

// A server that violates an invariant makes load end with 1 and print the violation; without slack nothing is checked.
func TestLoadFailsOnViolation(t *testing.T) {
	t.Parallel()
	twice := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		_, _ = conn.Write([]byte(answer + answer)) // the client may have closed the connection
	}))
	defer twice.Close()
	ask := []string{"load", "--target", twice.Listener.Addr().String(), "--rate", "50", "--for", "200ms", "--links", "2"}
	code, out, log := runToEnd(t, ask...)
	assert.Equal(t, 1, code, log)
	assert.Contains(t, out, "one-answer: a second answer, of status 200")
	assert.Equal(t, "hazellab: a rule was broken\n", log)

	code, out, log = runToEnd(t, append(ask, "--json", "-")...)
	assert.Equal(t, 1, code, log)
	var r load.Result
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	assert.True(t, r.Judged)
	assert.NotEmpty(t, r.Findings)
	assert.EqualValues(t, len(r.Findings), r.Breaks)

	code, out, log = runToEnd(t, append(ask, "--slack", "0")...)
	assert.Equal(t, 0, code, log)
	assert.NotContains(t, out, "judged")
}

// An invalid flag is reported in one line that names it, with exit code 2.
func TestInvalidFlagsAreUsageErrors(t *testing.T) {
	for _, c := range []struct{ args, says string }{
		{"load --rate=-5", "rate"},
		{"load --rate ten", "rate"},
		{"load --rate 10:5", "rate"},
		{"load --class reading", "class"},
		{"load --class reading:safe=0", "class"},
		{"load --from nowhere", "from"},
		{"load --links 0", "links"},
		{"load --slack -1s", "slack"},
		{"flood --kind biblical", "kind"},
		{"flood --from 10.0.0.1", "from"},
		{"flood --links 30000", "links"},
		{"standin --boxes 0", "boxes"},
		{"standin --base 10.0.0.1", "base"},
		{"proxy --kind best", "kind"},
		{"proxy --kind fasthttp --retries 1", "retries"},
		{"pressure --binary /nowhere", "/nowhere"},
		{"pressure --binary /dev/null --cores 1,2", "cores"},
	} {
		t.Run(c.args, func(t *testing.T) {
			t.Parallel()
			code, _, log := runToEnd(t, strings.Fields(c.args)...)
			assert.Equal(t, 2, code, log)
			assert.Equal(t, 1, strings.Count(log, "\n"), log)
			assert.Contains(t, log, c.says)
		})
	}
}

// A port in use is reported and ends the command with 1.
func TestTakenPortFailsCommand(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	code, _, log := runToEnd(t, "standin", "--discovery", l.Addr().String(), "--port", "9337", "--base", "127.77.0.1")
	assert.Equal(t, 1, code)
	assert.Contains(t, log, "address already in use")
}

// A fault in a plan or in the flags that go with it is reported in one line with exit code 2.
func TestInvalidPlanIsUsageError(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "plan.toml")
	require.NoError(t, os.WriteFile(file, []byte("name = 'n'\nsites = ['*']\ntakes = '1s'\nat_once = 0\nkeep = 0.5\n"), 0o600))
	for want, args := range map[string][]string{
		file + ":4:1: at_once: 0 is not 1 to 250": {"fleet", "--plan", file},
		"hand: there is no plan":                  {"fleet", "--hand"},
		"ops: there are no addresses":             {"mechanic", "--ops", ",", "--name", "anna"},
		"takes: -1s is less than nothing":         {"mechanic", "--ops", "127.0.0.1:1", "--name", "anna", "--takes", "-1s"},
		"load: 3 is not 0 to 2":                   {"fleet", "--load", "3"},
	} {
		code, _, log := runToEnd(t, args...)
		assert.Equal(t, 2, code, args)
		assert.Equal(t, "hazellab: "+want+"\n", log)
	}
}
