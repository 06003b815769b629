package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/lab/process"
)

// The tests run this test binary again as the program, and act as its client, its servers and its discovery service.
func TestMain(m *testing.M) {
	if os.Getenv("RUN_HAZELWHEEL") != "" {
		stopAfterLeaseCheck(os.Getenv("STAND_STILL_AT"))
		stopAtStep(os.Getenv("STOP_AT_STEP"))
		main()
		return
	}
	flag.Parse()
	limitParallelTests(testsAtOnce)
	os.Exit(m.Run())
}

// testsAtOnce is how many tests run in parallel, whatever the number of cores. Danger: many of them are fleets of five to nine processes
// each, and all depend on real time; with more at once they starve each other.
const testsAtOnce = 6

// limitParallelTests lowers the number of tests that run in parallel.
func limitParallelTests(most int) {
	atOnce := flag.Lookup("test.parallel")
	if n, err := strconv.Atoi(atOnce.Value.String()); err != nil || n > most {
		if err := atOnce.Value.Set(strconv.Itoa(most)); err != nil {
			panic(err) // can't fail: the testing package's flag takes any number from 1 on
		}
	}
}

const patience = 20 * time.Second // time limit for what must happen; no test relies on this running out

// outside is a client that does not keep connections open.
var outside = http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}

// testSidecar is a process of the program, with fakes of everything that it talks to.
type testSidecar struct {
	*testing.T
	listen       string
	adminAddress string // of its admin endpoint; empty: it has none
	thrift       string // address of its Thrift port; empty: it has none
	discovery    *discovery
	settings     map[string]any
	limits       map[string]any
	known        []endpoint
	path         string   // path of the configuration
	features     string   // content of the features file; empty: no file is given
	env          []string // environment of the program
	cmd          *exec.Cmd
	log          syncBuffer
	out          bytes.Buffer
	client       http.Client
}

type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// newTestSidecar returns a sidecar that is not started, with its servers on the endpoint list.
func newTestSidecar(t *testing.T, servers ...*server) *testSidecar {
	t.Parallel()
	w := &testSidecar{T: t, discovery: newDiscovery(t), listen: freeAddress(t), limits: map[string]any{"cores": 1}}
	w.settings = map[string]any{
		"classes": []map[string]any{
			{"name": "read", "effect": "free", "objectiveS": 5, "giveUpS": 10, "importance": 1},
			{"name": "alert", "effect": "guarded", "dedupScope": "zone", "windowS": 10, "objectiveS": 5, "giveUpS": 10},
			{"name": "write", "effect": "single_shot", "objectiveS": 5, "giveUpS": 10, "importance": 1}},
		"dcs": []string{"a"}, "discovery": "on_request", "replicasOfMe": 1, "roundS": 0.005,
		"limits": map[string]any{"cancel": true, "probes": false, "sendCap": 3, "maxRetryAfterS": 1.5,
			"connIdleS": 60, "connectTimeoutS": 5},
		"obligations": map[string]any{"answerSlackS": 0.02, "askWithinS": 10, "drainGraceS": 0.75},
		"report":      map[string]any{"how": "off"},
	}
	for _, s := range servers {
		w.known = append(w.known, s.endpoint())
	}
	w.client.Timeout = patience
	w.client.Transport = &http.Transport{}
	if way := way(t); way != "http" {
		w.thrift = freeAddress(t)
		w.client.Transport = &thriftTransport{way: way, address: w.thrift, idle: make(chan net.Conn, 100)}
		w.features = "{" + thriftFeatures(w.thrift) + "}"
	}
	t.Cleanup(w.client.CloseIdleConnections)
	return w
}

// syncBuffer can be read while the program writes to it.
type syncBuffer struct {
	mu   sync.Mutex
	text []byte
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text = append(b.text, p...)
	return len(p), nil
}

func (b *syncBuffer) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text = nil
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.text)
}

// freeAddress returns an address whose port is not in the range of outgoing connections.
func freeAddress(t *testing.T) string {
	port, err := process.FreePort("127.0.0.1")
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func (w *testSidecar) setLimit(name string, v any) { w.settings["limits"].(map[string]any)[name] = v }

func (w *testSidecar) writeConfig() string {
	raw, err := json.Marshal(map[string]any{"name": "n0", "listen": w.listen, "discovery": w.discovery.address(),
		"seed": "8c1f30d27a5be964", "limits": w.limits, "settings": w.settings,
		"known": map[string]any{"index": 7, "snapshot": true, "endpoints": w.known}})
	require.NoError(w, err)
	if w.path == "" {
		w.path = filepath.Join(w.TempDir(), "config.json")
	}
	require.NoError(w, os.WriteFile(w.path, raw, 0o600))
	return w.path
}

func program(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "RUN_HAZELWHEEL=1", "GORACE=atexit_sleep_ms=0")
	return cmd
}

// start runs the program until it is ready. A program that still runs when the test ends is killed.
func (w *testSidecar) start() *testSidecar {
	args := []string{"serve", "--verbose", "--config", w.writeConfig()}
	if w.features != "" {
		args = append(args, "--features", w.writeFile("features.json", w.features))
	}
	return w.launch(args...)
}

// launch is like start, with the arguments of the caller.
func (w *testSidecar) launch(args ...string) *testSidecar {
	begin := func() {
		w.cmd = program(args...)
		w.cmd.Stderr, w.cmd.Stdout = &w.log, &w.out
		w.cmd.Env = append(w.cmd.Env, w.env...)
		require.NoError(w, w.cmd.Start())
	}
	begin()
	w.Cleanup(func() {
		_ = w.cmd.Process.Kill()
		_ = w.cmd.Wait()
		assert.NotContains(w, w.log.String(), "DATA RACE") // under -race the program is instrumented too
		if w.Failed() {
			w.Log(w.log.String())
		}
	})
	w.eventually("ready", func() bool {
		if strings.Contains(w.log.String(), "address already in use") && w.path != "" { // another test took the address first
			_ = w.cmd.Wait()
			w.log.forget()
			w.listen = freeAddress(w.T)
			w.writeConfig()
			begin()
		}
		r, err := outside.Get("http://" + w.listen + "/ready")
		if err != nil {
			return false
		}
		defer r.Body.Close()
		return r.StatusCode == 200
	})
	return w
}

// eventually polls until a condition holds.
func (w *testSidecar) eventually(what string, f func() bool) {
	w.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(5 * time.Millisecond) {
		require.True(w, time.Now().Before(end), what)
	}
}

// awaitLog waits until the program's log contains a text a number of times. Danger: the log arrives through its own pipe, so a line may
// not have arrived yet when a response already shows its effect.
func (w *testSidecar) awaitLog(text string, times int) {
	w.Helper()
	w.eventually(text, func() bool { return strings.Count(w.log.String(), text) == times })
}

func (w *testSidecar) signal(s syscall.Signal) { require.NoError(w, w.cmd.Process.Signal(s)) }

// counters fetches all counters of the program.
func (w *testSidecar) counters() map[string]any {
	r, err := outside.Get("http://" + w.listen + "/counters")
	require.NoError(w, err)
	defer r.Body.Close()
	var all map[string]any
	require.NoError(w, json.NewDecoder(r.Body).Decode(&all))
	return all
}

func (w *testSidecar) counter(name string) float64 { return w.counters()[name].(float64) }

func (w *testSidecar) countOfOutcome(kind, outcome string) float64 {
	return w.counters()[kind].(map[string]any)[outcome].(float64)
}

var lastID struct {
	sync.Mutex
	n int
}

// request returns a request of a class with all header fields that the class requires.
func (w *testSidecar) request(class, path, body string, header ...string) *http.Request {
	method := "POST"
	if class == "read" {
		method = "GET"
	}
	r, err := http.NewRequest(method, "http://"+w.listen+"/"+class+path, strings.NewReader(body))
	require.NoError(w, err)
	lastID.Lock()
	lastID.n++
	r.Header.Set("Request-Id", fmt.Sprintf("%016x", lastID.n))
	lastID.Unlock()
	r.Header.Set("Request-Timeout", "8000m")
	if class == "alert" {
		r.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59")
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

type reply struct {
	status int
	body   string
	header http.Header
	last   bool // its connection is closed after it
	took   time.Duration
	err    error
}

func (w *testSidecar) send(r *http.Request) reply {
	began := time.Now()
	resp, err := w.client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(body), resp.Header, resp.Close, time.Since(began), err}
}

// ask sends a request of a class.
func (w *testSidecar) ask(class, path, body string, header ...string) reply {
	w.Helper()
	p := w.send(w.request(class, path, body, header...))
	require.NoError(w, p.err)
	return p
}

// askAsync is like ask, but runs in the background.
func (w *testSidecar) askAsync(class, path, body string, header ...string) <-chan reply {
	c, r := make(chan reply, 1), w.request(class, path, body, header...)
	go func() { c <- w.send(r) }()
	return c
}

// server is a server whose responses a test scripts.
type server struct {
	*httptest.Server
	name     string
	status   string
	sinceMS  int64
	mu       sync.Mutex
	answer   http.HandlerFunc // handles the next requests
	requests []string         // the bodies of complete requests
	opened   int              // connections
	closed   int
}

func newServer(t *testing.T, name string, answer http.HandlerFunc) *server {
	s := &server{name: name, status: "SERVING", answer: answer}
	s.Server = httptest.NewUnstartedServer(s)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.opened++
		case http.StateClosed, http.StateHijacked:
			s.closed++
		}
	}
	s.Listener = sniff(s)
	s.Start()
	t.Cleanup(s.CloseClientConnections)
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.requests = append(s.requests, string(body))
	answer := s.answer
	s.mu.Unlock()
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer(w, r)
}

func (s *server) set(answer http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *server) counts() (requests, opened, closed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests), s.opened, s.closed
}

func (s *server) requestCount() int { n, _, _ := s.counts(); return n }

func (s *server) endpoint() endpoint {
	return endpoint{s.name, s.Listener.Addr().String(), "a", s.status, 1, s.sinceMS}
}

func says(status int, body string, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// hangs sends no response for as long as the connection lasts.
func hangs(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// breaks closes the connection after some bytes.
func breaks(bytes string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := w.(http.Hijacker).Hijack()
		io.WriteString(c, bytes)
		c.Close()
	}
}

// discovery is a discovery service that writes what a test scripts to its watches.
type discovery struct {
	*httptest.Server
	calls   chan string      // the query of each call
	answers chan func(watch) // one for each call; further calls are handled by rest
	rest    func(watch)
}

type watch struct {
	http.ResponseWriter
	since string // the version from which changes are requested; empty: none
	done  <-chan struct{}
}

// write sends some bytes at once.
func (w watch) write(text string) {
	io.WriteString(w, text)
	w.ResponseWriter.(http.Flusher).Flush()
}

func newDiscovery(t *testing.T) *discovery {
	d := &discovery{calls: make(chan string, 100), answers: make(chan func(watch), 100)}
	d.rest = d.serveScripted
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls <- r.URL.String()
		call := watch{w, r.URL.Query().Get("since"), r.Context().Done()}
		select {
		case f := <-d.answers:
			f(call)
		default:
			d.rest(call)
		}
	}))
	t.Cleanup(d.CloseClientConnections)
	return d
}

// serveScripted handles a call once the test has a script for it.
func (d *discovery) serveScripted(w watch) {
	select {
	case f := <-d.answers:
		f(w)
	case <-w.done:
	}
}

// sendVersionOnce sends a version to each call that doesn't have one yet, once ready is closed. Danger: a watch that hears nothing for 3 s is
// closed and reopened; a version that is sent to one call only is lost where the test takes longer on a busy machine.
func (d *discovery) sendVersionOnce(version int, ready <-chan struct{}, list func() string) {
	d.rest = func(w watch) {
		select {
		case <-ready:
		case <-w.done:
			return
		}
		if w.since != strconv.Itoa(version) {
			w.write(list())
		}
		<-w.done
	}
}

func (d *discovery) address() string { return d.Listener.Addr().String() }

// line is one discovery object.
func line(t *testing.T, index int, snapshot bool, servers ...*server) string {
	list := []endpoint{}
	for _, s := range servers {
		list = append(list, s.endpoint())
	}
	raw, err := json.Marshal(map[string]any{"index": index, "snapshot": snapshot, "endpoints": list})
	require.NoError(t, err)
	return string(raw) + "\n"
}

// writeRaw writes text to a connection of its own and returns the response's status and a reader for the rest.
func (w *testSidecar) writeRaw(text string) (status int, c net.Conn, r *bufio.Reader) {
	w.Helper()
	c, err := net.Dial("tcp", w.listen)
	require.NoError(w, err)
	w.Cleanup(func() { c.Close() })
	require.NoError(w, c.SetDeadline(time.Now().Add(patience)))
	go io.WriteString(c, text)
	r = bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(w, err)
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, c, r
}
