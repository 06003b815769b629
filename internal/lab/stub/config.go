package stub

import (
	"encoding/json"
	"os"
)

// Sidecar is the configuration of a sidecar whose servers are stubs.
type Sidecar struct {
	Name, Listen, Discovery string
	Cores                   float64
	MemoryMB, Sockets       int
	Pushed                  bool // discovery pushes changes; otherwise the sidecar polls
	Zones                   []string
	Replicas, Self          int
}

// The classes of the configuration, as in the shipped example.
const (
	SafeClass   = "latest-reading"
	KeyedClass  = "raise-alert"
	UnsafeClass = "log-calibration"
)

// ClassSpec configures a class. Times are in seconds.
type ClassSpec struct {
	Name, Effect, Scope                             string
	GiveUpS, ObjectiveSeconds, Worth, Late, WindowS float64
}

// ClassSpecs holds all classes.
var ClassSpecs = []ClassSpec{
	{SafeClass, "free", "all", 3.0, 0.6, 1, 0.2, 5},
	{UnsafeClass, "single_shot", "all", 3.0, 1.0, 5, 0.3, 5},
	{KeyedClass, "guarded", "zone", 2.5, 1.0, 10, 0.25, 12},
}

type object = map[string]any

// Write writes the configuration file.
func (s *Sidecar) Write(path string) error {
	text, err := s.text()
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

func (s *Sidecar) text() ([]byte, error) {
	discovery := "on_request"
	if s.Pushed {
		discovery = "pushed"
	}
	var classes []object
	for _, c := range ClassSpecs {
		classes = append(classes, object{"name": c.Name, "effect": c.Effect, "dedupScope": c.Scope, "giveUpS": c.GiveUpS,
			"objectiveS": c.ObjectiveSeconds, "importance": c.Worth, "lateWorth": c.Late, "windowS": c.WindowS})
	}
	return json.MarshalIndent(object{
		"name": s.Name, "listen": s.Listen, "discovery": s.Discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": s.Cores, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"known":  object{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": object{
			"classes": classes,
			"dcs":     s.Zones, "locality": 0, "deductions": object{"crossZone": 0.06},
			"hostTypes": []string{"large", "medium", "small"}, "discovery": discovery,
			"limits": object{"cancel": true, "probes": true, "secondCopies": false, "sendCap": 3, "connIdleS": 5.0,
				"connectTimeoutS": 0.25, "maxRetryAfterS": 1.5, "retryAfter": true},
			"obligations": object{"answerSlackS": 0.02, "askWithinS": 10.0, "drainGraceS": 0.75, "coldFrom": 0.14,
				"coldS": 24.0, "fallMultiple": 2.5, "fallS": 1.0},
			"replicasOfMe": max(s.Replicas, 1), "selfIndex": s.Self,
			"report": object{"how": "off"}, "roundS": 0.005, "weights": "rough",
		},
	}, "", "  ")
}
