package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const large = 32 << 20

// hexDigest returns the SHA-256 hash by which bodies are compared.
func hexDigest(b []byte) string { return fmt.Sprintf("%x", sha256.Sum256(b)) }

// newFlowServer returns a server that does not buffer bodies: it responds with the length and hash of the request's body, or with body,
// framed as the query's way says.
func newFlowServer(t *testing.T, body []byte) *server {
	s := newServer(t, "s-00000001", nil)
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		n, err := io.Copy(h, r.Body)
		if err != nil {
			return
		}
		switch r.URL.Query().Get("way") {
		case "length":
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			w.Write(body)
		case "chunks":
			for part := body; len(part) > 0; part = part[min(len(part), 1<<20):] {
				w.Write(part[:min(len(part), 1<<20)])
				w.(http.Flusher).Flush()
			}
		case "end":
			c, b, _ := w.(http.Hijacker).Hijack()
			b.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			b.Write(body)
			b.Flush()
			c.Close()
		default:
			fmt.Fprintf(w, "%d %x", n, h.Sum(nil))
		}
	})
	return s
}

// Requests and responses of 32 MB arrive intact, in every transfer encoding and many at a time, in a process whose memory could not hold
// two of them.
func TestLargeMessages(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef\n"), large/17)
	w := newTestSidecar(t, newFlowServer(t, body))
	w.limits["memory_mb"] = 64
	w.start()
	var all sync.WaitGroup
	for i := range 12 {
		all.Go(func() {
			switch way := []string{"length", "chunks", "end", "up", "up in chunks", "up"}[i%6]; way {
			case "length", "chunks", "end":
				p := w.send(w.request("read", "?way="+way, ""))
				require.NoError(t, p.err, way)
				assert.Equal(t, hexDigest(body), hexDigest([]byte(p.body)), way)
			default:
				r := w.request("write", "", "")
				r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
				if way == "up in chunks" {
					r.ContentLength = -1
				}
				p := w.send(r)
				require.NoError(t, p.err, way)
				assert.Equal(t, fmt.Sprint(len(body), " ", hexDigest(body)), p.body, way)
			}
		})
	}
	all.Wait()
	held := memoryMB(t, w.cmd.Process.Pid)
	assert.Less(t, held, memoryMost, "all messages together are 384 MB")
	t.Logf("%.0f MB resident at most", held)
	for name, want := range map[string]float64{"requests": 12, "served": 12, "executions": 12, "written": 12, "open": 0, "panics": 0} {
		assert.Equal(t, want, w.counter(name), name)
	}
}

// memoryMB returns the peak resident memory of a process.
func memoryMB(t *testing.T, pid int) float64 {
	status, err := readStatus(pid)
	require.NoError(t, err)
	var kb float64
	for line := range strings.Lines(status) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			fmt.Sscan(text, &kb)
		}
	}
	require.NotZero(t, kb)
	return kb / 1024
}

// A client that does not read delays only its own response, and gets all of it once it reads.
func TestSlowReaderOfALargeAnswer(t *testing.T) {
	body := bytes.Repeat([]byte("x"), large)
	w := newTestSidecar(t, newFlowServer(t, body)).start()
	c, err := net.Dial("tcp", w.listen)
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprint(c, "GET /read?way=length HTTP/1.1\r\nHost: h\r\nRequest-Id: slow\r\n\r\n")
	w.eventually("the answer has begun", func() bool { return w.countOfOutcome("execution_ends", "ok") == 1 })
	for range 100 {
		assert.Equal(t, 200, w.ask("read", "", "").status)
	}
	assert.EqualValues(t, 1, w.counter("open"), "the request is open until the last byte of its response")
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, r.Body)
	require.NoError(t, err)
	assert.EqualValues(t, large, n)
	w.eventually("all requests have ended", func() bool { return w.counter("open") == 0 && w.counter("served") == 101 })
}

// A response that breaks off after its start was passed on is recognizable as incomplete, counts as failed, and is not requested again.
func TestLargeAnswerBreaksOff(t *testing.T) {
	for _, head := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nF4240\r\n"} {
		t.Run(head[:7], func(t *testing.T) {
			s := newServer(t, "s-00000001", breaks("HTTP/1.1 200 OK\r\n"+head+strings.Repeat("x", 300_000)))
			w := newTestSidecar(t, s).start()
			p := w.send(w.request("read", "", ""))
			assert.ErrorIs(t, p.err, io.ErrUnexpectedEOF)
			assert.Equal(t, 1, s.requestCount())
			w.eventually("the request has failed", func() bool { return w.counter("failed") == 1 && w.counter("open") == 0 })
			assert.Zero(t, w.counter("served"))
		})
	}
}

// A client that disconnects in the middle of a response costs only the connection to the server.
func TestClientLeavesALargeAnswer(t *testing.T) {
	w := newTestSidecar(t, newFlowServer(t, bytes.Repeat([]byte("x"), large))).start()
	c, err := net.Dial("tcp", w.listen)
	require.NoError(t, err)
	fmt.Fprint(c, "GET /read?way=length HTTP/1.1\r\nHost: h\r\nRequest-Id: gone\r\n\r\n")
	_, err = io.CopyN(io.Discard, c, 1<<20)
	require.NoError(t, err)
	c.Close()
	w.eventually("the request is abandoned", func() bool { return w.counter("abandoned") == 1 && w.counter("open") == 0 })
	assert.Equal(t, 200, w.ask("read", "", "").status)
}

// A request whose body is no longer buffered is never sent a second time. Before its last byte the server has run nothing, so the
// request is rejected.
func TestPartlySentRequestIsNotResent(t *testing.T) {
	var heads, wholes atomic.Int32
	broken := newServer(t, "s-00000001", nil)
	broken.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		heads.Add(1)
		if n, err := io.CopyN(io.Discard, r.Body, 8<<20); err == nil && n == 8<<20 {
			wholes.Add(1)
		}
		c, _, _ := w.(http.Hijacker).Hijack()
		c.Close()
	})
	w := newTestSidecar(t, broken).start()
	for _, class := range []string{"write", "alert"} {
		heads.Store(0)
		r := w.request(class, "", "")
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, large))), large
		p := w.send(r)
		if p.err == nil { // else the client's own sending cut off the response
			assert.Equal(t, 503, p.status, class)
		}
		w.eventually("the request is rejected", func() bool { return w.counter("open") == 0 })
		assert.EqualValues(t, 1, heads.Load(), class)
	}
	assert.EqualValues(t, 2, w.counter("throttled"))
}

// A body that is buffered completely is sent to another server where the first one failed while receiving it.
func TestBufferedBodyIsResent(t *testing.T) {
	s := newServer(t, "s-00000001", says(503, "", "Not-Started", "1"))
	w := newTestSidecar(t, s).start()
	body := strings.Repeat("x", 300_000)
	reply := w.askAsync("write", "", body)
	w.eventually("the first attempt", func() bool { return s.requestCount() > 0 })
	s.set(says(200, "done"))
	assert.Equal(t, "done", (<-reply).body)
	for _, got := range s.requests {
		assert.Equal(t, hexDigest([]byte(body)), hexDigest([]byte(got)))
	}
}

// An upload may take any time while it makes progress; one that makes next to none is ended.
func TestSlowUpload(t *testing.T) {
	s := newServer(t, "s-00000001", says(200, "done"))
	w := newTestSidecar(t, s).start()
	send := func(pieces int, pause time.Duration) (status int) {
		c, err := net.Dial("tcp", w.listen)
		require.NoError(t, err)
		defer c.Close()
		fmt.Fprintf(c, "POST /write HTTP/1.1\r\nHost: h\r\nRequest-Id: slow%d\r\nContent-Length: %d\r\n\r\n", pieces, pieces*6400)
		go func() {
			for range pieces { // 64 kB a second
				time.Sleep(pause)
				if _, err := c.Write(make([]byte, 6400)); err != nil {
					return
				}
			}
		}()
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		return r.StatusCode
	}
	assert.Equal(t, 200, send(40, 100*time.Millisecond), "four seconds")
	assert.Equal(t, 408, send(41, time.Second))
}

func readStatus(pid int) (string, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	return string(raw), err
}
