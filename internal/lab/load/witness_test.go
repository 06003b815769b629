package load

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// quiet is how long a server that never answers is waited for.
const quiet = 400 * time.Millisecond

// A server that breaks a rule that a client can judge is found to, and one that does as it may is not.
func TestJudges(t *testing.T) {
	shut := func(net.Conn, int, int) bool { return false }
	silent := func(net.Conn, int, int) bool { return true }
	for _, c := range []struct {
		name   string
		answer func(net.Conn, int, int) bool
		why    string // of the findings; empty: there is none
		slack  time.Duration
		calm   bool
	}{
		{"answers", answers(ok), "", quiet, false},
		{"answers in pieces behind a 100", func(c net.Conn, _, _ int) bool {
			for _, b := range []byte("HTTP/1.1 100 Continue\r\n\r\n" + ok) {
				if _, err := c.Write([]byte{b}); err != nil {
					return false
				}
			}
			return true
		}, "", quiet, false},
		{"refuses", answers("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"), "", quiet, false},
		{"fails in chunks", answers("HTTP/1.1 500 x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), "", quiet, false},
		{"closes behind its answer", func(c net.Conn, _, _ int) bool {
			c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
			return false
		}, "", quiet, false},
		{"closes a link that has served once", func(c net.Conn, _, request int) bool {
			return request != 3 && answers(ok)(c, 0, 0)
		}, "", quiet, false},
		{"closes each link that has served once", func(c net.Conn, _, request int) bool {
			return request == 0 && answers(ok)(c, 0, 0)
		}, "", quiet, false},
		{"answers within the slack", func(c net.Conn, _, _ int) bool {
			time.Sleep(300 * time.Millisecond) // the client gives up after 200 ms
			return answers(ok)(c, 0, 0)
		}, "", 10 * time.Second, false},
		{"answers twice at once", answers(ok + ok), "a second answer, of status 200", quiet, false},
		{"answers twice", func(c net.Conn, _, request int) bool {
			if request == 3 { // until then nobody asks: the link is free
				defer time.Sleep(quiet)
			}
			if answers(ok)(c, 0, 0); request == 3 {
				time.Sleep(50 * time.Millisecond)
				answers("HTTP/1.1 502 x\r\nContent-Length: 0\r\n\r\n")(c, 0, 0)
			}
			return true
		}, "a second answer, of status 502", quiet, false},
		{"adds bytes", answers(ok + "!"), "bytes on a connection on which nothing was asked", quiet, false},
		{"never answers", silent, "no answer when its time was over", 100 * time.Millisecond, false},
		{"answers in part", func(c net.Conn, _, _ int) bool { return answers(ok[:20])(c, 0, 0) },
			"no answer when its time was over", 100 * time.Millisecond, false},
		{"closes on a first request, in calm", shut, "its connection was closed without an answer", quiet, true},
		{"closes on a first request", shut, "", quiet, false},
		{"closes a link that has served, and the next one", func(c net.Conn, conn, request int) bool {
			return conn == 0 && request < 3 && answers(ok)(c, 0, 0)
		}, "its connection was closed without an answer", quiet, false},
		{"closes without an answer after a while", func(net.Conn, int, int) bool { time.Sleep(50 * time.Millisecond); return false },
			"its connection was closed without an answer", quiet, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := plan(scripted(t, c.answer))
			p.Patience, p.Slack, p.Calm = 200*time.Millisecond, c.slack, c.calm
			if c.slack == quiet { // a machine that is busy is not to look like a server that is late
				p.Patience = 10 * time.Second
			}
			if c.name == "answers twice" {
				p.Links, p.Stages = 1, []Stage{{100, 100, 40 * time.Millisecond}, {0, 0, 2 * time.Second}}
			}
			r, err := Run(context.Background(), p)
			require.NoError(t, err)
			require.True(t, r.Judged)
			assert.Equal(t, c.why == "", r.Kept(), "%+v", r.Findings)
			var out bytes.Buffer
			r.Print(&out, false)
			if c.why == "" {
				assert.Contains(t, out.String(), "no rule was broken")
				return
			}
			assert.Contains(t, out.String(), c.why)
			for _, f := range r.Findings {
				assert.Equal(t, "one-answer", f.Rule)
				assert.Equal(t, c.why, f.Why)
			}
			p.Slack = 0
			r, err = Run(context.Background(), p)
			require.NoError(t, err)
			assert.False(t, r.Judged)
			assert.True(t, r.Kept(), "nothing is judged")
		})
	}
}

// Bytes on a connection on which nobody has asked yet are found.
func TestJudgesGreeting(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Write([]byte("220 ready\r\n"))
			defer c.Close()
		}
	}()
	p := plan(l.Addr().String())
	p.Links, p.Stages, p.Slack, p.Patience = 1, []Stage{{0, 0, 200 * time.Millisecond}, {10, 10, 100 * time.Millisecond}}, quiet, quiet
	r, err := Run(context.Background(), p)
	require.NoError(t, err)
	require.False(t, r.Kept())
	assert.True(t, strings.HasPrefix(r.Findings[0].Why, "bytes on a connection"), r.Findings[0].Why)
}

// A server that breaks a rule each time can't fill the memory; what is not looked at is counted. Of several servers it is
// told which one it was.
func TestJudgesWithinBounds(t *testing.T) {
	good, bad := scripted(t, answers(ok)), scripted(t, answers(ok+ok))
	p := plan("")
	p.Links, p.Stages, p.Slack, p.Patience = 16, []Stage{{10000, 10000, time.Second}}, time.Second, 10*time.Second
	r, err := RunAll(context.Background(), p, []string{good, bad})
	require.NoError(t, err)
	require.NotEmpty(t, r.Findings)
	for _, f := range r.Findings {
		require.Equal(t, 1, f.Sidecar)
	}
	assert.Equal(t, int64(mostTales), r.Breaks)
	assert.InDelta(t, 5000-mostTales, r.Unjudged, 20)
}
