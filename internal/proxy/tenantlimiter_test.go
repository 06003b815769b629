package proxy

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hazelwheel/internal/decide/tokenlease"
	"hazelwheel/internal/message"
	"hazelwheel/internal/routeconfig"
	"hazelwheel/internal/transport"
)

// lessorAge is how long the lessors of a test have been running: long enough that their buckets are full and no leases of earlier lessors can be open.
const lessorAge = 1000.0

// lessorStub is a fake agent with the lessors of all shares.
type lessorStub struct {
	mu      sync.Mutex // guards what follows
	lessors [tokenlease.Shares]*tokenlease.Lessor
	limit   tokenlease.Limit
	fails   bool
	reports []tokenlease.Report // of all requests
}

// startLessors starts a lessorStub with a limit for all tenants, and lets the fleet's proxy use it as agent.
func (f *tenantFleet) startLessors(limit tokenlease.Limit) *lessorStub {
	s := &lessorStub{limit: limit}
	for share := range s.lessors {
		s.lessors[share] = tokenlease.NewLessor(1, f.proxy.limiter.allowance, -lessorAge, -lessorAge)
	}
	router := mux.NewRouter()
	router.HandleFunc(message.TokensPath, transport.NewHandler(s.handle))
	f.startAgent(router)
	return s
}

// startAgent starts an HTTP server with these paths, and lets the fleet's proxy use it as agent.
func (f *tenantFleet) startAgent(router http.Handler) {
	agent := httptest.NewServer(router)
	f.t.Cleanup(agent.Close)
	_, port, err := net.SplitHostPort(agent.Listener.Addr().String())
	require.NoError(f.t, err)
	agentPort, err := strconv.Atoi(port)
	require.NoError(f.t, err)
	f.proxy.settings.IP, f.proxy.settings.InternalPortRange = "127.0.0.1", []int{agentPort - 1, agentPort + 1}
}

func (s *lessorStub) handle(_ context.Context, request *tokenlease.Request) (*tokenlease.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails {
		return nil, Error.New("no lessor")
	}
	s.reports = append(s.reports, request.Reports...)
	return s.lessors[request.Share].Handle(0, request, func(string) tokenlease.Limit { return s.limit }) // at a constant time, so that no tokens are added
}

// spent returns how many tokens lessees have reported as spent.
func (s *lessorStub) spent() (sum int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byLease := map[uint64]int64{}
	for _, report := range s.reports {
		byLease[report.LeaseID] = max(byLease[report.LeaseID], report.Spent)
	}
	for _, spent := range byLease {
		sum += spent
	}
	return sum
}

// limitedTenants are the tenant acme with a limit of 40 requests a second, and bolt without a limit.
const limitedTenants = `{"Name":"acme","ApiKeys":["key-of-acme"],"RatePerS":40,"Burst":40},{"Name":"bolt","ApiKeys":["key-of-bolt"]}`

var limitOfAcme = tokenlease.Limit{Rate: 40, Burst: 40}

func TestRequestsBeyondTheLimitAreRefused(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, limitedTenants), failure{})
	s := f.startLessors(limitOfAcme)
	served, refused := 0, 0
	for range 60 {
		answer, err := f.front.Client().Do(f.newRequest("unary", keyOfAcme))
		require.NoError(t, err)
		_ = answer.Body.Close()
		switch answer.StatusCode {
		case http.StatusOK:
			served++
		case http.StatusTooManyRequests:
			refused++
			wait, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			assert.Positive(t, wait)
		default:
			assert.Fail(t, "unexpected", answer.Status)
		}
	}
	capacity := f.proxy.limiter.allowance.Capacity(limitOfAcme)
	assert.InDelta(t, capacity, served, tokenlease.Shares, "the capacity, rounded down at each share")
	assert.Equal(t, 60-served, refused)
	assert.Len(t, f.received(), served, "no refused request has reached a server")
	assert.Eventually(t, func() bool { return s.spent() == int64(served) }, 5*time.Second, 10*time.Millisecond)
	for range 60 {
		status, _ := f.send("unary", keyOfBolt)
		assert.Equal(t, http.StatusOK, status, "a tenant without a limit")
	}
	status, _ := f.send("open", "")
	assert.Equal(t, http.StatusOK, status, "a public route without a key")
}

// A request counts once, however many attempts it takes and however many servers work on it.
func TestRequestCountsOnce(t *testing.T) {
	for name, path := range requestPaths {
		t.Run(name, func(t *testing.T) {
			f := newTenantFleet(t, tenantDocument(1, limitedTenants), path.failures())
			s := f.startLessors(limitOfAcme)
			status, _ := f.send(path.route, keyOfAcme)
			require.Equal(t, http.StatusOK, status)
			assert.Eventually(t, func() bool { return s.spent() == 1 }, 5*time.Second, 10*time.Millisecond)
			time.Sleep(2 * tokenReportTime)
			assert.EqualValues(t, 1, s.spent())
		})
	}
}

// A prompt is prefilled while it waits for its tokens. If they are not granted, no server decodes it, and the tenant's next prompts are not prefilled
// beforehand.
func TestPromptWithoutTokensIsNotDecoded(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, limitedTenants), failure{})
	s := f.startLessors(limitOfAcme)
	for share := range s.lessors {
		s.lessors[share] = tokenlease.NewLessor(1, f.proxy.limiter.allowance, -lessorAge, 0) // with empty buckets
	}
	for range 3 {
		status, _ := f.send("prompt", keyOfAcme)
		assert.Equal(t, http.StatusTooManyRequests, status)
	}
	prefills := 0
	for _, header := range f.received() {
		switch stage := header.Get(headerServingStage); {
		case stage == stagePrefill:
			prefills++
		case header.Get(headerRequestID) != "": // a request without an ID releases the KV cache
			assert.Fail(t, "a prompt was decoded")
		}
	}
	assert.LessOrEqual(t, prefills, 1, "only the first prompt was prefilled")
	time.Sleep(2 * tokenReportTime)
	assert.Zero(t, s.spent())
}

// tokenReportTime is the time within which spent tokens are reported.
const tokenReportTime = 200 * time.Millisecond

func TestRequestThatReachesNoServerCostsNothing(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, limitedTenants), failure{})
	s := f.startLessors(limitOfAcme)
	data, err := message.PackInstances(nil)
	require.NoError(t, err)
	require.NoError(t, f.proxy.state.applyFeed(&message.Feed{List: &message.InstanceList{Digest: 2, Data: data}, ProxyCount: 1}))
	for range 3 {
		status, _ := f.send("unary", keyOfAcme)
		assert.Equal(t, http.StatusServiceUnavailable, status)
	}
	time.Sleep(2 * tokenReportTime)
	assert.Zero(t, s.spent())
}

func TestWithoutLessorsLimitedTenantsGet503(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, limitedTenants), failure{})
	s := f.startLessors(limitOfAcme)
	s.fails = true
	answer, err := f.front.Client().Do(f.newRequest("unary", keyOfAcme))
	require.NoError(t, err)
	_ = answer.Body.Close()
	assert.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, "it is not known whether the tenant is at its limit")
	assert.NotEmpty(t, answer.Header.Get("Retry-After"))
	status, _ := f.send("unary", keyOfBolt)
	assert.Equal(t, http.StatusOK, status)
}

// While versions run side by side, a proxy may have an agent that does not support limits. Requests are then served without limits, as that version did.
func TestAgentOfAnEarlierVersion(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, limitedTenants), failure{})
	f.startAgent(http.NotFoundHandler())
	for range 100 {
		status, _ := f.send("unary", keyOfAcme)
		require.Equal(t, http.StatusOK, status)
	}
}

func TestTokensAreHandedBackAtShutdown(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, `{"Name":"acme","ApiKeys":["key-of-acme"],"RatePerS":4000,"Burst":4000}`), failure{})
	s := f.startLessors(tokenlease.Limit{Rate: 4000, Burst: 4000})
	for range 10 {
		status, _ := f.send("unary", keyOfAcme)
		require.Equal(t, http.StatusOK, status)
	}
	f.proxy.limiter.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	returned := map[uint64]int64{}
	for _, report := range s.reports {
		returned[report.LeaseID] = report.Returned
	}
	assert.NotEmpty(t, returned)
	assert.Positive(t, slices.Max(slices.Collect(maps.Values(returned))), "tokens held for future requests are returned")
}

func TestCostOfRequests(t *testing.T) {
	tokens := &routeconfig.TenantLimit{RatePerSecond: 1, CountsTokens: true, PlainTokens: 200}
	for field, want := range map[string]int64{"1460,80": 1540, " 1460 , 80 ": 1540, "0,0": 0, "1460": 1460, "": 200, "many": 200, "1460,": 200, "-5,80": 200, "1,-1": 200,
		"1.5,2": 200, "9223372036854775807,9223372036854775807": 2 * maxDeclaredTokens, "99999999999999999999,1": 200} {
		header := http.Header{}
		if field != "" {
			header.Set(headerTokenCounts, field)
		}
		assert.Equal(t, want, requestCost(tokens, header), "%q", field)
		assert.EqualValues(t, 1, requestCost(&routeconfig.TenantLimit{RatePerSecond: 1, PlainTokens: 200}, header), "a limit of requests")
	}
}

// A request that declares more tokens than the limit can ever grant is refused, and does not use up the tokens of the tenant's other requests.
func TestRequestLargerThanTheLimit(t *testing.T) {
	f := newTenantFleet(t, tenantDocument(1, `{"Name":"acme","ApiKeys":["key-of-acme"],"Unit":"token_stream","RatePerS":40000,"Burst":40000}`), failure{})
	f.startLessors(tokenlease.Limit{Rate: 40000, Burst: 40000})
	for _, c := range []struct {
		counts string
		status int
	}{{"4000000,1", http.StatusTooManyRequests}, {"9223372036854775807,9223372036854775807", http.StatusTooManyRequests}, {"20000,50", http.StatusOK}} {
		request := f.newRequest("unary", keyOfAcme)
		request.Header.Set(headerTokenCounts, c.counts)
		answer, err := f.front.Client().Do(request)
		require.NoError(t, err)
		_ = answer.Body.Close()
		assert.Equal(t, c.status, answer.StatusCode, c.counts)
	}
}

func TestWaitForTokens(t *testing.T) {
	for target, want := range map[float64]time.Duration{0: minTokenWait, 50: minTokenWait, 300: 150 * time.Millisecond, 5000: maxTokenWait} {
		assert.InDelta(t, want, tokenWait(&routeconfig.Route{LatencyTargetMs: target}), float64(time.Microsecond), fmt.Sprint(target))
	}
}
