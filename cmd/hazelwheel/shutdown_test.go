package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request during which SIGTERM arrives, at any point, gets its complete response, is sent once and answered once, and its connection
// then closes in order. TestShutdown covers a request that waits for its response, and one on an idle connection.
func TestShutdownMeetsRequest(t *testing.T) {
	const half = 100 << 10
	large := strings.Repeat("a", half) + strings.Repeat("b", half)
	for _, c := range []struct {
		name          string
		class, body   string
		before        int // bytes of the request that are written before SIGTERM; 0: all
		unlisted      bool
		late          bool
		headOf, sound string // the response: what is written before SIGTERM, and the rest
	}{
		{name: "its first line is half read", class: "read", before: 8, sound: message(200, "sound")},
		{name: "its head is half read", class: "write", body: "body", before: 50, sound: message(200, "sound")},
		{name: "its body is half read", class: "write", body: strings.Repeat("x", half), before: half / 2, sound: message(200, "sound")},
		{name: "its long body is half read", class: "write", body: strings.Repeat("x", 30*half), before: 15 * half, sound: message(200, "sound")},
		{name: "no server is listed", class: "write", body: "body", unlisted: true, sound: message(200, "sound")},
		{name: "its connection is being established", class: "write", body: "body", late: true, sound: message(200, "sound")},
		{name: "its response has begun", class: "write", body: "body", headOf: message(200, "sound")[:30], sound: message(200, "sound")[30:]},
		{name: "its large response has begun", class: "read", headOf: message(200, large)[:half], sound: message(200, large)[half:]},
	} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			answers := func(conn *net.TCPConn, a attempt) bool {
				sends(c.headOf)(conn, a)
				return sendsWhen(release, c.sound)(conn, a)
			}
			var s *backend
			if c.late {
				s = newLateBackend(t, "s-00000001", answers)
			} else {
				s = newBackend(t, "s-00000001", answers)
			}
			w := newCrossing(t, func(w *testSidecar) {
				w.setClassField("objectiveS", 20)
				w.setClassField("giveUpS", 20)
				if c.unlisted {
					w.discovery.sendVersionOnce(8, release, func() string { return listOf(t, 8, s.endpoint()) })
				} else {
					w.known = append(w.known, s.endpoint())
				}
			})
			id := newID()
			all := text(c.class, id, 15*time.Second, c.body)
			before := len(all)
			if c.before > 0 {
				before = c.before
			}
			conn := w.dial(0)
			conn.send(all[:before])
			switch {
			case c.late:
				w.eventually("the dial", func() bool { return s.isIn(t, synSent) })
			case c.unlisted:
				w.eventually("the request is open", func() bool { return w.counter("open") == 1 })
			case c.before == 0:
				w.eventually("the attempt", func() bool { return len(s.of(id)) == 1 })
			}
			w.signal(syscall.SIGTERM)
			w.awaitLog("msg=ending", 1)
			conn.send(all[before:])
			if c.late {
				s.comeUp(t)
			}
			close(release)
			a, err := conn.answer()
			require.NoError(t, err)
			want := message(200, large)[strings.Index(message(200, large), "\r\n\r\n")+4:]
			if c.name != "its large response has begun" {
				want = "sound"
			}
			assert.Equal(t, 200, a.status)
			assert.Equal(t, hexDigest([]byte(want)), hexDigest([]byte(a.body)))
			assert.Equal(t, io.EOF, conn.end())
			w.awaitExit(time.Now())
			if assert.Len(t, s.of(id), 1) {
				assert.Equal(t, hexDigest([]byte(c.body)), hexDigest([]byte(s.of(id)[0].body)))
			}
		})
	}
}

// Of requests that were pipelined before SIGTERM, after it, or on both sides of it, each is answered or was never forwarded, and the
// connection closes in order after the last response. TestThriftEnds covers Thrift.
func TestShutdownMeetsPipelinedRequests(t *testing.T) {
	const before, after = 5, 5
	for _, c := range []struct {
		name string
		body int
	}{{"small", 10}, {"more than is read ahead", 3 << 10}} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			s := newBackend(t, "s-00000001", sendsWhen(release, message(200, "sound")))
			w := newCrossing(t, nil, s)
			var ids []string
			ask := func(n int) (all string) {
				for range n {
					ids = append(ids, newID())
					all += text("write", ids[len(ids)-1], 8*time.Second, strings.Repeat("x", c.body))
				}
				return all
			}
			conn := w.dial(0)
			conn.send(ask(before))
			w.eventually("the attempt", func() bool { return len(s.got()) == 1 })
			w.signal(syscall.SIGTERM)
			conn.send(ask(after))
			w.awaitLog("msg=ending", 1)
			close(release)
			answers := 0
			for {
				a, err := conn.answer()
				if err != nil {
					assert.Equal(t, io.EOF, err)
					break
				}
				answers++
				assert.Equal(t, 200, a.status)
				if a.last {
					assert.Equal(t, io.EOF, conn.end())
					break
				}
			}
			w.awaitExit(time.Now())
			assert.Positive(t, answers)
			for i, id := range ids {
				assert.Len(t, s.of(id), map[bool]int{true: 1, false: 0}[i < answers], "%d of %d answers", i, answers)
			}
		})
	}
}

// Clients keep sending on every connection as long as it stays open, even after a response with "Connection: close", and resend
// unanswered requests on a new one. Each request that reached a server is answered, and none reaches a server twice.
func TestShutdownMeetsBusyClients(t *testing.T) {
	const clients = 12
	s := newBackend(t, "s-00000001", func(c *net.TCPConn, a attempt) bool {
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond) // simulates the server's processing time
		return sends(message(200, a.id))(c, a)
	})
	w := newCrossing(t, nil, s)
	var mu sync.Mutex
	answered, unanswered, faults := map[string]bool{}, map[string]bool{}, []error{}
	note := func(id string, a received, err error) bool {
		mu.Lock()
		defer mu.Unlock()
		if err == nil && (a.status == 200 && a.body == id || a.status == 503) {
			answered[id] = true
			return true
		}
		unanswered[id] = true
		if err == nil || !errors.Is(err, io.EOF) {
			faults = append(faults, fmt.Errorf("%s: %d %w", id, a.status, err))
		}
		return false
	}
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for {
				c, err := net.Dial("tcp4", w.listen)
				if err != nil {
					return // the listener is closed
				}
				conn := &client{c.(*net.TCPConn), bufio.NewReader(c)}
				_ = c.SetDeadline(time.Now().Add(patience))
				for {
					id := newID()
					conn.send(text("write", id, 5*time.Second, "body"))
					a, err := conn.answer()
					if !note(id, a, err) {
						break
					}
				}
				c.Close()
			}
		})
	}
	w.eventually("clients send requests", func() bool { return len(s.got()) > 5*clients })
	w.signal(syscall.SIGTERM)
	took := w.awaitExit(time.Now())
	all.Wait()
	assert.Less(t, took, 10*time.Second)
	assert.Empty(t, faults)
	times := map[string]int{}
	for _, a := range s.got() {
		times[a.id]++
		assert.False(t, unanswered[a.id], "sent on and not answered: %s", a.id)
		assert.Equal(t, 1, times[a.id])
	}
	assert.Greater(t, len(answered), 5*clients)
}

// Idle clients send just before, just as and just after the sidecar closes their connection: each request is answered, or is never
// forwarded and its connection closes in order.
func TestShutdownMeetsRestingClients(t *testing.T) {
	const clients = 60
	s := newBackend(t, "s-00000001", sends(message(200, "sound")))
	w := newCrossing(t, nil, s)
	conns := make([]*client, clients)
	for i := range conns {
		conns[i] = w.dial(0)
		conns[i].send(text("read", newID(), 5*time.Second, ""))
		_, err := conns[i].answer()
		require.NoError(t, err)
	}
	signaledAt := time.Now()
	w.signal(syscall.SIGTERM)
	var all sync.WaitGroup
	for i, conn := range conns {
		all.Go(func() {
			if i%2 == 0 { // at a random time, about when connections are closed
				time.Sleep(time.Until(signaledAt.Add(650*time.Millisecond + time.Duration(i)*3*time.Millisecond)))
			} else { // as soon as it sees the close
				assert.Equal(t, io.EOF, conn.end())
			}
			id := newID()
			conn.send(text("write", id, 5*time.Second, "body"))
			a, err := conn.answer()
			if err == nil {
				assert.Equal(t, 200, a.status)
				assert.Equal(t, io.EOF, conn.end())
				assert.Len(t, s.of(id), 1)
				return
			}
			assert.ErrorIs(t, err, io.EOF, "no reset")
			assert.Empty(t, s.of(id))
		})
	}
	w.awaitExit(signaledAt)
	all.Wait()
}

// Clients connect and send while the program is stopped, right before it would stop listening: connections that the kernel has accepted
// by then are answered.
func TestShutdownMeetsNewClients(t *testing.T) {
	const clients = 60
	s := newBackend(t, "s-00000001", sends(message(200, "sound")))
	w := newCrossing(t, nil, s)
	signaledAt := time.Now()
	w.signal(syscall.SIGTERM)
	w.awaitLog("msg=ending", 1)
	time.Sleep(time.Until(signaledAt.Add(400 * time.Millisecond)))
	w.freeze()
	var ids []string
	var conns []*client
	for range clients {
		id, conn := newID(), w.dial(0)
		conn.send(text("write", id, 8*time.Second, "body"))
		ids, conns = append(ids, id), append(conns, conn)
	}
	time.Sleep(time.Until(signaledAt.Add(800 * time.Millisecond)))
	w.signal(syscall.SIGCONT)
	for i, conn := range conns {
		a, err := conn.answer()
		if assert.NoError(t, err, "client %d", i) {
			assert.Contains(t, []int{200, 503}, a.status)
			assert.Equal(t, io.EOF, conn.end())
			assert.Len(t, s.of(ids[i]), map[int]int{200: 1}[a.status])
		}
	}
	w.awaitExit(signaledAt)
}
