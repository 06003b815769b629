package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

// serveBenchmark answers each request on the connections of a listener with a success: a body of 800 bytes, or 20 events if isStream is set.
func serveBenchmark(listener net.Listener, isStream bool) {
	events := strings.Builder{}
	for id := range 20 {
		text := fmt.Sprintf("id: %d\ndata: a piece of the stream\n\n", id+1)
		fmt.Fprintf(&events, "%x\r\n%s\r\n", len(text), text)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body) // an error shows with the next request
				head := fmt.Sprintf("HTTP/1.1 200 OK\r\nHazelwheel-Request-Id: %s\r\nHazelwheel-Instance-Id: i-1\r\nHazelwheel-Response-Stamp: s\r\n",
					request.Header.Get(headerRequestID))
				body := "Content-Length: 800\r\n\r\n" + strings.Repeat("x", 800)
				if isStream {
					body = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + events.String() + "0\r\n\r\n"
				}
				if _, err := io.WriteString(conn, head+body); err != nil {
					return
				}
			}
		}()
	}
}

// BenchmarkRequest measures an ordinary request through a proxy: from its client over loopback to a server and back.
func BenchmarkRequest(b *testing.B) {
	for _, kind := range []routeconfig.RouteKind{routeconfig.NonIdempotent, routeconfig.Streaming} {
		b.Run(string(kind), func(b *testing.B) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(b, err)
			defer func() { _ = listener.Close() }()
			go serveBenchmark(listener, kind == routeconfig.Streaming)
			log := logrus.New()
			log.SetOutput(io.Discard)
			p := newProxy(&nodeconfig.Settings{NodeID: "n", Zone: "z", Bounds: nodeconfig.Bounds{RetryBudgetRatio: 0.2, BudgetWindowSeconds: 10, BudgetSlack: 100}},
				logrus.NewEntry(log))
			packed, err := message.PackTable(&routeconfig.Table{Version: 1, Routes: []routeconfig.Route{route(kind)},
				Services: []routeconfig.Service{{Name: "s", HealthPath: "/health", MaxConnections: 100}}})
			require.NoError(b, err)
			instances, err := message.PackInstances([]message.Instance{{ID: "i-1", Service: "s", Address: listener.Addr().String(), Zone: "z", Slots: 4}})
			require.NoError(b, err)
			require.NoError(b, p.state.applyFeed(&message.Feed{Table: packed, List: &message.InstanceList{Digest: 1, Data: instances}, ProxyCount: 1}))
			front := httptest.NewServer(p)
			defer front.Close()
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				request, err := http.NewRequest(http.MethodPost, front.URL+"/p/x", strings.NewReader("body"))
				require.NoError(b, err)
				request.Host = "h.example"
				request.Header.Set(headerRequestID, fmt.Sprint(n))
				answer, err := front.Client().Do(request)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, answer.Body)
				require.NoError(b, err)
				require.Equal(b, http.StatusOK, answer.StatusCode)
				_ = answer.Body.Close() // it has been read completely
			}
		})
	}
}
