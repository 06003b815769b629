package environment

import (
	"encoding/json"
	"fmt"

	"hazelwheel/internal/checker"
)

// mostKnownAgeS is how old the list in a new process's configuration may be.
const maxKnownAgeSeconds = 20.0

// StartConfiguration returns the configuration that a sidecar's new process begins with. The list in it may be old. The
// witness is told of the start and of the list.
func (w *Environment) StartConfiguration(sidecar int, now float64) []byte {
	age := randomStream(w.Day.Seed, "known", sidecar).Float64() * maxKnownAgeSeconds
	index, list := w.Discovery.asOf(max(now-age, w.Day.Start))
	w.observer.Observe(checker.Event{Kind: checker.SidecarStarted, At: now, Sidecar: int32(sidecar), Server: -1})
	w.Discovery.observeDelivery(int32(sidecar), index, list, 0, true, now)
	return w.configuration(sidecar, w.Discovery.formatList(index, list, 0, true))
}

// ReloadConfiguration returns what a sidecar's configuration says now to a process that is told to read it again.
func (w *Environment) ReloadConfiguration(sidecar int) []byte {
	index, list := w.Discovery.asOf(w.Day.Start)
	return w.configuration(sidecar, w.Discovery.formatList(index, list, 0, true))
}

type object = map[string]any

func (w *Environment) configuration(sidecar int, known []byte) []byte {
	d, s := w.Day, &w.Day.Sidecars[sidecar]
	raw, err := json.Marshal(object{"name": s.Name, "listen": s.Address, "discovery": w.Discovery.Address(),
		"seed":   fmt.Sprintf("%016x", s.Seed),
		"limits": object{"cores": 1, "memory_mb": d.MemoryMB, "sockets": d.MaxDescriptors},
		"known":  json.RawMessage(known), "settings": d.settings(sidecar)})
	if err != nil {
		panic(err) // all of it is ours, and can be marshalled
	}
	return raw
}

var (
	effectText = map[checker.Effect]string{checker.Safe: "free", checker.Keyed: "guarded", checker.Unsafe: "single_shot"}
	groupText  = map[checker.Group]string{checker.GroupAll: "all", checker.GroupZone: "zone", checker.GroupCell: "cell"}
)

// settings returns the settings object that a sidecar finds in its configuration.
func (d *Day) settings(sidecar int) object {
	var classes []object
	for _, c := range d.Classes {
		classes = append(classes, object{"name": c.Name, "effect": effectText[c.Effect], "dedupScope": groupText[c.Group],
			"giveUpS": c.TotalTimeoutSeconds, "objectiveS": c.LatencyTargetSeconds, "windowS": c.DedupWindowSeconds, "importance": c.PriorityWeight, "lateWorth": c.LateFraction,
			"stream": false})
	}
	how := "on_probe"
	if d.ReportsInline {
		how = "inline"
	}
	return object{
		"classes": classes, "clients": object{"marksRetry": d.Clients.MarksRetries}, "dcs": d.Sites, "hostTypes": d.ServerKinds,
		"deductions": object{"crossZone": 0.06, "probe": 0.0081, "waste": 0.02, "lateFail": 0.055},
		"discovery":  "on_request", "locality": d.Sidecars[sidecar].Site,
		"limits": object{"cancel": true, "connIdleS": d.ConnIdleSeconds, "connectTimeoutS": connectTimeoutSeconds, "maxRetryAfterS": maxRetryAfterSeconds,
			"peers": false, "probes": true, "retryAfter": true, "secondCopies": false, "sendCap": maxAttempts, "streamsPerConn": 1},
		"obligations": object{"answerSlackS": answerSlackSeconds, "askWithinS": pollTimeoutSeconds, "coldFrom": minColdCapacity, "coldS": maxWarmupSeconds,
			"drainGraceS": drainGraceSeconds, "fallMultiple": overloadMultiple, "fallS": overloadWindowSeconds},
		"replicasOfMe": len(d.Sidecars), "selfIndex": sidecar, "roundS": tickSeconds, "stage": 0, "tenants": []object{},
		"tiers": []string{"readings"}, "weights": "rough", "workload": "mesh", "valueBy": "request",
		"report": object{"fields": []string{"cpu_share", "failed_ps", "pending"}, "how": how},
	}
}
