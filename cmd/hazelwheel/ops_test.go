package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// withAdminEndpoint configures an admin endpoint.
func (w *testSidecar) withAdminEndpoint() *testSidecar {
	w.adminAddress = freeAddress(w.T)
	w.env = append(w.env, "GW_OPS="+w.adminAddress)
	return w
}

// call sends text to an admin endpoint and returns the complete reply. It fails the test where there is none.
func call(t *testing.T, address, text string) string {
	answer, err := callOnce(address, text)
	require.NoError(t, err, text)
	return answer
}

// callOnce is like call, but returns an error where there is no reply.
func callOnce(address, text string) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(c)
	return string(answer), err
}

func (w *testSidecar) callAdmin(line string) string { return call(w.T, w.adminAddress, line+"\n") }

// figure returns one of the metrics, or -1 if it does not exist.
func (w *testSidecar) figure(name string) (n int) {
	n = -1
	for line := range strings.Lines(w.callAdmin("DUMP")) {
		if text, ok := strings.CutPrefix(line, "gw_"+name+" "); ok {
			fmt.Sscan(text, &n)
		}
	}
	return n
}

func (w *testSidecar) awaitFigure(name string, want int) {
	w.Helper()
	w.eventually(fmt.Sprint(name, " ", want), func() bool { return w.figure(name) == want })
}

// An invalid command gets a one-line reason, and idle connections to the admin endpoint cost others nothing.
func TestAdminCommands(t *testing.T) {
	w := newTestSidecar(t, newServer(t, "s-00000001", says(200, ""))).withAdminEndpoint().start()
	w.eventually("health", func() bool { return strings.HasPrefix(w.callAdmin("HEALTH"), "OK") })
	var silent []net.Conn
	for i := range 40 { // more connections than are accepted
		c, err := net.Dial("tcp", w.adminAddress)
		require.NoError(t, err)
		defer c.Close()
		io.WriteString(c, strings.Repeat("x", (i+1)%2))
		silent = append(silent, c)
	}
	for _, c := range [][2]string{
		{"HEALTH\r\n", "OK serving\n"},
		{"health\nand what comes behind", "OK serving\n"},
		{"OFFLINE s-00000001\n", "OK s-00000001 is left out\n"},
		{"ONLINE s-00000001\r\n", "OK s-00000001 may serve\n"},
		{"ONLINE  s-00000001 \n", "OK s-00000001 may serve\n"},
		{"OFFLINE s-00000002\n", "ERR no such server is listed\n"},
		{"ONLINE s-00000002\n", "ERR no such server is listed\n"},
		{"OFFLINE\n", "ERR OFFLINE needs a server's id\n"},
		{"OFFLINE a b\n", "ERR OFFLINE takes nothing after \"a\"\n"},
		{"HEALTH now\n", "ERR HEALTH takes nothing after \"HEALTH\"\n"},
		{"\n", "ERR an empty line\n"},
		{"REBOOT\n", "ERR unknown call \"REBOOT\"\n"},
		{strings.Repeat("x", 600), "ERR the line is longer than 512 bytes\n"},
		{"WORK " + strings.Repeat("x", 40000), "ERR the line is longer than 32768 bytes\n"},
		{"\x00\xff\n", "ERR unknown call \"\\x00\\xff\"\n"},
		{"JOIN\n", "OK serving\n"},
		{"HEALTH\n" + strings.Repeat("x", 40_000), "OK serving\n"},
	} {
		assert.Equal(t, c[1], call(t, w.adminAddress, c[0]), "%.40q", c[0])
	}
	assert.Equal(t, 200, w.ask("read", "", "").status)
	_ = silent[39].SetReadDeadline(time.Now().Add(patience))
	fmt.Fprint(silent[39], "HEALTH\n") // the newest connection has not been evicted
	answer, err := io.ReadAll(silent[39])
	require.NoError(t, err)
	assert.Equal(t, "OK serving\n", string(answer))
	half, err := net.Dial("tcp", w.adminAddress)
	require.NoError(t, err)
	defer half.Close()
	io.WriteString(half, "HEAL")
	require.NoError(t, half.(*net.TCPConn).CloseWrite())
	answer, err = io.ReadAll(half)
	require.NoError(t, err)
	assert.Equal(t, "ERR the line has no end\n", string(answer))
}

// The metrics count what crossed the wire, by class, and /counters agrees with them.
func TestMetrics(t *testing.T) {
	s := newServer(t, "s-00000001", says(200, ""))
	w := newTestSidecar(t, s, newServer(t, "s-00000002", says(200, ""))).withAdminEndpoint().start()
	w.eventually("figures", func() bool { return strings.HasSuffix(w.callAdmin("DUMP"), "\nEND\n") })
	dump := w.callAdmin("DUMP")
	for _, class := range []string{"read", "alert", "write"} {
		for _, how := range []string{"completed", "rejected", "failed"} {
			assert.Contains(t, dump, fmt.Sprintf("gw_%s{lane=%q} 0\n", how, class), "present from the start")
		}
	}
	assert.Equal(t, 2, w.figure("members"))
	require.Contains(t, w.callAdmin("OFFLINE s-00000002"), "OK")
	for range 3 {
		assert.Equal(t, 200, w.ask("read", "", "").status)
	}
	s.set(says(500, ""))
	assert.Equal(t, 502, w.ask("write", "", "").status)
	s.set(says(503, "", "Not-Started", "1"))
	assert.Equal(t, 503, w.ask("write", "", "", "Request-Timeout", "300m").status)
	assert.Equal(t, 400, w.ask("alert", "", "", "Request-Timeout", "soon").status)
	attempts := s.requestCount()
	w.awaitFigure(`completed{lane="read"}`, 3)
	w.awaitFigure(`failed{lane="write"}`, 1)
	w.awaitFigure(`rejected{lane="write"}`, 1)
	w.awaitFigure(`failed{lane="alert"}`, 1)
	w.awaitFigure("upstream_requests", attempts)
	w.awaitFigure("pending", 0)
	w.awaitFigure("members_unavailable", 1)
	for name, want := range map[string]float64{"requests": 6, "served": 3, "failed": 2, "throttled": 1, "written": float64(attempts)} {
		assert.Equal(t, want, w.counter(name), name)
	}
	release := make(chan struct{})
	s.set(func(http.ResponseWriter, *http.Request) { <-release })
	reply := w.askAsync("read", "", "")
	w.awaitFigure("pending", 1)
	w.awaitFigure("upstream_requests", attempts+1)
	close(release)
	<-reply
}

// A server that is banned by an operator gets no requests, whatever discovery says, until the ban is lifted.
func TestBans(t *testing.T) {
	first, second := newServer(t, "s-00000001", says(200, "1")), newServer(t, "s-00000002", says(200, "2"))
	w := newTestSidecar(t, first, second).withAdminEndpoint()
	lists := make(chan string, 9)
	w.discovery.answers <- func(d watch) {
		for {
			select {
			case text := <-lists:
				d.write(text)
			case <-d.done:
				return
			}
		}
	}
	w.start()
	n := 0.0
	sendList := func(text string) {
		lists <- text
		n++
		w.eventually("the list", func() bool { return w.counter("lists") == n })
	}
	only := func(body string) {
		t.Helper()
		for range 20 {
			assert.Equal(t, body, w.ask("read", "", "").body)
		}
	}
	sendList(line(t, 8, true, first, second))
	require.Contains(t, w.callAdmin("OFFLINE s-00000002"), "OK")
	only("1")
	require.Contains(t, w.callAdmin("OFFLINE s-00000002"), "OK") // repeating the command has no effect
	sendList(line(t, 9, false, second))
	only("1")
	second.status = "DELETED"
	sendList(line(t, 10, false, second))
	only("1")
	second.status, second.sinceMS = "SERVING", time.Now().UnixMilli()
	sendList(line(t, 11, false, second))
	only("1")
	sendList(line(t, 12, true, first))
	sendList(line(t, 13, true, first, second))
	only("1")
	w.awaitFigure("members_unavailable", 1)
	require.Contains(t, w.callAdmin("OFFLINE s-00000001"), "OK")
	assert.Equal(t, 503, w.ask("write", "", "", "Request-Timeout", "300m").status, "all servers are banned: nothing has run")
	require.Contains(t, w.callAdmin("ONLINE s-00000002"), "OK")
	w.eventually("the server is used again", func() bool { return w.ask("read", "", "").body == "2" })
	only("2")
}

// A ban while the watch is down does not keep the sidecar from reopening the watch.
func TestBanWhileUnwatched(t *testing.T) {
	first, second := newServer(t, "s-00000001", says(200, "1")), newServer(t, "s-00000002", says(200, "2"))
	w := newTestSidecar(t, first, second).withAdminEndpoint()
	w.start()
	<-w.discovery.calls
	w.discovery.CloseClientConnections()
	w.eventually("the watch is down", func() bool { return w.counter("list_failed") >= 1 })
	require.Contains(t, w.callAdmin("OFFLINE s-00000001"), "OK")
	first.status = "DELETED"
	for range 2 { // the call that was cut off may still consume one of the scripted answers
		w.discovery.answers <- list(line(t, 9, false, first))
	}
	<-w.discovery.calls
	w.eventually("the list", func() bool { return w.counter("lists") == 1 })
	require.Contains(t, w.callAdmin("ONLINE s-00000001"), "OK")
	assert.Equal(t, "2", w.ask("read", "", "").body)
}

// After a drain command the sidecar is not ready, closes connections without losing a request, and goes on serving those that come;
// another command ends the drain.
func TestDrainByHand(t *testing.T) {
	s := newServer(t, "s-00000001", says(200, "x"))
	w := newTestSidecar(t, s).withAdminEndpoint().start()
	ready := func() int {
		r, err := outside.Get("http://" + w.listen + "/ready")
		require.NoError(t, err)
		defer r.Body.Close()
		return r.StatusCode
	}
	_, idle, _ := w.writeRaw("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	require.Equal(t, "OK draining\n", w.callAdmin("LEAVE"))
	assert.Equal(t, 503, ready())
	require.Equal(t, "OK draining\n", w.callAdmin("LEAVE"))
	p := w.ask("read", "", "")
	assert.Equal(t, 200, p.status)
	assert.True(t, p.last, "each response closes its connection")
	_, err := bufio.NewReader(idle).ReadByte()
	assert.ErrorIs(t, err, io.EOF, "an idle connection is closed")
	assert.Contains(t, w.callAdmin("HEALTH"), "OK")
	require.Equal(t, "OK serving\n", w.callAdmin("JOIN"))
	assert.Equal(t, 200, ready())
	assert.False(t, w.ask("read", "", "").last)
	release := make(chan struct{})
	s.set(func(http.ResponseWriter, *http.Request) { <-release })
	open := w.askAsync("read", "", "")
	w.awaitFigure("pending", 1)
	w.signal(syscall.SIGTERM)
	w.eventually("a process that shuts down does not end its drain", func() bool { return w.callAdmin("JOIN") == "ERR this process has been told to end\n" })
	w.eventually("no health", func() bool { return strings.HasPrefix(w.callAdmin("HEALTH"), "ERR") })
	close(release)
	<-open
}

// An admin address that can't be used leads to one line and exit status 2.
func TestAdminAddressErrors(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	w := newTestSidecar(t)
	for ops, want := range map[string]string{"nowhere": `ops: "nowhere" is not an address and port`,
		w.listen: "ops: " + w.listen + " is where clients connect (listen)", taken.Addr().String(): "ops: listen tcp "} {
		cmd := program("serve", "--config", w.writeConfig())
		cmd.Env = append(cmd.Env, "GW_OPS="+ops)
		out, err := cmd.CombinedOutput()
		assert.Error(t, err)
		assert.Contains(t, string(out), want)
	}
}
