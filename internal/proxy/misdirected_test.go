package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

// fakeModelServer checks the reserved fields of requests as model servers do: a request for another stage, instance or version of the model
// weights gets 421.
type fakeModelServer struct {
	instance message.Instance

	mu             sync.Mutex
	requestHeaders []http.Header
}

// receivedHeaders returns the headers of all requests that were received.
func (s *fakeModelServer) receivedHeaders() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requestHeaders)
}

func newFakeModelServer(t *testing.T, id string, stage message.Stage) *fakeModelServer {
	s := &fakeModelServer{instance: message.Instance{ID: id, Service: "s", Zone: "z", Slots: 4, Stage: stage}}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	s.instance.Address = strings.TrimPrefix(server.URL, "http://")
	return s
}

const weightsVersion = "1"

func (s *fakeModelServer) isMisdirected(header http.Header) bool {
	stage := message.Decode
	if header.Get(headerServingStage) == stagePrefill {
		stage = message.Prefill
	}
	version, instance := header.Get("Expect-Version"), header.Get(headerExpectInstance)
	return stage != s.instance.Stage || version != "" && version != weightsVersion || instance != "" && instance != s.instance.ID
}

func (s *fakeModelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requestHeaders = append(s.requestHeaders, r.Header)
	s.mu.Unlock()
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	switch {
	case s.isMisdirected(r.Header):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.Method == http.MethodDelete:
	case s.instance.Stage == message.Prefill:
		writeText(w, `{"KvHandle":"h1","Tokens":1000,"Version":1}`)
	default:
		w.Header().Set(headerStamp, "stamp")
		w.Header().Set("Content-Type", "text/event-stream")
		writeText(w, "%s", event(1))
	}
}

// promptFront starts a proxy with a route for prompts to these model servers.
func promptFront(t *testing.T, servers ...*fakeModelServer) *httptest.Server {
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := &nodeconfig.Settings{NodeID: "n", Zone: "z", Bounds: nodeconfig.Bounds{RetryBudgetRatio: 0.2, BudgetWindowSeconds: 10, BudgetSlack: 100, PrefixCacheSeconds: 8}}
	p := newProxy(settings, logrus.NewEntry(log))
	table, err := message.PackTable(&routeconfig.Table{Version: 1, Routes: []routeconfig.Route{route(routeconfig.Streaming)}, Services: []routeconfig.Service{{Name: "s",
		HealthPath: "/health", MaxConnections: 100, Engine: &routeconfig.Engine{Slots: 4, KVTokens: 1e6, KVTokenBytes: 1000, LinkMbps: 1e6, HandleTTLSeconds: 5}}},
		Limits: routeconfig.Limits{MaxBodyBytes: 1 << 16}})
	if err != nil {
		t.Fatal(err)
	}
	var listed []message.Instance
	for _, s := range servers {
		listed = append(listed, s.instance)
	}
	data, err := message.PackInstances(listed)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.state.applyFeed(&message.Feed{Table: table, List: &message.InstanceList{Digest: 1, Data: data}, ProxyCount: 1}); err != nil {
		t.Fatal(err)
	}
	front := httptest.NewServer(p)
	t.Cleanup(front.Close)
	return front
}

// sendPrompt sends a prompt with additional header fields and returns the status.
func sendPrompt(t *testing.T, front *httptest.Server, id string, fields ...headerField) int {
	request, err := http.NewRequest(http.MethodPost, front.URL+"/p/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	fields = append(fields, headerField{headerRequestID, id}, headerField{headerDeadline, "4000"}, headerField{headerPrefixHash, longPromptPrefix}, headerField{headerTokenCounts, "20800,20"})
	for _, f := range fields {
		request.Header.Set(f.name, f.value)
	}
	answer, err := front.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode
}

// Clients send the fields that only proxies set. Their requests are served as if they had not, and so are those of other clients after them.
func TestReservedHeadersOfClientsAreDropped(t *testing.T) {
	prefillServer, decodeServer := newFakeModelServer(t, "i-1", message.Prefill), newFakeModelServer(t, "i-2", message.Decode)
	front := promptFront(t, prefillServer, decodeServer)
	sent := []headerField{{headerServingStage, stagePrefill}, {"Expect-Version", "7"}, {headerKVFrom, "10.0.0.1:1/h9"}, {headerExpectInstance, "i-9"},
		{headerPriority, "0"}}
	for i, f := range sent {
		if status := sendPrompt(t, front, fmt.Sprint("id-", i), f); status != http.StatusOK {
			t.Errorf("a client that sends %s gets %d", f.name, status)
		}
		if status := sendPrompt(t, front, fmt.Sprint("after-", i)); status != http.StatusOK {
			t.Errorf("the client after one that has sent %s gets %d", f.name, status)
		}
	}
	for _, header := range append(prefillServer.receivedHeaders(), decodeServer.receivedHeaders()...) {
		for _, f := range sent {
			if header.Get(f.name) == f.value && (f.name != headerServingStage || header.Get(headerExpectInstance) != "i-1") {
				t.Errorf("%s: %s reached a server", f.name, f.value)
			}
		}
	}
}
