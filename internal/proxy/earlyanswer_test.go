package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// longBody does not fit into the buffers of a connection.
var longBody = strings.Repeat("a long body ", 200_000)

// The first server rejects a request before it has read the body, and reads the rest of it afterwards. It must receive the complete body, and the
// request must be served by the other server.
func TestServerThatAnswersBeforeItHasReadALongBody(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, acmeAndBolt), failure{})
	var refused atomic.Bool
	for _, s := range f.servers[:2] {
		s.fails = func(*http.Request) bool { return !refused.Swap(true) }
		s.answerRequest = func(w http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(w)
			assert.NoError(t, control.EnableFullDuplex())
			w.Header().Set(headerNotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			assert.NoError(t, control.Flush())
			body, err := io.ReadAll(r.Body)
			assert.NoError(t, err)
			assert.Equal(t, len(longBody), len(body))
			assert.True(t, longBody == string(body), "the rest of the body is that of this request")
		}
	}
	request := f.newRequest("unary", keyOfAcme)
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(longBody)), int64(len(longBody))
	answer, err := f.front.Client().Do(request)
	require.NoError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, http.StatusOK, answer.StatusCode)
}

// Clients send the head of a request and only a part of its body. The proxy once waited for the rest forever, even if the request was to be rejected
// for its route or key.
func TestBodyThatDoesNotCome(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, acmeAndBolt), failure{})
	for name, c := range map[string]struct {
		path, key string
		want      int
	}{
		"a request that would be served": {"/unary/x", keyOfAcme, http.StatusRequestTimeout},
		"an unknown key":                 {"/unary/x", unknownKey, http.StatusUnauthorized},
		"no route":                       {"/none/x", keyOfAcme, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp4", strings.TrimPrefix(f.front.URL, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: %s\r\n%s: id\r\n%s: 300\r\nContent-Length: 10\r\n\r\nbody",
				c.path, c.key, headerRequestID, headerDeadline)
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer answer.Body.Close()
			assert.Equal(t, c.want, answer.StatusCode)
			assert.True(t, answer.Close, "the rest of the body must not be read as the next request")
		})
	}
	assert.Empty(t, f.received())
}
