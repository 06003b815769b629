package soak

import "fmt"

func addedRoutePrefix(route int) string { return fmt.Sprintf("/added-%d/", route) }

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

// patch is what PATCH /config takes.
type configPatch struct {
	Version uint64
	Upsert  struct{ Routes []configuredRoute }
}
