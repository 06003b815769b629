package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// rawServer answers each request with text, and returns the heads of the requests that it receives.
func rawServer(t *testing.T, text string) (address string, heads <-chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	got := make(chan string, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					head := ""
					for !strings.HasSuffix(head, "\r\n\r\n") {
						line, err := r.ReadString('\n')
						if err != nil {
							return
						}
						head += line
					}
					got <- head
					io.WriteString(c, text)
				}
			}()
		}
	}()
	return l.Addr().String(), got
}

const answer = "HTTP/1.1 %s\r\nX-Debug: 1\r\nX-Old: 2\r\nx-old: 3\r\nServer-Load: queue=1\r\nConnection: X-Hop, Server-Load\r\nX-Hop: 4\r\nContent-Length: 2\r\n\r\nok"

// Compares the header of a request at the server and of its response at the client, before and after rewriting. A resend starts from the
// original header, so added fields occur once.
func TestRewrites(t *testing.T) {
	address, heads := rawServer(t, fmt.Sprintf(answer, "200 OK"))
	failing, failed := rawServer(t, fmt.Sprintf(answer, "503 no"))
	w := newTestSidecar(t)
	w.known = []endpoint{{"s-00000001", address, "a", "SERVING", 1, 0}}
	w.features = `{"rewrites.forwarded":true,"rewrites":[
		{"dir":"in","when":{"class":"read"},"op":"drop","name":"X-Station-Debug"},
		{"dir":"in","when":{"path_prefix":"/read/7"},"op":"add","name":"X-Station","value":"seven"},
		{"dir":"in","when":{"path_prefix":"/read/8"},"op":"add","name":"X-Station","value":"eight"},
		{"dir":"out","when":{"class":"read"},"op":"drop","name":"x-debug"},
		{"dir":"out","when":{"class":"read","path_prefix":"/"},"op":"rename","name":"X-Old","to":"X-New"}]}`
	w.start()
	ask := func(class string) []string {
		c, err := net.Dial("tcp", w.listen)
		require.NoError(t, err)
		defer c.Close()
		method := map[string]string{"read": "GET", "write": "POST"}[class]
		fmt.Fprintf(c, "%s /%s/7 HTTP/1.1\r\nHost: station\r\nRequest-Id: %s-1\r\nx-station-debug: 1\r\nX-Keep: 2\r\n"+
			"Forwarded: for=_gate\r\nX-Local: 3\r\nConnection: close, X-Local, request-id\r\n\r\n", method, class, class)
		text, err := io.ReadAll(c)
		require.NoError(t, err)
		return strings.Split(string(text), "\r\n")
	}
	assert.Equal(t, []string{"HTTP/1.1 200 ", "X-New: 2", "X-New: 3", "Server-Load: queue=1", "Connection: close",
		"Content-Length: 2", "", "ok"}, ask("read"))
	head := func(heads <-chan string) string { // without the time limit, which decreases
		var kept []string
		for _, line := range strings.Split(<-heads, "\r\n") {
			if !strings.HasPrefix(line, "Request-Timeout: ") {
				kept = append(kept, line)
			}
		}
		return strings.Join(kept, "\n")
	}
	assert.Equal(t, "GET /read/7 HTTP/1.1\nHost: station\nRequest-Id: read-1\nX-Keep: 2\n"+
		"Forwarded: for=_gate, for=127.0.0.1;proto=http\nX-Station: seven\n\n", head(heads))
	assert.Contains(t, ask("write"), "X-Debug: 1", "the rule is for another class")
	assert.Contains(t, head(heads), "x-station-debug: 1")

	w.discovery.answers <- list(fmt.Sprintf(`{"index":9,"snapshot":true,"endpoints":[{"name":"s-00000002","address":%q,"zone":"a","status":"SERVING","weight":1}]}`+"\n", failing))
	w.eventually("the failing server", func() bool { return w.counter("lists") == 1 })
	ask("read")
	first, second := head(failed), head(failed)
	assert.Equal(t, first, second)
	assert.Equal(t, 1, strings.Count(second, "X-Station: seven"))
	assert.Equal(t, 1, strings.Count(second, "proto=http"))
}

// Without a features file, header fields are passed on unchanged.
func TestNoRewrites(t *testing.T) {
	got := make(chan http.Header, 1)
	w := newTestSidecar(t, newServer(t, "s-00000001", func(w http.ResponseWriter, r *http.Request) { got <- r.Header })).start()
	w.ask("read", "", "", "X-Station-Debug", "1", "Forwarded", "for=_gate")
	h := <-got
	assert.Equal(t, "1", h.Get("X-Station-Debug"))
	assert.Equal(t, []string{"for=_gate"}, h["Forwarded"])
}
