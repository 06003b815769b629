package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// These tests check that proxies enforce the header size and timeouts of the configuration. Proxies once read none of these fields and used
// constants instead: a head of 40 KB was rejected although 64 KB were allowed, and a client that sent half a head, or nothing, kept its connection
// for 4 s or 60 s whatever the configuration said.

const (
	shortTimeout = 100 * time.Millisecond
	// closedWithin is longer than shortTimeout with its margin, and shorter than the default timeouts.
	closedWithin = 3 * time.Second
)

// limitedDocument is tenantDocument without tenants, with limits on clients.
func limitedDocument(version int, limits string) string {
	return strings.TrimSuffix(tenantDocument(version, ""), "}") + `,"Limits":{` + limits + `}}`
}

// startClientServer serves clients like a proxy process and returns its address.
func startClientServer(t *testing.T, f *tenantFleet) string {
	listener, err := f.proxy.listenForClients("127.0.0.1:0")
	require.NoError(t, err)
	server := newClientServer(f.proxy)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// dialClient opens a connection whose reads time out after closedWithin.
func dialClient(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(closedWithin)))
	return conn, bufio.NewReader(conn)
}

// exchange sends a request with a header field of a given size and returns the status of its response.
func exchange(t *testing.T, conn net.Conn, reader *bufio.Reader, fieldBytes int) int {
	_, err := fmt.Fprintf(conn, "POST /unary/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nX-Long: %s\r\n\r\nbody", strings.Repeat("l", fieldBytes))
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode
}

func TestClientThatTakesTooLongIsDisconnected(t *testing.T) {
	const headerTimeout, idleTimeout = `"HeaderTimeoutMs":100,"IdleTimeoutMs":60000`, `"HeaderTimeoutMs":60000,"IdleTimeoutMs":100`
	for name, c := range map[string]struct {
		limits string
		send   func(conn net.Conn, reader *bufio.Reader)
	}{
		"half a head":                  {headerTimeout, func(conn net.Conn, _ *bufio.Reader) { fmt.Fprint(conn, "POST /unary/x HTTP/1.1\r\nHost:") }},
		"nothing":                      {idleTimeout, func(net.Conn, *bufio.Reader) {}},
		"nothing after a response":     {idleTimeout, func(conn net.Conn, reader *bufio.Reader) { exchange(t, conn, reader, 0) }},
		"half a head after a response": {headerTimeout, func(conn net.Conn, reader *bufio.Reader) { exchange(t, conn, reader, 0); fmt.Fprint(conn, "POST") }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTenantFleet(t, limitedDocument(1, c.limits), failure{})
			conn, reader := dialClient(t, startClientServer(t, f))
			startedAt := time.Now()
			c.send(conn, reader)
			_, err := reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "the proxy closes the connection before this test's read deadline")
			assert.GreaterOrEqual(t, time.Since(startedAt), shortTimeout)
		})
	}
}

func TestRequestMayTakeLongerThanItsConnectionMayBeIdle(t *testing.T) {
	t.Parallel()
	f := newTenantFleet(t, limitedDocument(1, `"HeaderTimeoutMs":100,"IdleTimeoutMs":100`), failure{})
	for _, s := range f.servers[:2] {
		s.answerRequest = func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(clientTimeoutMargin + 3*shortTimeout)
			w.WriteHeader(http.StatusOK)
		}
	}
	conn, reader := dialClient(t, startClientServer(t, f))
	assert.Equal(t, http.StatusOK, exchange(t, conn, reader, 0))
}

func TestHeadIsBoundedByTheConfigurationInForce(t *testing.T) {
	f := newTenantFleet(t, limitedDocument(1, `"MaxHeaderBytes":65536`), failure{})
	conn, reader := dialClient(t, startClientServer(t, f))
	assert.Equal(t, http.StatusOK, exchange(t, conn, reader, 40<<10))
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, exchange(t, conn, reader, 70<<10))
	f.apply(limitedDocument(2, `"MaxHeaderBytes":1024`))
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, exchange(t, conn, reader, 1<<10), "the newer limit applies to open connections")
	assert.Equal(t, http.StatusOK, exchange(t, conn, reader, 100), "the connection can still be used")
	f.apply(limitedDocument(3, ""))
	assert.Equal(t, http.StatusOK, exchange(t, conn, reader, 40<<10), "without a configured limit maxHeaderBytes applies")
}

// In a proxy that was suspended, timers have expired while requests arrived. The test simulates this by not reading the connection until after its
// timeout.
func TestRequestThatArrivedWhileTheProxyWasStoppedIsRead(t *testing.T) {
	t.Parallel()
	f := newTenantFleet(t, limitedDocument(1, `"IdleTimeoutMs":1`), failure{})
	listener, err := f.proxy.listenForClients("127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	accepted.(*clientConn).setState(http.StateNew)
	_, err = io.WriteString(client, "POST")
	require.NoError(t, err)
	require.NoError(t, client.SetReadDeadline(time.Now().Add(clientTimeoutMargin+2*shortTimeout)))
	_, err = client.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is open")
	received := make([]byte, 4)
	_, err = io.ReadFull(accepted, received)
	require.NoError(t, err)
	assert.Equal(t, "POST", string(received))
}
