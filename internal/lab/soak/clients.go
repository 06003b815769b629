package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The behavior of clients.
const (
	// clientsPerEdge is the number of clients for each machine with a proxy, clientPause the mean time between two requests of a client.
	clientsPerEdge = 3
	clientPause    = 120 * time.Millisecond
	connectTimeout = time.Second
	// reservedFieldFraction is the fraction of requests with a header that only the system may set, addedRouteFraction that on added routes.
	reservedFieldFraction = 0.1
	addedRouteFraction    = 0.25
	// chunkedFraction is the fraction of requests whose bodies are sent in chunks without a Content-Length, chunkPause the time between two chunks.
	chunkedFraction = 0.15
	chunkPause      = 15 * time.Millisecond
	// otherSpellingFraction is the fraction of requests whose host and path are written in another way than in the configuration.
	otherSpellingFraction = 0.1
	// newestRouteCount is the number of newest added routes from which clients draw.
	newestRouteCount = 10
)

// clients is what all clients share.
type clients struct {
	fleet        *fleet
	checker      *Checker
	newestRoute  *atomic.Int64 // the newest added route that was confirmed
	requestCount atomic.Int64  // sent so far
}

// client sends one request after the other on one connection to one machine, until one fails.
type client struct {
	*clients
	rng        *rand.Rand
	machine    *machine
	httpClient *http.Client
	limited    *limitedLoad // nil: draws from the keys of the tenants without a limit
}

// run is one client: it sends requests until ctx ends.
func (c *clients) run(ctx context.Context, seed uint64) {
	sender := &client{clients: c, rng: rand.New(rand.NewPCG(seed, 1))}
	sender.switchMachine()
	for ctx.Err() == nil {
		sender.sendRequest(ctx)
		sleep(ctx, time.Duration(sender.rng.ExpFloat64()*float64(clientPause)))
	}
	sender.httpClient.CloseIdleConnections()
}

// switchMachine closes the connection and draws a machine for the next one.
func (c *client) switchMachine() {
	if c.httpClient != nil {
		c.httpClient.CloseIdleConnections()
	}
	if c.limited == nil || c.limited.machine == nil {
		c.machine = c.fleet.frontMachines()[c.rng.IntN(len(c.fleet.frontMachines()))]
	} else {
		c.machine = c.limited.machine
	}
	dialer := &net.Dialer{Timeout: connectTimeout}
	c.httpClient = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// newRequest draws a request. The outcome has the fields that are known before it is sent.
func (c *client) newRequest(ctx context.Context) (*http.Request, Outcome, error) {
	id := fmt.Sprintf("%016x", c.rng.Uint64())
	o := Outcome{ID: id, Kind: []RequestKind{NonIdempotent, Idempotent, Prompt, ResumableFeed}[c.rng.IntN(4)], Edge: c.machine.name}
	if c.limited != nil && o.Kind == Prompt {
		o.Kind = Idempotent // a prompt is larger than what the limits let through at once
	}
	path := "/" + string(o.Kind) + "/x"
	if newest := int(c.newestRoute.Load()); newest > 0 && c.rng.Float64() < addedRouteFraction {
		o.Kind, o.Route = NonIdempotent, max(newest-c.rng.IntN(newestRouteCount), 1)
		path = addedRoutePrefix(o.Route) + "x"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fleet.frontAddress(c.machine)+path, c.newBody(id))
	if err != nil {
		return nil, o, err
	}
	request.Host = routeHost
	if c.rng.Float64() < otherSpellingFraction {
		request.Host = otherHostSpelling
		request.URL.RawPath = percentEncodeFirst(path)
	}
	request.Header.Set(headerRequest, id)
	request.Header.Set(headerDeadline, fmt.Sprint(requestDeadline.Milliseconds()))
	if o.Kind == Prompt {
		request.Header.Set(headerModel, "m")
		request.Header.Set(headerTokens, "12000,4")
		request.Header.Set(headerPrefix, fmt.Sprintf("aa:500,bb%d:5000,%s:6500", c.rng.IntN(4), id))
	}
	c.addCredentials(request, &o)
	if c.rng.Float64() < reservedFieldFraction {
		reservedFields := [][2]string{{headerStage, stagePrefill}, {headerVersion, "7"}, {headerExpected, "i-other"}, {"Kv-From", "127.0.0.1:1/none"},
			{headerTenant, tenantNames[c.rng.IntN(len(tenantNames))]}}
		field := reservedFields[c.rng.IntN(len(reservedFields))]
		request.Header.Set(field[0], field[1])
	}
	return request, o, nil
}

// addCredentials draws a request's key, and sends some requests without one to the public route.
func (c *client) addCredentials(request *http.Request, o *Outcome) {
	if c.limited != nil {
		key := c.checker.keys.limited[c.limited.tenant].text
		request.Header.Set(headerAuthorization, keyScheme+key)
		c.checker.HeaderSent(o.ID, key, false, request.Header)
		return
	}
	key, isPublic := c.checker.keys.draw(c.rng), false
	if key == "" && o.Route == 0 && c.rng.IntN(2) == 0 {
		o.Kind, isPublic = Idempotent, true
		request.URL.Path = publicRoutePrefix + "x"
	}
	if key != "" {
		request.Header.Set(headerAuthorization, keyScheme+key)
	}
	c.checker.HeaderSent(o.ID, key, isPublic, request.Header)
}

// otherHostSpelling is routeHost written in another way.
const otherHostSpelling = "SOAK.Example:8080"

// percentEncodeFirst returns a path with its first character percent-encoded, which is the same path.
func percentEncodeFirst(path string) string { return fmt.Sprintf("/%%%02X%s", path[1], path[2:]) }

// newBody returns the body of a request; that of some is sent in chunks.
func (c *client) newBody(id string) io.Reader {
	if c.rng.Float64() < chunkedFraction {
		return &chunkedReader{remaining: requestBody(id)}
	}
	return strings.NewReader(requestBody(id))
}

// sendRequest sends a request and reports its outcome to the checker. It waits for the answer also when ctx ends meanwhile.
func (c *client) sendRequest(ctx context.Context) {
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestDeadline+busyMachineSlack)
	defer cancel()
	request, o, err := c.newRequest(requestCtx)
	if err != nil {
		c.checker.ReportViolation(AnswerIsOwn, "a request can't be made: %v", err)
		return
	}
	proxy := c.machine.process(roleProxy)
	o.Incarnation = proxy.incarnation()
	c.checker.RequestSent(o.ID, o.Kind)
	c.requestCount.Add(1)
	o.SentAt = time.Now()
	o.recordResponse(c.httpClient.Do(request))
	o.EndedAt = time.Now()
	o.Disturbed = c.machine.wasDisturbed(o.SentAt, o.EndedAt) || proxy.incarnation() != o.Incarnation
	c.checker.RequestEnded(o)
	if o.Status == 0 {
		c.switchMachine()
	}
}
