package main

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A message whose end two parsers could see in different places is rejected, and the bytes behind it never reach a server: sent at once
// or in pieces, on a new connection or on one that has carried a request.
func TestSmuggling(t *testing.T) {
	s := newServer(t, "s-00000001", says(200, ""))
	w := newTestSidecar(t, s).start()
	const (
		first  = "GET /read HTTP/1.1\r\nHost: h\r\nRequest-Id: first\r\n\r\n"
		hidden = "POST /write HTTP/1.1\r\nHost: h\r\nRequest-Id: hidden\r\nContent-Length: 1\r\n\r\nx"
	)
	for name, head := range map[string]string{
		"length and chunks":    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"chunks and length":    "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
		"chunked twice":        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"other coding":         "Transfer-Encoding: xchunked\r\n",
		"blank before a colon": "Transfer-Encoding : chunked\r\n",
		"folded":               "Transfer-Encoding:\r\n chunked\r\n",
		"signed length":        "Content-Length: +4\r\n",
		"negative length":      "Content-Length: -4\r\n",
		"hexadecimal length":   "Content-Length: 0x4\r\n",
		"listed length":        "Content-Length: 4, 4\r\n",
		"huge length":          "Content-Length: 18446744073709551620\r\n",
	} {
		text := "POST /write HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n" + head + "\r\n0\r\n\r\n" + hidden
		for _, kept := range []bool{false, true} {
			before, piece := s.requestCount(), len(text)
			_, c, r := w.writeRaw("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
			if kept {
				io.WriteString(c, first)
				answer, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				require.Equal(t, 200, answer.StatusCode)
				before, piece = before+1, 7
			}
			go func() {
				for rest := text; rest != ""; rest = rest[min(piece, len(rest)):] {
					io.WriteString(c, rest[:min(piece, len(rest))])
				}
			}()
			answer, err := http.ReadResponse(r, nil)
			require.NoError(t, err, name)
			assert.Contains(t, []int{400, 413, 501}, answer.StatusCode, name)
			_, err = io.Copy(io.Discard, r)
			assert.NoError(t, err, name)
			assert.Equal(t, before, s.requestCount(), name)
			c.Close()
		}
	}
}

// Bytes that a server sends after a response become no response to any request, and 1xx responses before the final one are skipped.
func TestBytesAfterResponse(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	for name, text := range map[string]string{
		"a second copy":  answer + "first" + answer + "first",
		"noise":          answer + "first" + "\x00\xff\r\n",
		"interim before": strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 30) + answer + "first",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, "s-00000001", nil)
			s.set(func(w http.ResponseWriter, _ *http.Request) {
				s.set(says(200, "other"))
				c, _, err := w.(http.Hijacker).Hijack()
				if assert.NoError(t, err) {
					t.Cleanup(func() { c.Close() }) // the connection stays open
					io.WriteString(c, text)
				}
			})
			w := newTestSidecar(t, s)
			w.start()
			assert.Equal(t, "first", w.ask("write", "", "").body)
			if name != "interim before" {
				assert.Equal(t, "other", w.ask("write", "", "").body)
			}
		})
	}
}

// A server that sends endless interim responses or garbage makes the request fail long before its deadline.
func TestAnswersWithoutEnd(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "X: 1\r\n"} {
		t.Run(strings.Fields(text)[0], func(t *testing.T) {
			s := newServer(t, "s-00000001", func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer c.Close()
				for err == nil {
					_, err = io.WriteString(c, strings.Repeat(text, 100))
				}
			})
			w := newTestSidecar(t, s).start()
			p := w.ask("write", "", "")
			assert.Equal(t, 502, p.status)
			assert.Less(t, p.took, 4*time.Second, "long before the deadline")
			assert.Equal(t, 1, s.requestCount())
		})
	}
}
