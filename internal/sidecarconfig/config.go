// Package sidecarconfig reads and validates the configuration of a sidecar: the file that GW_CONFIG names and the environment variables
// GW_*. An error is one line that begins with the name of the invalid field or variable.
package sidecarconfig

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"strconv"
)

// Environment variables. One that is set overrides its field in the file, unless that field has changed since the process started.
const (
	EnvName      = "GW_NAME"
	EnvListen    = "GW_LISTEN"
	EnvDiscovery = "GW_DISCOVERY"
	EnvOps       = "GW_OPS"

	// EnvPassed holds the number of an inherited descriptor: a socket that listens for clients.
	EnvPassed = "GW_PASSED_SOCKET"
	// EnvFile holds the path of the configuration file.
	EnvFile = "GW_CONFIG"
)

// Defaults for limits that the file does not set.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	// minSockets is the lowest valid limit: with fewer, the descriptors of the process itself leave too few for traffic.
	minSockets = 64
)

// Limits are the resources that the process may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the configuration of a sidecar.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Ops       string // address of the admin endpoint; empty: there is none
	Seed      uint64
	Limits    Limits
	Known     json.RawMessage // the last known list of servers, in discovery's format; may be empty
	Settings  Settings
	Warnings  []string // one line for each missing or invalid setting that was replaced
	Passed    int      // the descriptor of the inherited socket; 0: there is none

	initial [4]string // the file's overridable fields when the process started
}

// file is the JSON form of the configuration file.
type file struct {
	Name, Listen, Discovery, Ops, Seed string
	Limits                             Limits
	Known, Settings                    json.RawMessage
}

// overridable returns the fields that environment variables can override.
func (f *file) overridable() [4]string { return [4]string{f.Name, f.Listen, f.Discovery, f.Ops} }

// Load reads the file at path and applies the environment variables.
func Load(path string, getenv func(string) string) (Config, error) { return load(path, getenv, nil) }

// Reload reads the file again. Environment variables date from the start of the process, so a field of the file that has changed since then
// takes precedence over its variable.
func (c *Config) Reload(path string, getenv func(string) string) (Config, error) {
	return load(path, getenv, &c.initial)
}

// load reads the file at path and applies the environment variables. initial holds the overridable fields of the
// file that the process started with; it is nil for the first load.
func load(path string, getenv func(string) string, initial *[4]string) (Config, error) {
	if path == "" {
		return Config{}, fmt.Errorf("%s: not set, and no --config given", EnvFile)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", EnvFile, err)
	}
	return parse(raw, getenv, initial)
}

// Parse parses the content of a file without applying environment variables.
func Parse(raw []byte) (Config, error) {
	return parse(raw, func(string) string { return "" }, nil)
}

// parse parses the content of a file and applies the environment variables; initial is that of load.
func parse(raw []byte, getenv func(string) string, initial *[4]string) (Config, error) {
	f := file{Limits: Limits{Cores: defaultCores, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}}
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("%s: not the JSON that is wanted: %w", EnvFile, err)
	}
	current := f.overridable()
	if initial == nil {
		initial = &current
	}
	for i, field := range []*string{&f.Name, &f.Listen, &f.Discovery, &f.Ops} {
		if v := getenv([...]string{EnvName, EnvListen, EnvDiscovery, EnvOps}[i]); v != "" && current[i] == initial[i] {
			*field = v
		}
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Ops: f.Ops, Limits: f.Limits, Known: f.Known, initial: *initial}
	if v := getenv(EnvPassed); v != "" {
		fd, err := strconv.Atoi(v)
		if err != nil || fd < 3 {
			return c, fmt.Errorf("%s: %q is not the number of an inherited descriptor", EnvPassed, v)
		}
		c.Passed = fd
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return c, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", f.Seed)
		}
		c.Seed = seed
	}
	if len(f.Settings) == 0 {
		return c, fmt.Errorf("settings: missing")
	}
	var err error
	if c.Settings, err = ParseSettings(f.Settings); err != nil {
		return c, err
	}
	c.replaceInvalid()
	return c, c.validate()
}

// unknownReplicas is the number of sidecars that is assumed if the settings give none. It is high because a sidecar that assumes it is alone
// probes every server each second and connects to all of them, and hundreds of such sidecars overload the servers. A sidecar that assumes
// too many others still serves.
const unknownReplicas = 100

// replaceInvalid replaces missing or invalid settings about the fleet by safe values, with a line in Warnings for each, so that they do not
// keep the sidecar from starting.
func (c *Config) replaceInvalid() {
	s := &c.Settings.Policy
	if s.Replicas < 1 {
		c.Warnings = append(c.Warnings, fmt.Sprintf("settings.replicasOfMe: missing, or out of range: probes and connections are kept to the part "+
			"of one sidecar in %d", unknownReplicas))
		s.Replicas = unknownReplicas
	}
	if s.Self < 0 || s.Self >= s.Replicas {
		sum := fnv.New32a()
		sum.Write([]byte(c.Name)) // never fails
		derived := int(sum.Sum32() % uint32(s.Replicas))
		c.Warnings = append(c.Warnings, fmt.Sprintf("settings.selfIndex: %d is not below the %d replicas: %d is used, by the sidecar's name",
			s.Self, s.Replicas, derived))
		s.Self = derived
	}
}

// validate returns an error that names the first invalid field.
func (c *Config) validate() error {
	if c.Name == "" {
		return fmt.Errorf("name: missing")
	}
	for field, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
			return fmt.Errorf("%s: %q is not an address and port", field, address)
		}
	}
	if c.Ops != "" {
		if a, err := netip.ParseAddrPort(c.Ops); err != nil || a.Port() == 0 {
			return fmt.Errorf("ops: %q is not an address and port", c.Ops)
		}
		if c.Ops == c.Listen {
			return fmt.Errorf("ops: %s is where clients connect (listen)", c.Ops)
		}
	}
	s := &c.Settings.Policy
	checks := []struct {
		field string
		ok    bool
	}{
		{"limits.cores", c.Limits.Cores > 0},
		{"limits.memory_mb", c.Limits.MemoryMB >= 16},
		{"limits.sockets", c.Limits.Sockets >= minSockets},
		{"settings.classes", len(s.Classes) > 0},
		{"settings.limits.connectTimeoutS", c.Settings.ConnectTimeoutS > 0},
		{"settings.limits.connIdleS", s.ConnIdleTimeoutSeconds >= 0},
		{"settings.limits.sendCap", s.MaxAttempts >= 0},
		{"settings.limits.maxRetryAfterS", s.MaxRetryAfterSeconds >= 0},
		{"settings.roundS", s.TickSeconds >= 0},
		{"settings.obligations.answerSlackS", c.Settings.AnswerSlackS >= 0},
	}
	seen := map[string]bool{}
	for i, class := range s.Classes {
		at := fmt.Sprintf("settings.classes[%d].", i)
		checks = append(checks, []struct {
			field string
			ok    bool
		}{
			{at + "name", class.Name != "" && !seen[class.Name]},
			{at + "giveUpS", class.TotalTimeoutSeconds > 0},
			{at + "objectiveS", class.LatencyTargetSeconds > 0},
			{at + "windowS", class.DedupWindowSeconds >= 0},
		}...)
		seen[class.Name] = true
	}
	for _, check := range checks {
		if !check.ok {
			return fmt.Errorf("%s: missing, or out of range", check.field)
		}
	}
	return nil
}
