package environment

import (
	"encoding/json"
	"fmt"

	"hazelwheel/internal/checker"
)

// maxKnownAgeSeconds is how old the list in a new process's configuration may be.
const maxKnownAgeSeconds = 20.0

// StartConfiguration returns the configuration that a sidecar's new process starts with. The list in it may be old. It
// reports the start and the list to the observer.
func (e *Environment) StartConfiguration(sidecar int, now float64) []byte {
	age := randomStream(e.Day.Seed, "known", sidecar).Float64() * maxKnownAgeSeconds
	index, list := e.Discovery.asOf(max(now-age, e.Day.Start))
	e.observer.Observe(checker.Event{Kind: checker.SidecarStarted, At: now, Sidecar: int32(sidecar), Server: -1})
	e.Discovery.observeDelivery(int32(sidecar), index, list, 0, true, now)
	return e.configuration(sidecar, e.Discovery.formatList(index, list, 0, true))
}

// ReloadConfiguration returns the configuration that a sidecar's process reads on a reload.
func (e *Environment) ReloadConfiguration(sidecar int) []byte {
	index, list := e.Discovery.asOf(e.Day.Start)
	return e.configuration(sidecar, e.Discovery.formatList(index, list, 0, true))
}

type object = map[string]any

// configuration returns a sidecar's configuration with a list of endpoints.
func (e *Environment) configuration(sidecar int, knownList []byte) []byte {
	day, spec := e.Day, &e.Day.Sidecars[sidecar]
	raw, err := json.Marshal(object{"name": spec.Name, "listen": spec.Address, "discovery": e.Discovery.Address(),
		"seed":   fmt.Sprintf("%016x", spec.Seed),
		"limits": object{"cores": 1, "memory_mb": day.MemoryMB, "sockets": day.MaxDescriptors},
		"known":  json.RawMessage(knownList), "settings": day.settings(sidecar)})
	if err != nil {
		panic(err) // all values are this package's, and can be marshalled
	}
	return raw
}

var (
	effectText = map[checker.Effect]string{checker.Safe: "free", checker.Keyed: "guarded", checker.Unsafe: "single_shot"}
	groupText  = map[checker.Group]string{checker.GroupAll: "all", checker.GroupZone: "zone", checker.GroupCell: "cell"}
)

// settings returns the settings object of a sidecar's configuration.
func (d *Day) settings(sidecar int) object {
	var classes []object
	for _, class := range d.Classes {
		classes = append(classes, object{"name": class.Name, "effect": effectText[class.Effect], "dedupScope": groupText[class.Group],
			"giveUpS": class.TotalTimeoutSeconds, "objectiveS": class.LatencyTargetSeconds, "windowS": class.DedupWindowSeconds, "importance": class.PriorityWeight, "lateWorth": class.LateFraction,
			"stream": false})
	}
	how := "on_probe"
	if d.ReportsInline {
		how = "inline"
	}
	return object{
		"classes": classes, "clients": object{"marksRetry": d.Clients.FlagsRetries}, "dcs": d.Sites, "hostTypes": d.ServerKinds,
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
