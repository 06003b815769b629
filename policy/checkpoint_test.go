package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"unsafe"
)

// actionLog records the actions of a Balancer as lines.
type actionLog struct {
	lines  []string
	sends  [][2]uint32
	probes []uint32
	wakes  []float64
}

func (t *actionLog) record(format string, args ...any) {
	t.lines = append(t.lines, fmt.Sprintf(format, args...))
}

func (t *actionLog) Send(id, host uint32) {
	t.record("send %d %d", id, host)
	t.sends = append(t.sends, [2]uint32{id, host})
}
func (t *actionLog) Cancel(id uint32, n int) { t.record("cancel %d %d", id, n) }
func (t *actionLog) Probe(host uint32) {
	t.record("probe %d", host)
	t.probes = append(t.probes, host)
}
func (t *actionLog) CloseIdle(host uint32)           { t.record("close %d", host) }
func (t *actionLog) Refuse(id uint32, after float64) { t.record("refuse %d %v", id, after) }
func (t *actionLog) Fail(id uint32)                  { t.record("fail %d", id) }
func (t *actionLog) WakeAfter(s float64)             { t.record("wake %v", s); t.wakes = append(t.wakes, s) }
func (t *actionLog) Watch()                          { t.record("watch") }
func (t *actionLog) Log(text string)                 { t.record("log %s", text) }
func (t *actionLog) drain() string                   { s := strings.Join(t.lines, "\n"); t.lines = nil; return s }

// settingsVariants returns settings that together exercise all mechanisms.
func settingsVariants() []Settings {
	tenants := polledSettings()
	tenants.Tenants = []Tenant{{"a", 0.7, 9}, {"b", 0.3, 4}}
	tenants.CrossZonePrice, tenants.SizesComparable, tenants.ListOnDemand = 0.05, true, true
	deepProbes := baseSettings()
	deepProbes.ProbesEnabled, deepProbes.GoneHostsUsable, deepProbes.HedgingAllowed, deepProbes.ConnIdleTimeoutSeconds, deepProbes.ListOnDemand = true, true, false, 5, true
	answers := baseSettings()
	answers.ReportFields, answers.Replicas, answers.Self = []ReportField{FieldQueue, FieldInflight}, 3, 2
	for i := range answers.Classes { // long enough for requests to outlive the hosts that they were sent to
		answers.Classes[i].LatencyTargetSeconds, answers.Classes[i].TotalTimeoutSeconds = 800, 1000
	}
	return []Settings{baseSettings(), polledSettings(), tenants, deepProbes, answers}
}

// runRandomEvents feeds seeded random events among 30 hosts to a Balancer. It calls step after each event; step can apply the
// same event to another Balancer.
func runRandomEvents(s Settings, seed uint64, steps int, acts *actionLog, step func(i int, b *Balancer, event func(*Balancer))) *Balancer {
	return runRandomEventsAmong(30, s, seed, steps, acts, step)
}

// runRandomEventsAmong does the same as runRandomEvents for a given number of hosts.
func runRandomEventsAmong(hosts int, s Settings, seed uint64, steps int, acts *actionLog, step func(i int, b *Balancer, event func(*Balancer))) *Balancer {
	rng := rand.New(rand.NewPCG(seed, 77))
	now, nextID := 1.7e9, uint32(1)
	b := New(s, seed, acts)
	var out [][2]uint32
	tries := map[uint32]int{}
	started := make([]float64, hosts)
	states := make([]HostState, hosts)
	for i := range steps {
		now += 0.02 * rng.ExpFloat64()
		if rng.IntN(2000) == 0 {
			now += 70 // long enough for hosts to be forgotten
		}
		report := Report{N: 2, Values: [4]float32{float32(rng.IntN(9)), float32(rng.IntN(9))}}
		if rng.IntN(9) == 0 {
			report.Values[0] = float32(math.NaN())
		}
		var event func(*Balancer)
		switch x := rng.IntN(100); {
		case i == 0 || x < 4:
			kind, list := ListKind(rng.IntN(4)), []HostInfo(nil)
			if i == 0 {
				kind = ListFull
			}
			for h := range states {
				switch rng.IntN(8) {
				case 0:
					states[h] = HostState(rng.IntN(3))
				case 1:
					started[h] = now - 2*rng.Float64()
				}
				if i == 0 {
					states[h] = Ready
				}
				if kind == ListFull && states[h] != Gone || kind == ListDelta && rng.IntN(3) == 0 || kind == ListCached {
					list = append(list, HostInfo{ID: uint32(h*7 + 1), Zone: h % 3, Cell: h % 5, State: states[h], Size: 1 + float64(h%2), Started: started[h]})
				}
			}
			at := now
			event = func(b *Balancer) { b.UpdateHosts(at, kind, list) }
		case x < 35:
			q := Request{ID: nextID, Class: rng.IntN(len(s.Classes)), Tenant: rng.IntN(2), Key: rng.Uint64(),
				Deadline: now + s.Classes[0].TotalTimeoutSeconds*(0.3+rng.Float64()), WorkSeconds: rng.ExpFloat64(), HasWork: rng.IntN(2) == 0, Repeat: rng.IntN(4) == 0, HeldBackSeconds: float64(rng.IntN(2))}
			nextID++
			at := now
			event = func(b *Balancer) { b.StartRequest(at, q) }
		case x < 65 && len(out) > 0:
			j := rng.IntN(len(out))
			o := out[j]
			out = slices.Delete(out, j, j+1)
			n := tries[o[0]] - 1 // the last attempt; the Balancer ignores results that do not fit
			res := Result{ID: o[0], Attempt: n, Host: o[1], Outcome: Outcome(rng.IntN(8)), DelaySeconds: rng.ExpFloat64() * 0.1, Report: report}
			if rng.IntN(2) == 0 {
				res.Outcome, res.Final = OK, true
			}
			at := now
			event = func(b *Balancer) { b.AttemptDone(at, res) }
		case x < 80 && len(acts.probes) > 0:
			host := acts.probes[0]
			acts.probes = acts.probes[1:]
			res := Result{Host: host, Outcome: Outcome(rng.IntN(6)), DelaySeconds: rng.Float64() * 0.05, Report: report}
			if rng.IntN(3) > 0 {
				res.Outcome = OK
			}
			at := now
			event = func(b *Balancer) { b.ProbeDone(at, res) }
		case x < 82:
			at, id := now, nextID-uint32(rng.IntN(10))-1
			event = func(b *Balancer) { b.Abandoned(at, id) }
		default:
			if len(acts.wakes) > 0 {
				now += min(acts.wakes[len(acts.wakes)-1], 0.1)
			}
			at := now
			event = func(b *Balancer) { b.Wake(at) }
		}
		acts.sends = acts.sends[:0]
		event(b)
		for _, o := range acts.sends {
			tries[o[0]]++
			out = append(out, o)
		}
		step(i, b, event)
	}
	return b
}

// A Balancer that is restored from a checkpoint acts exactly as the original does on the events that follow.
func TestRestoredBalancerActsAlike(t *testing.T) {
	const steps, every = 6000, 150
	for n, s := range settingsVariants() {
		var restored *Balancer
		acts, copied := &actionLog{}, &actionLog{}
		actionCounts := map[string]int{}
		runRandomEvents(s, uint64(n+1), steps, acts, func(i int, b *Balancer, event func(*Balancer)) {
			want := acts.drain()
			for line := range strings.Lines(want) {
				actionCounts[strings.Fields(line)[0]]++
			}
			if restored != nil {
				event(restored)
				if got := copied.drain(); want != got {
					t.Fatalf("settings %d, event %d: actions of the original\n%s\nof the restored one\n%s", n, i, want, got)
				}
			}
			if i%every == every-1 {
				state, ok := b.Checkpoint(nil, 1<<20)
				if !ok {
					t.Fatalf("settings %d, event %d: no checkpoint", n, i)
				}
				var err error
				if restored, err = Restore(s, state, copied); err != nil {
					t.Fatalf("settings %d, event %d: %v", n, i, err)
				}
			}
		})
		for _, kind := range []string{"send", "refuse", "wake"} { // otherwise the comparison would be of little value
			if actionCounts[kind] < 100 {
				t.Errorf("settings %d: %d actions of kind %s, want at least 100", n, actionCounts[kind], kind)
			}
		}
	}
}

// fillFields sets every number and bool below v to a distinct value other than zero. Fields on which pointers and indices depend
// keep their values.
func fillFields(v reflect.Value, next *float64, seen map[unsafe.Pointer]bool) {
	*next++
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || seen[v.UnsafePointer()] {
			return
		}
		seen[v.UnsafePointer()] = true
		fillFields(v.Elem(), next, seen)
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Field(i)
			switch v.Type().Field(i).Name {
			case "settings", "actions", "pcg", "rng", "ID", "requestID", "liveIndex", "queue", "queueIndex", "groups":
			case "class", "Class":
				if f.Kind() == reflect.Int {
					settable(f).SetInt(int64(*next)%2 + 1) // the class pointers are set accordingly by the caller
				}
			default:
				fillFields(settable(f), next, seen)
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			fillFields(v.Index(i), next, seen)
		}
	case reflect.Float32, reflect.Float64:
		if v.SetFloat(*next + 0.25); int(*next)%10 == 0 {
			v.SetFloat(math.Inf(1 - int(*next)%4))
		}
	case reflect.Int:
		v.SetInt(int64(*next))
	case reflect.Uint8:
		v.SetUint(uint64(*next)%2 + 1)
	case reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Map: // filled by the slices with the same elements
	default:
		panic("unhandled type " + v.Type().String())
	}
}

// settable returns an unexported field as a value that can be set.
func settable(f reflect.Value) reflect.Value {
	return reflect.NewAt(f.Type(), unsafe.Pointer(f.UnsafeAddr())).Elem()
}

// compareFields reports the differences below two values and follows pointers. filled records, by path, which slices have
// elements.
func compareFields(t *testing.T, at string, a, b reflect.Value, seen map[unsafe.Pointer]unsafe.Pointer, filled map[string]bool) {
	t.Helper()
	switch a.Kind() {
	case reflect.Pointer:
		if a.IsNil() != b.IsNil() {
			t.Errorf("%s: only one of the pointers is nil", at)
			return
		}
		if a.IsNil() {
			return
		}
		if twin, known := seen[a.UnsafePointer()]; known {
			if twin != b.UnsafePointer() {
				t.Errorf("%s: points to another object than in the original", at)
			}
			return
		}
		seen[a.UnsafePointer()] = b.UnsafePointer()
		compareFields(t, at, a.Elem(), b.Elem(), seen, filled)
	case reflect.Struct:
		for i := range a.NumField() {
			if f := a.Type().Field(i).Name; !slices.Contains([]string{"settings", "actions", "rng", "queue", "queueIndex", "gapMean", "gapSigma", "wasMember", "groups"}, f) {
				compareFields(t, a.Type().Name()+"."+f, a.Field(i), b.Field(i), seen, filled)
			}
		}
	case reflect.Slice:
		filled[at] = filled[at] || a.Len() > 0
		if a.Len() != b.Len() {
			t.Errorf("%s: %d elements in the original, %d in the restored one", at, a.Len(), b.Len())
			return
		}
		for i := range a.Len() {
			compareFields(t, at, a.Index(i), b.Index(i), seen, filled)
		}
	case reflect.Map:
		if a.Len() != b.Len() {
			t.Errorf("%s: %d elements in the original, %d in the restored one", at, a.Len(), b.Len())
			return
		}
		for _, k := range a.MapKeys() {
			if !b.MapIndex(k).IsValid() {
				t.Errorf("%s: key %v is missing", at, k)
				continue
			}
			compareFields(t, at, a.MapIndex(k), b.MapIndex(k), seen, filled)
		}
	default:
		if !a.Equal(b) {
			t.Errorf("%s: %v in the original, %v in the restored one", at, a, b)
		}
	}
}

// Every field of a Balancer is in its checkpoint: the test sets all of them, and one that is not written would come back as zero.
// The state includes a host that was dropped from the list and listed again, which is two objects with the same ID.
func TestCheckpointKeepsEveryField(t *testing.T) {
	s := settingsVariants()[2]
	var b *Balancer
	for seed := uint64(1); b == nil; seed++ { // until a run ends with live requests, attempts in flight and unserved requests
		x := runRandomEvents(s, seed, 300, &actionLog{}, func(int, *Balancer, func(*Balancer)) {})
		sent := slices.IndexFunc(x.liveRequests, func(r *request) bool { return len(r.attempts) > 0 })
		if sent >= 0 && len(x.liveRequests) > 1 && len(x.unserved) > 0 && slices.ContainsFunc(x.sortedHosts, func(h *host) bool { return len(h.inFlight) > 0 }) {
			b = x
			gone := *x.sortedHosts[0]
			gone.inFlight, gone.gaps = slices.Clone(gone.inFlight), slices.Clone(gone.gaps)
			gone.rejections, gone.backoffUntil = slices.Clone(gone.rejections), slices.Clone(gone.backoffUntil)
			x.liveRequests[sent].attempts[0].host, x.liveRequests[sent].suspectHost = &gone, x.sortedHosts[1]
			x.liveRequests[1-min(sent, 1)].suspectHost = &gone
		}
	}
	next := 0.0
	fillFields(reflect.ValueOf(b), &next, map[unsafe.Pointer]bool{})
	for _, r := range b.liveRequests {
		r.class = &b.settings.Classes[r.Request.Class]
	}
	state, ok := b.Checkpoint(nil, 1<<20)
	if !ok {
		t.Fatal("no checkpoint")
	}
	restored, err := Restore(s, state, &actionLog{})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range restored.liveRequests {
		if r.isWaiting != (r.queueIndex > 0) || r.isWaiting && restored.queue.heap[r.queueIndex-1] != r {
			t.Error("a waiting request is not in the queue, or one that does not wait is in it")
		}
	}
	filled := map[string]bool{}
	compareFields(t, "", reflect.ValueOf(b), reflect.ValueOf(restored), map[unsafe.Pointer]unsafe.Pointer{}, filled)
	for at, some := range filled {
		if !some {
			t.Errorf("%s: empty, so the test does not cover it", at)
		}
	}
}

// Truncated or extended checkpoints are rejected, and none is written beyond maxBytes.
func TestBrokenCheckpointIsRejected(t *testing.T) {
	s := settingsVariants()[2]
	b := runRandomEvents(s, 3, 500, &actionLog{}, func(int, *Balancer, func(*Balancer)) {})
	state, _ := b.Checkpoint(nil, 1<<20)
	for n := range state {
		if _, err := Restore(s, state[:n], &actionLog{}); err == nil {
			t.Fatalf("a checkpoint truncated to %d of %d bytes was accepted", n, len(state))
		}
		buf := make([]byte, 0, n)
		if got, ok := b.Checkpoint(buf, n); ok || len(got) > n {
			t.Fatalf("maxBytes %d did not limit a checkpoint of %d bytes", n, len(state))
		}
	}
	if _, ok := b.Checkpoint(nil, len(state)); !ok {
		t.Error("maxBytes of exactly the length of the checkpoint is not enough")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20000 { // corrupt bytes may restore an invalid state, but must not panic
		broken := slices.Clone(state)
		broken[1+rng.IntN(len(state)-1)] ^= byte(1 + rng.IntN(255))
		_, _ = Restore(s, broken, &actionLog{})
	}
	if _, err := Restore(s, append(state, 0), &actionLog{}); err == nil {
		t.Error("a checkpoint with a byte appended was accepted")
	}
}

// A checkpoint blocks the event loop, so it must be fast.
func BenchmarkCheckpoint(b *testing.B) {
	live := runRandomEvents(settingsVariants()[2], 3, 5000, &actionLog{}, func(int, *Balancer, func(*Balancer)) {})
	buf := make([]byte, 0, 1<<16)
	for b.Loop() {
		if _, ok := live.Checkpoint(buf, cap(buf)); !ok {
			b.Fatal("the checkpoint exceeds its bound")
		}
	}
	state, _ := live.Checkpoint(buf, cap(buf))
	b.ReportMetric(float64(len(state)), "bytes")
}
