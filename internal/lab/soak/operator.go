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
	host           = "soak.example"
	changeEvery    = 500 * time.Millisecond
	callWithin     = 4 * time.Second
	askAgain       = 100 * time.Millisecond
	mostVersions   = 4 // by which a version rises
	readBackWithin = 20 * time.Second
)

func addedPath(route int) string { return fmt.Sprintf("/added-%d/", route) }

// The operator's configuration, as it is sent.
type (
	configuration struct {
		Version  uint64
		Routes   []configuredRoute
		Services []configuredService
	}
	configuredRoute struct {
		Name, Host, PathPrefix, RouteType, Service string
		TimeoutMs, TargetLatencyMs                 int
		MaxAttempts, Priority                      int
		Sticky, Resumable                          bool
	}
	configuredService struct {
		Name, HealthPath string
		MaxConnections   int
		Engine           *configuredEngine `json:",omitempty"`
	}
	configuredEngine struct {
		Slots, KvTokens, KvTokenBytes int
		LinkMbps, SwitchS             float64
		HandleTTLS                    float64 `json:"HandleTtlS"`
	}
)

// operator makes one change after the other.
type operator struct {
	fleet   *fleet
	checker *Checker
	rng     *rand.Rand
	http    *http.Client
	version uint64
	sent    []byte // the configuration that was confirmed last
	whole   bool   // it was sent whole: it comes back to the letter
	routes  atomic.Int64
	slowest time.Duration // from the first sending to the confirmation
}

func newOperator(f *fleet, checker *Checker, seed uint64) *operator {
	return &operator{fleet: f, checker: checker, rng: rand.New(rand.NewPCG(seed, 2)), http: &http.Client{Timeout: callWithin}}
}

// order is one change: the configuration that it makes, and what is sent for it.
type order struct {
	version uint64
	added   int // routes that were added to the first ones
	made    []byte
	method  string
	body    []byte
}

// patch is what PATCH /config takes.
type patch struct {
	Version uint64
	Upsert  struct{ Routes []configuredRoute }
}

// next makes the configuration after the one that was confirmed last: with one more route, if it is not the first. It is sent whole or as
// a patch.
func (o *operator) next() (order, error) {
	version := o.version + 1 + uint64(o.rng.IntN(mostVersions))
	added := int(o.routes.Load())
	if o.version > 0 {
		added++
	}
	config := configuration{Version: version, Services: []configuredService{{Name: plainService, HealthPath: "/health", MaxConnections: 2000},
		{Name: modelService, HealthPath: "/health", MaxConnections: 2000, Engine: &configuredEngine{Slots: serverSlots, KvTokens: 600_000, KvTokenBytes: 35_000,
			LinkMbps: 1e6, HandleTTLS: 5, SwitchS: switchFor.Seconds()}}}}
	add := func(name, prefix, kind, service string) {
		config.Routes = append(config.Routes, configuredRoute{Name: name, Host: host, PathPrefix: prefix, RouteType: kind, Service: service,
			TimeoutMs: int(requestDeadline.Milliseconds()), TargetLatencyMs: 500, MaxAttempts: 2})
	}
	add("once", "/once/", "non_idempotent", plainService)
	add("safe", "/safe/", "idempotent", plainService)
	add("prompt", "/prompt/", "streaming", modelService)
	add("feed", "/feed/", "streaming", plainService)
	config.Routes[len(config.Routes)-1].Resumable = true
	for route := 1; route <= added; route++ {
		add(fmt.Sprint("added-", route), addedPath(route), "non_idempotent", plainService)
	}
	data, err := json.Marshal(config)
	next := order{version: version, added: added, made: data, method: http.MethodPut, body: data}
	if err != nil || o.version == 0 || o.rng.IntN(2) == 0 {
		return next, err
	}
	change := patch{Version: version}
	change.Upsert.Routes = config.Routes[len(config.Routes)-1:]
	next.method = http.MethodPatch
	next.body, err = json.Marshal(change)
	return next, err
}

// change makes one change and sends it until it is confirmed.
func (o *operator) change(ctx context.Context) {
	next, err := o.next()
	if err != nil {
		o.checker.Break(Confirmed, "a configuration can't be made: %v", err)
		return
	}
	began := time.Now()
	for ctx.Err() == nil {
		status, told := o.send(ctx, &next)
		if status == http.StatusOK {
			o.version, o.sent, o.whole = next.version, next.made, next.method == http.MethodPut
			o.checker.Acknowledged(next.added, time.Now())
			o.routes.Store(int64(next.added))
			o.slowest = max(o.slowest, time.Since(began))
			return
		}
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
			o.checker.Break(Confirmed, "%s of version %d on top of %d: %d %s", next.method, next.version, o.version, status, told)
			return
		}
		pause(ctx, askAgain)
	}
}

// send sends a change to any machine and returns the status, 0 without an answer. Those without a disk redirect it.
func (o *operator) send(ctx context.Context, next *order) (int, string) {
	machines := o.fleet.machines()
	to := machines[o.rng.IntN(len(machines))]
	request, err := http.NewRequestWithContext(ctx, next.method, "http://"+o.fleet.operator(to)+"/config", bytes.NewReader(next.body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("If-Match", fmt.Sprint(o.version))
	return o.do(request)
}

func (o *operator) do(request *http.Request) (int, string) {
	answer, err := o.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(body)
}

// run makes changes until the context ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.change(ctx)
		pause(ctx, time.Duration((0.2+1.6*o.rng.Float64())*float64(changeEvery)))
	}
}

// readBack asks each control machine for the configuration, which must be the one that was confirmed last, or a later one that was sent.
func (o *operator) readBack(ctx context.Context) {
	for _, m := range o.fleet.controls {
		deadline := time.Now().Add(readBackWithin)
		for {
			status, told := o.read(ctx, m)
			if status == http.StatusOK {
				o.compare(m, told)
				break
			}
			if time.Now().After(deadline) {
				o.checker.Break(Confirmed, "%s does not tell the configuration: %d %s", m.name, status, told)
				break
			}
			pause(ctx, askAgain)
		}
	}
}

func (o *operator) read(ctx context.Context, m *machine) (int, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.fleet.operator(m)+"/config", nil)
	if err != nil {
		return 0, err.Error()
	}
	return o.do(request)
}

func (o *operator) compare(m *machine, told string) {
	var config configuration
	if err := json.Unmarshal([]byte(told), &config); err != nil {
		o.checker.Break(Confirmed, "%s tells what can't be read: %v", m.name, err)
		return
	}
	if config.Version < o.version || config.Version == o.version && !o.same(told) {
		o.checker.Break(Confirmed, "%s tells version %d, %d was confirmed", m.name, config.Version, o.version)
	}
}

// same tells whether a configuration is the one that was confirmed last: to the letter where that was sent whole.
func (o *operator) same(told string) bool {
	if o.whole {
		return told == string(o.sent)
	}
	var is, want any
	return json.Unmarshal([]byte(told), &is) == nil && json.Unmarshal(o.sent, &want) == nil && reflect.DeepEqual(is, want)
}
