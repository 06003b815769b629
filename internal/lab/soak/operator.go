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
	"sync/atomic"
	"time"
)

const (
	routeHost           = "soak.example"
	changeInterval      = 500 * time.Millisecond
	operatorCallTimeout = 4 * time.Second
	retryInterval       = 100 * time.Millisecond
	maxVersionStep      = 4 // by which a version rises
	readBackTimeout     = 20 * time.Second
)

// operator makes one change after the other.
type operator struct {
	fleet            *fleet
	checker          *Checker
	rng              *rand.Rand
	httpClient       *http.Client
	confirmedVersion uint64
	confirmedConfig  []byte // the configuration that was confirmed last
	wasSentComplete  bool   // it was sent whole: it comes back to the letter
	addedRoutes      atomic.Int64
	slowestChange    time.Duration // from the first sending to the confirmation
}

func newOperator(f *fleet, checker *Checker, seed uint64) *operator {
	return &operator{fleet: f, checker: checker, rng: rand.New(rand.NewPCG(seed, 2)), httpClient: &http.Client{Timeout: operatorCallTimeout}}
}

// order is one change: the configuration that it makes, and what is sent for it.
type change struct {
	version     uint64
	addedRoutes int // routes that were added to the first ones
	config      []byte
	method      string
	body        []byte
}

// next makes the configuration after the one that was confirmed last: with one more route, if it is not the first. It is sent whole or as
// a patch.
func (o *operator) made() (change, error) {
	version := o.confirmedVersion + 1 + uint64(o.rng.IntN(maxVersionStep))
	addedRoutes := int(o.addedRoutes.Load())
	if o.confirmedVersion > 0 {
		addedRoutes++
	}
	config := configuration{Version: version, Services: []configuredService{{Name: plainService, HealthPath: "/health", MaxConnections: 2000},
		{Name: modelService, HealthPath: "/health", MaxConnections: 2000, Engine: &configuredEngine{Slots: serverSlots, KvTokens: 600_000, KvTokenBytes: 35_000,
			LinkMbps: 1e6, HandleTTLS: 5, SwitchS: stageSwitchDuration.Seconds()}}}}
	add := func(name, prefix, routeType, service string) {
		config.Routes = append(config.Routes, configuredRoute{Name: name, Host: routeHost, PathPrefix: prefix, RouteType: routeType, Service: service,
			TimeoutMs: int(requestDeadline.Milliseconds()), TargetLatencyMs: 500, MaxAttempts: 2})
	}
	add("once", "/once/", "non_idempotent", plainService)
	add("safe", "/safe/", "idempotent", plainService)
	add("prompt", "/prompt/", "streaming", modelService)
	add("feed", "/feed/", "streaming", plainService)
	config.Routes[len(config.Routes)-1].Resumable = true
	for route := 1; route <= addedRoutes; route++ {
		add(fmt.Sprint("added-", route), addedRoutePrefix(route), "non_idempotent", plainService)
	}
	data, err := json.Marshal(config)
	made := change{version: version, addedRoutes: addedRoutes, config: data, method: http.MethodPut, body: data}
	if err != nil || o.confirmedVersion == 0 || o.rng.IntN(2) == 0 {
		return made, err
	}
	partial := configPatch{Version: version}
	partial.Upsert.Routes = config.Routes[len(config.Routes)-1:]
	made.method = http.MethodPatch
	made.body, err = json.Marshal(partial)
	return made, err
}

// change makes one change and sends it until it is confirmed.
func (o *operator) applyChange(ctx context.Context) {
	next, err := o.made()
	if err != nil {
		o.checker.ReportViolation(ConfigurationConfirmed, "a configuration can't be made: %v", err)
		return
	}
	startedAt := time.Now()
	for ctx.Err() == nil {
		status, answer := o.send(ctx, &next)
		if status == http.StatusOK {
			o.confirmedVersion, o.confirmedConfig, o.wasSentComplete = next.version, next.config, next.method == http.MethodPut
			o.checker.ConfigurationAcknowledged(next.addedRoutes, time.Now())
			o.addedRoutes.Store(int64(next.addedRoutes))
			o.slowestChange = max(o.slowestChange, time.Since(startedAt))
			return
		}
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
			o.checker.ReportViolation(ConfigurationConfirmed, "%s of version %d on top of %d: %d %s", next.method, next.version, o.confirmedVersion, status, answer)
			return
		}
		sleep(ctx, retryInterval)
	}
}

// send sends a change to any machine and returns the status, 0 without an answer. Those without a disk redirect it.
func (o *operator) send(ctx context.Context, change *change) (int, string) {
	machines := o.fleet.machines()
	target := machines[o.rng.IntN(len(machines))]
	request, err := http.NewRequestWithContext(ctx, change.method, "http://"+o.fleet.operatorAddress(target)+"/config", bytes.NewReader(change.body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("If-Match", fmt.Sprint(o.confirmedVersion))
	return o.do(request)
}

func (o *operator) do(request *http.Request) (int, string) {
	response, err := o.httpClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// run makes changes until the context ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.applyChange(ctx)
		sleep(ctx, time.Duration((0.2+1.6*o.rng.Float64())*float64(changeInterval)))
	}
}

// readBack asks each control machine for the configuration, which must be the one that was confirmed last, or a later one that was sent.
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

func (o *operator) readConfig(ctx context.Context, m *machine) (int, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.fleet.operatorAddress(m)+"/config", nil)
	if err != nil {
		return 0, err.Error()
	}
	return o.do(request)
}

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

// same tells whether a configuration is the one that was confirmed last: to the letter where that was sent whole.
func (o *operator) isConfirmedConfig(answer string) bool {
	if o.wasSentComplete {
		return answer == string(o.confirmedConfig)
	}
	var actual, expected any
	return json.Unmarshal([]byte(answer), &actual) == nil && json.Unmarshal(o.confirmedConfig, &expected) == nil && reflect.DeepEqual(actual, expected)
}
