package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strings"
	"sync/atomic"
	"time"
)

// The host of all routes, and the times and steps of the operator.
const (
	routeHost           = "soak.example"
	changeInterval      = 500 * time.Millisecond
	operatorCallTimeout = 4 * time.Second
	retryInterval       = 100 * time.Millisecond
	maxVersionStep      = 4 // by which a change raises the version
	readBackTimeout     = 20 * time.Second
	sharedKeyFraction   = 0.1 // of changes that are followed by a configuration in which two tenants share a key
	samePlaceFraction   = 0.1 // of changes that are followed by one in which two routes are at one place
)

// operator changes the configuration, one change after the other. Only addedRoutes may be read by other goroutines while it runs.
type operator struct {
	fleet            *fleet
	checker          *Checker
	rng              *rand.Rand
	httpClient       *http.Client
	confirmedVersion uint64        // of the last confirmed change, 0 before the first
	confirmedConfig  []byte        // the complete configuration of that version
	wasSentComplete  bool          // it was sent by PUT, so that it is returned byte by byte
	addedRoutes      atomic.Int64  // in the confirmed configuration
	slowestChange    time.Duration // longest time from sending a change to its confirmation
}

// newOperator returns an operator of a fleet that has no configuration yet.
func newOperator(f *fleet, checker *Checker, seed uint64) *operator {
	return &operator{fleet: f, checker: checker, rng: rand.New(rand.NewPCG(seed, 2)), httpClient: &http.Client{Timeout: operatorCallTimeout}}
}

// change is one change of the configuration: its result, and the request that makes it.
type change struct {
	version     uint64
	addedRoutes int    // added to those of the first configuration
	config      []byte // the complete configuration after the change
	httpMethod  string // PUT of the complete configuration, or PATCH
	body        []byte
}

// nextChange makes the change after the confirmed configuration: the first configuration, or one more route with a change of keys, by PUT or PATCH.
func (o *operator) nextChange() (change, error) {
	version := o.confirmedVersion + 1 + uint64(o.rng.IntN(maxVersionStep))
	addedRoutes := int(o.addedRoutes.Load())
	if o.confirmedVersion > 0 {
		addedRoutes++
	}
	config := newConfiguration(version, addedRoutes, o.checker.keys.prepareChange(o.rng))
	data, err := json.Marshal(config)
	made := change{version: version, addedRoutes: addedRoutes, config: data, httpMethod: http.MethodPut, body: data}
	if err != nil || o.confirmedVersion == 0 || o.rng.IntN(2) == 0 {
		return made, err
	}
	partial := configPatch{Version: version}
	partial.Upsert.Routes, partial.Upsert.Tenants = config.Routes[len(config.Routes)-1:], config.Tenants
	made.httpMethod = http.MethodPatch
	made.body, err = json.Marshal(partial)
	return made, err
}

// applyChange makes one change and sends it until it is confirmed or ctx ends. That it is refused is a violation.
func (o *operator) applyChange(ctx context.Context) {
	next, err := o.nextChange()
	if err != nil {
		o.checker.ReportViolation(ConfigurationConfirmed, "a configuration can't be made: %v", err)
		return
	}
	startedAt := time.Now()
	for ctx.Err() == nil {
		status, answer := o.send(ctx, &next)
		if status == http.StatusOK {
			o.confirmedVersion, o.confirmedConfig, o.wasSentComplete = next.version, next.config, next.httpMethod == http.MethodPut
			o.checker.keys.confirm()
			o.checker.ConfigurationAcknowledged(next.addedRoutes, time.Now())
			o.addedRoutes.Store(int64(next.addedRoutes))
			o.slowestChange = max(o.slowestChange, time.Since(startedAt))
			return
		}
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
			o.checker.ReportViolation(ConfigurationConfirmed, "%s of version %d on top of %d: %d %s", next.httpMethod, next.version, o.confirmedVersion, status, answer)
			return
		}
		sleep(ctx, retryInterval)
	}
}

// send sends a change to a drawn machine and returns the status and the body of the answer; without an answer, 0 and the error. Machines without a
// disk redirect it to a control machine.
func (o *operator) send(ctx context.Context, change *change) (int, string) {
	machines := o.fleet.machines()
	target := machines[o.rng.IntN(len(machines))]
	request, err := http.NewRequestWithContext(ctx, change.httpMethod, "http://"+o.fleet.operatorAddress(target)+"/config", bytes.NewReader(change.body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("If-Match", fmt.Sprint(o.confirmedVersion))
	return o.do(request)
}

// do sends a request and returns the status and the body of the answer; without a complete answer, 0 and the error.
func (o *operator) do(request *http.Request) (int, string) {
	response, err := o.httpClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // read only
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// sendSharedKey sends a configuration in which two tenants share a key. It must not be accepted, and its answer must not show the key.
func (o *operator) sendSharedKey(ctx context.Context) {
	const shared = keyMarker + "shared"
	tenants := []configuredTenant{{Name: tenantNames[0], APIKeys: []string{shared}}, {Name: tenantNames[1], APIKeys: []string{shared}}}
	data, err := json.Marshal(newConfiguration(o.confirmedVersion+1, 0, tenants))
	if err != nil {
		o.checker.ReportViolation(ConfigurationConfirmed, "a configuration can't be made: %v", err)
		return
	}
	status, answer := o.send(ctx, &change{httpMethod: http.MethodPut, body: data})
	switch {
	case status == http.StatusOK:
		o.checker.ReportViolation(ConfigurationConfirmed, "a configuration in which two tenants share a key was accepted")
	case strings.Contains(answer, keyMarker):
		o.checker.ReportViolation(KeyNotShown, "the answer to a configuration in which two tenants share a key shows it")
	case status == http.StatusBadRequest && !(strings.Contains(answer, tenantNames[0]) && strings.Contains(answer, tenantNames[1])):
		o.checker.ReportViolation(ConfigurationConfirmed, "the answer to a shared key names not both tenants: %.100q", answer)
	}
}

// samePlaces are routes at the place of the first one, written in another way.
var samePlaces = []configuredRoute{{Host: routeHost, PathPrefix: "/once/"}, {Host: "Soak.Example", PathPrefix: "/once/"},
	{Host: routeHost + ":8080", PathPrefix: "/once/"}, {Host: routeHost, PathPrefix: "/%6fnce/"}}

// sendSamePlace sends a configuration with two routes at one place, as a whole or as a patch. It must not be accepted.
func (o *operator) sendSamePlace(ctx context.Context) {
	added := samePlaces[o.rng.IntN(len(samePlaces))]
	added.Name, added.RouteType, added.Service, added.TimeoutMs = "same-place", "idempotent", plainService, int(requestDeadline.Milliseconds())
	config := newConfiguration(o.confirmedVersion+1, 0, nil)
	config.Routes = append(config.Routes, added)
	partial := configPatch{Version: o.confirmedVersion + 1}
	partial.Upsert.Routes = []configuredRoute{added}
	invalid, content := change{httpMethod: http.MethodPut}, any(config)
	if o.rng.IntN(2) == 0 {
		invalid.httpMethod, content = http.MethodPatch, any(partial)
	}
	body, err := json.Marshal(content)
	if err != nil {
		o.checker.ReportViolation(ConfigurationConfirmed, "a configuration can't be made: %v", err)
		return
	}
	invalid.body = body
	status, answer := o.send(ctx, &invalid)
	switch {
	case status == http.StatusOK:
		o.checker.ReportViolation(InvalidRefused, "%s of a route at %s%s beside the first one was accepted", invalid.httpMethod, added.Host, added.PathPrefix)
	case status == http.StatusBadRequest && !strings.Contains(answer, "Routes["):
		o.checker.ReportViolation(InvalidRefused, "the answer to two routes at one place doesn't name the route: %.100q", answer)
	}
}

// run makes changes until ctx ends, and sends an invalid one now and then.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.applyChange(ctx)
		if o.rng.Float64() < sharedKeyFraction && !o.checker.hasEarlierVersions { // which accept it
			o.sendSharedKey(ctx)
		}
		if o.rng.Float64() < samePlaceFraction && !o.checker.hasEarlierVersions {
			o.sendSamePlace(ctx)
		}
		sleep(ctx, time.Duration((0.2+1.6*o.rng.Float64())*float64(changeInterval)))
	}
}

// checkReadBack reads the configuration from each control machine, which must be the confirmed one, or a later one that was sent.
func (o *operator) checkReadBack(ctx context.Context) {
	for _, m := range o.fleet.controlMachines {
		deadline := time.Now().Add(readBackTimeout)
		for {
			status, answer := o.readConfig(ctx, m)
			if status == http.StatusOK {
				o.checkConfig(m, answer)
				break
			}
			if time.Now().After(deadline) {
				o.checker.ReportViolation(ConfigurationConfirmed, "%s does not tell the configuration: %d %s", m.name, status, answer)
				break
			}
			sleep(ctx, retryInterval)
		}
	}
}

// readConfig reads the configuration from a machine; the results are those of do.
func (o *operator) readConfig(ctx context.Context, m *machine) (int, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.fleet.operatorAddress(m)+"/config", nil)
	if err != nil {
		return 0, err.Error()
	}
	return o.do(request)
}

// checkConfig reports a violation if a configuration read from a machine is invalid, older than the confirmed one, or differs from it at the same
// version.
func (o *operator) checkConfig(m *machine, answer string) {
	var config configuration
	if err := json.Unmarshal([]byte(answer), &config); err != nil {
		o.checker.ReportViolation(ConfigurationConfirmed, "%s tells what can't be read: %v", m.name, err)
		return
	}
	if config.Version < o.confirmedVersion || config.Version == o.confirmedVersion && !o.isConfirmedConfig(answer) {
		o.checker.ReportViolation(ConfigurationConfirmed, "%s tells version %d, %d was confirmed", m.name, config.Version, o.confirmedVersion)
	}
}

// isConfirmedConfig reports whether a configuration is the confirmed one: byte by byte after a PUT, else as JSON.
func (o *operator) isConfirmedConfig(answer string) bool {
	if o.wasSentComplete {
		return answer == string(o.confirmedConfig)
	}
	var actual, expected any
	return json.Unmarshal([]byte(answer), &actual) == nil && json.Unmarshal(o.confirmedConfig, &expected) == nil && reflect.DeepEqual(actual, expected)
}
