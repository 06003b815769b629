package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/message"
	"hazelwheel/internal/nodeconfig"
	"hazelwheel/internal/routeconfig"
)

// These tests guard against proxies that forward clients' credentials to servers, execute requests for no tenant or for one that the client has
// chosen, or serve a key after it has been revoked. All three happened when the configuration's message type had no field for tenants: decoding
// ignored the unknown field, and the proxy forwards each header field of a client that it doesn't know.

const (
	keyOfAcme      = "Token key-of-acme"
	keyOfBolt      = "Token key-of-bolt"
	unknownKey     = "Token never-configured"
	tenantHeader   = "Hazelwheel-Tenant-Id"
	acmeAndBolt    = `{"Name":"acme","ApiKeys":["key-of-acme"],"Priority":3},{"Name":"bolt","ApiKeys":["key-of-bolt"]}`
	acmeWithoutKey = `{"Name":"acme","ApiKeys":[]},{"Name":"bolt","ApiKeys":["key-of-bolt"]}`
)

// tenantDocument returns a configuration with these tenants, or without any if tenants is empty. Its routes are /unary/, /prompt/, /feed/ and the public
// /open/.
func tenantDocument(version int, tenants string) string {
	route := func(name, kind, service, more string) string {
		return fmt.Sprintf(`{"Name":%q,"Host":"h.example","PathPrefix":"/%s/","RouteType":%q,"TimeoutMs":5000,"TargetLatencyMs":500,"Priority":1,"Service":%q,"MaxAttempts":2%s}`,
			name, name, kind, service, more)
	}
	routes := strings.Join([]string{route("unary", "idempotent", "web", ""), route("prompt", "streaming", "model", ""),
		route("feed", "streaming", "web", `,"Resumable":true`), route("open", "idempotent", "web", `,"Public":true`)}, ",")
	if tenants != "" {
		tenants = `,"Tenants":[` + tenants + `]`
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":"web","HealthPath":"/health","MaxConnections":100},{"Name":"model","HealthPath":"/health",`+
		`"MaxConnections":100,"Engine":{"Slots":4,"KvTokens":1000000,"KvTokenBytes":1000,"LinkMbps":1000000,"HandleTtlS":5}}]%s}`, version, routes, tenants)
}

// tenantFleet is a proxy with the servers of tenantDocument: two web servers, a prefill server and a decode server.
type tenantFleet struct {
	t       *testing.T
	proxy   *Proxy
	front   *httptest.Server
	servers []*fakeServer
	log     *strings.Builder
	sent    atomic.Int64 // requests so far, for their IDs
}

// fakeServer is a fakeModelServer that fails some requests.
type fakeServer struct {
	*fakeModelServer
	fails         func(r *http.Request) bool                      // nil: no request fails
	answer        func(w http.ResponseWriter, header http.Header) // to a request that fails
	answerRequest func(w http.ResponseWriter, r *http.Request)    // used instead of answer if it is set
}

func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.fails == nil || r.URL.Path == "/health" || !s.fails(r) {
		s.fakeModelServer.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	s.requestHeaders = append(s.requestHeaders, r.Header)
	s.mu.Unlock()
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if s.answerRequest != nil {
		s.answerRequest(w, r)
		return
	}
	s.answer(w, r.Header)
}

// failure is how web servers fail requests.
type failure struct {
	fails  func(r *http.Request) bool
	answer func(w http.ResponseWriter, header http.Header)
}

// firstRequestFails makes the first request to any server fail.
func firstRequestFails() failure {
	var failed atomic.Bool
	return failure{func(*http.Request) bool { return !failed.Swap(true) },
		func(w http.ResponseWriter, _ http.Header) { w.WriteHeader(http.StatusInternalServerError) }}
}

// streamsBreakOff makes each stream that is not a resumed one break off after its first event.
func streamsBreakOff() failure {
	return failure{func(r *http.Request) bool { return r.Header.Get(headerLastEventID) == "" }, func(w http.ResponseWriter, _ http.Header) {
		w.Header().Set(headerStamp, "stamp")
		writeText(w, "%s", event(1))
		_ = http.NewResponseController(w).Flush() // an error means that the proxy has disconnected, which fails the test anyway
		panic(http.ErrAbortHandler)
	}}
}

// newTenantFleet starts a fleet whose web servers fail as given. With an empty document the proxy has no configuration.
func newTenantFleet(t *testing.T, document string, webServers failure) *tenantFleet {
	f := &tenantFleet{t: t, log: &strings.Builder{}}
	log := logrus.New()
	log.SetOutput(f.log)
	log.SetLevel(logrus.DebugLevel)
	f.proxy = newProxy(&nodeconfig.Settings{NodeID: "n", Zone: "z", Bounds: nodeconfig.Bounds{RetryBudgetRatio: 0.2, BudgetWindowSeconds: 10,
		BudgetSlack: 100, PrefixCacheSeconds: 8}}, logrus.NewEntry(log))
	var listed []message.Instance
	for i, instance := range []message.Instance{{Service: "web"}, {Service: "web"}, {Service: "model", Stage: message.Prefill}, {Service: "model", Stage: message.Decode}} {
		instance.ID, instance.Zone, instance.Slots = fmt.Sprint("i-", i), "z", 4
		s := &fakeServer{fakeModelServer: &fakeModelServer{instance: instance}}
		if instance.Service == "web" {
			s.fails, s.answer = webServers.fails, webServers.answer
			s.instance.Stage = message.Decode
		}
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		instance.Address = strings.TrimPrefix(server.URL, "http://")
		s.instance.Address = instance.Address
		f.servers, listed = append(f.servers, s), append(listed, instance)
	}
	data, err := message.PackInstances(listed)
	require.NoError(t, err)
	require.NoError(t, f.proxy.state.applyFeed(&message.Feed{List: &message.InstanceList{Digest: 1, Data: data}, ProxyCount: 1}))
	if document != "" {
		f.apply(document)
	}
	f.front = httptest.NewServer(f.proxy)
	t.Cleanup(f.front.Close)
	return f
}

// apply sends a configuration to the proxy, as the control process and the agent do.
func (f *tenantFleet) apply(document string) {
	table, err := routeconfig.Parse([]byte(document))
	require.NoError(f.t, err)
	packed, err := message.PackTable(table)
	require.NoError(f.t, err)
	require.NoError(f.t, f.proxy.state.applyFeed(&message.Feed{Table: packed}))
}

// newRequest returns a request with a key, unless that is empty, and a forged tenant ID.
func (f *tenantFleet) newRequest(route, key string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, f.front.URL+"/"+route+"/x", strings.NewReader("body"))
	require.NoError(f.t, err)
	request.Host = "h.example"
	if key != "" {
		request.Header.Set("Authorization", key)
	}
	for _, field := range []headerField{{headerRequestID, fmt.Sprint("id-", f.sent.Add(1))}, {headerDeadline, "4000"}, {headerPrefixHash, longPromptPrefix},
		{headerTokenCounts, "20800,20"}, {tenantHeader, "forged"}} {
		request.Header.Add(field.name, field.value)
	}
	return request
}

// send sends the request that newRequest returns, and returns the response.
func (f *tenantFleet) send(route, key string) (status int, body string) {
	answer, err := f.front.Client().Do(f.newRequest(route, key))
	require.NoError(f.t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	require.NoError(f.t, err)
	return answer.StatusCode, string(text)
}

// received returns the headers of all requests that reached servers.
func (f *tenantFleet) received() (all []http.Header) {
	for _, s := range f.servers {
		all = append(all, s.receivedHeaders()...)
	}
	return all
}

// forgetReceived clears the requests that received returns.
func (f *tenantFleet) forgetReceived() {
	for _, s := range f.servers {
		s.mu.Lock()
		s.requestHeaders = nil
		s.mu.Unlock()
	}
}

// requestPaths are the code paths by which a request reaches a server, each with the number of attempts and the failures that lead to it.
var requestPaths = map[string]struct {
	route    string
	attempts int
	failures func() failure
}{
	"first attempt":      {"unary", 1, func() failure { return failure{} }},
	"retry":              {"unary", 2, firstRequestFails},
	"prefill and decode": {"prompt", 2, func() failure { return failure{} }},
	"resumed stream":     {"feed", 2, streamsBreakOff},
}

func TestKeysOfClientsReachNoServer(t *testing.T) {
	for name, path := range requestPaths {
		f := newTenantFleet(t, tenantDocument(1, acmeAndBolt), path.failures())
		status, _ := f.send(path.route, keyOfAcme)
		assert.Equal(t, http.StatusOK, status, name)
		received := f.received()
		assert.Len(t, received, path.attempts, name)
		for _, header := range received {
			assert.NotContains(t, fmt.Sprint(header), "key-of-acme", "%s: a server received the key", name)
			assert.Equal(t, []string{"acme"}, header[tenantHeader], "%s: the tenant is that of the key, whatever tenant ID the client has sent", name)
		}
		assert.NotContains(t, f.log.String(), "key-of-acme", "%s: a log holds the key", name)
	}
}

func TestUnknownKeysAreRejected(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, acmeAndBolt), failure{})
	for _, path := range requestPaths {
		for _, key := range []string{unknownKey, "", "key-of-acme", "Basic key-of-acme", "Token", "Token key-of-acme key-of-bolt"} {
			status, body := f.send(path.route, key)
			assert.Equal(t, http.StatusUnauthorized, status, key)
			assert.NotContains(t, body, "key-of-acme", "an error holds the key")
		}
	}
	assert.Empty(t, f.received(), "a server received a request without a key")
	status, _ := f.send("open", "")
	assert.Equal(t, http.StatusOK, status, "a public route needs no key")
	for _, header := range f.received() {
		assert.Empty(t, header[tenantHeader], "a request without a key has no tenant")
	}
}

func TestKeysAreRevokedAndAddedOnOpenConnections(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, acmeWithoutKey), failure{})
	for i, step := range []struct {
		tenants string
		want    int // for the key of acme
	}{{acmeWithoutKey, http.StatusUnauthorized}, {acmeAndBolt, http.StatusOK}, {acmeWithoutKey, http.StatusUnauthorized}} {
		f.apply(tenantDocument(2+i, step.tenants))
		status, _ := f.send("unary", keyOfAcme)
		assert.Equal(t, step.want, status, "version %d", 2+i)
		status, _ = f.send("unary", keyOfBolt)
		assert.Equal(t, http.StatusOK, status, "a key that was not revoked")
	}
}

func TestProxyWithoutConfigurationRejectsNoKey(t *testing.T) {
	f := newTenantFleet(t, "", failure{})
	status, _ := f.send("unary", unknownKey)
	assert.Equal(t, http.StatusServiceUnavailable, status, "without a configuration a key is neither known nor unknown")
}

// TestCredentialsWithoutTenants checks the Authorization field under a configuration without tenants: other schemes reach the application, API keys
// do not. A configuration compiled by a version that doesn't support tenants looks the same.
func TestCredentialsWithoutTenants(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, ""), failure{})
	for sent, want := range map[string][]string{"Bearer of-the-application": {"Bearer of-the-application"}, keyOfAcme: nil, "token key-of-acme": nil} {
		f.forgetReceived()
		status, _ := f.send("prompt", sent)
		assert.Equal(t, http.StatusOK, status, sent)
		assert.Len(t, f.received(), 2)
		for _, header := range f.received() {
			assert.Equal(t, want, header["Authorization"], sent)
			assert.Empty(t, header[tenantHeader], sent)
		}
	}
}

// TestTableOfAnEarlierVersionIsReplaced sends a proxy the same configuration version twice: first as compiled by a process of an earlier program
// version, without tenants, then complete. The complete table replaces the earlier one, but not the reverse.
func TestTableOfAnEarlierVersionIsReplaced(t *testing.T) {
	f := newTenantFleet(t, "", failure{})
	complete, err := routeconfig.Parse([]byte(tenantDocument(1, acmeAndBolt)))
	require.NoError(t, err)
	earlier := *complete
	earlier.Form, earlier.Tenants, earlier.KeySecret = routeconfig.FormRoutes, nil, nil
	for _, step := range []struct {
		table *routeconfig.Table
		want  int
	}{{&earlier, http.StatusOK}, {complete, http.StatusUnauthorized}, {&earlier, http.StatusUnauthorized}} {
		packed, err := message.PackTable(step.table)
		require.NoError(t, err)
		packed.Form = 0 // as an agent of an earlier version forwards it
		require.NoError(t, f.proxy.state.applyFeed(&message.Feed{Table: packed}))
		status, _ := f.send("unary", unknownKey)
		assert.Equal(t, step.want, status)
	}
}

func TestPriorityOfTheTenantPrecedesThatOfTheRoute(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, acmeAndBolt), failure{})
	for key, want := range map[string]string{keyOfAcme: "3", keyOfBolt: "1"} {
		f.forgetReceived()
		f.send("prompt", key)
		assert.Len(t, f.received(), 2)
		for _, header := range f.received() {
			assert.Equal(t, want, header.Get(headerPriority), key)
		}
	}
}

// The server rejects the first attempt, and the key is revoked before the second one.
func TestWaitingRequestIsNotExecutedWithARevokedKey(t *testing.T) {
	var f *tenantFleet
	refuses := failure{func(*http.Request) bool { return true }, func(w http.ResponseWriter, _ http.Header) {
		f.apply(tenantDocument(2, acmeWithoutKey))
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}}
	f = newTenantFleet(t, tenantDocument(1, acmeAndBolt), refuses)
	status, _ := f.send("unary", keyOfAcme)
	assert.Equal(t, http.StatusUnauthorized, status)
	assert.Len(t, f.received(), 1, "no further attempt is made")
}

// A request on a public route is admitted by a table in an earlier form, which doesn't say which routes are public, and is retried after the complete
// table of the same version has replaced it.
func TestPublicRouteOfAnEarlierForm(t *testing.T) {
	complete, err := routeconfig.Parse([]byte(tenantDocument(1, acmeAndBolt)))
	require.NoError(t, err)
	earlier := *complete
	earlier.Form, earlier.Tenants, earlier.KeySecret = routeconfig.FormRoutes, nil, nil
	earlier.Routes = slices.Clone(complete.Routes)
	for i := range earlier.Routes {
		earlier.Routes[i].IsPublic = false
	}
	var f *tenantFleet
	var refused atomic.Bool
	refusesFirst := failure{func(*http.Request) bool { return !refused.Swap(true) }, func(w http.ResponseWriter, _ http.Header) {
		f.apply(tenantDocument(1, acmeAndBolt))
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}}
	f = newTenantFleet(t, "", refusesFirst)
	packed, err := message.PackTable(&earlier)
	require.NoError(t, err)
	require.NoError(t, f.proxy.state.applyFeed(&message.Feed{Table: packed}))
	status, _ := f.send("open", "")
	assert.Equal(t, http.StatusOK, status)
	assert.Len(t, f.received(), 2)
}

// The server rejects the first attempt, and the key is moved to another tenant before the second one.
func TestKeyMovedToAnotherTenantActsForThatTenant(t *testing.T) {
	var f *tenantFleet
	var refused atomic.Bool
	refusesFirst := failure{func(*http.Request) bool { return !refused.Swap(true) }, func(w http.ResponseWriter, _ http.Header) {
		f.apply(tenantDocument(2, `{"Name":"bolt","ApiKeys":["key-of-bolt","key-of-acme"]}`))
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}}
	f = newTenantFleet(t, tenantDocument(1, acmeAndBolt), refusesFirst)
	status, _ := f.send("unary", keyOfAcme)
	assert.Equal(t, http.StatusOK, status)
	var names []string
	for _, header := range f.received() {
		names = append(names, header.Get(tenantHeader))
	}
	assert.ElementsMatch(t, []string{"acme", "bolt"}, names)
}

// A key is revoked while a stream that uses it is open. The stream goes on, unless the settings say that it ends; then it must not look complete.
// A stream whose key stays valid is not affected.
func TestOpenStreamsEndWithTheirKeys(t *testing.T) {
	for _, ends := range []bool{false, true} {
		release := make(chan struct{})
		opened := failure{func(*http.Request) bool { return true }, func(w http.ResponseWriter, _ http.Header) {
			w.Header().Set(headerStamp, "stamp")
			writeText(w, "%s", event(1))
			_ = http.NewResponseController(w).Flush() // an error shows in what the client receives
			<-release
			writeText(w, "%s", event(2))
		}}
		f := newTenantFleet(t, tenantDocument(1, acmeAndBolt), opened)
		if ends {
			f.proxy.admitted = newAdmittedRequests()
		}
		streams := map[string]*http.Response{}
		for _, key := range []string{keyOfAcme, keyOfBolt} {
			answer, err := f.front.Client().Do(f.newRequest("feed", key))
			require.NoError(t, err)
			defer answer.Body.Close()
			_, err = io.ReadFull(answer.Body, make([]byte, len(event(1))))
			require.NoError(t, err)
			streams[key] = answer
		}
		f.apply(tenantDocument(2, acmeWithoutKey))
		f.proxy.endRevoked()
		if ends {
			_, err := io.ReadAll(streams[keyOfAcme].Body)
			assert.Error(t, err, "a stream that ends with its key must not look complete")
		}
		close(release)
		for key, answer := range streams {
			if ends && key == keyOfAcme {
				continue
			}
			rest, err := io.ReadAll(answer.Body)
			assert.NoError(t, err)
			assert.Equal(t, event(2), string(rest))
		}
		assert.Eventually(t, func() bool { return f.proxy.admitted.count() == 0 }, time.Minute, time.Millisecond)
	}
}
