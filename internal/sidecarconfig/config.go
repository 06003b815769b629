// Package sidecarconfig reads what a sidecar is told at its start: the GW_ variables and the file that GW_CONFIG
// names, both checked. An error is one line that names the field at fault.
package sidecarconfig

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"strconv"
)

// The variables that a sidecar reads. Where one is set it takes the place of the file's field, unless the file has
// been given another word since the start.
const (
	EnvName      = "GW_NAME"
	EnvListen    = "GW_LISTEN"
	EnvDiscovery = "GW_DISCOVERY"
	EnvOps       = "GW_OPS"

	// EnvPassed names the descriptor of a listening socket for clients that the process has inherited.
	EnvPassed = "GW_PASSED_SOCKET"
	EnvFile   = "GW_CONFIG"
)

// What a sidecar lives by where the file sets no limits.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	// Fewer descriptors than leastSockets leave no room for traffic beside what the process itself holds.
	leastSockets = 64
)

// Limits bound what the process may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is all that a sidecar is told.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Ops       string // where operators call; empty: nowhere
	Seed      uint64
	Limits    Limits
	Known     json.RawMessage // a list of hosts in discovery's form, as last held; may be empty
	Settings  Settings
	Doubts    []string // what was taken in place of settings that are missing or make no sense, a line each
	Passed    int      // the descriptor of the inherited socket; 0: there is none

	began [4]string // what the file itself said at the start, as names has it
}

// file is the configuration's text.
type file struct {
	Name, Listen, Discovery, Ops, Seed string
	Limits                             Limits
	Known, Settings                    json.RawMessage
}

// names are the fields that variables stand for.
func (f *file) names() [4]string { return [4]string{f.Name, f.Listen, f.Discovery, f.Ops} }

// Load reads the file at path, then the variables that getenv knows.
func Load(path string, getenv func(string) string) (Config, error) { return load(path, getenv, nil) }

// Reload reads the file of a running program again; c is what that program has had so far. Danger: the variables
// are as old as the process. A field that the file has changed since is newer than its variable, and goes before it.
func (c *Config) Reload(path string, getenv func(string) string) (Config, error) {
	return load(path, getenv, &c.began)
}

func load(path string, getenv func(string) string, began *[4]string) (Config, error) {
	if path == "" {
		return Config{}, fmt.Errorf("%s: not set, and no --config given", EnvFile)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", EnvFile, err)
	}
	return parse(raw, getenv, began)
}

// Parse reads a configuration's text, as Load does, with no variable in the place of a field.
func Parse(raw []byte) (Config, error) {
	return parse(raw, func(string) string { return "" }, nil)
}

// parse reads a file's text; began is what its names were at the start, nil at the start itself.
func parse(raw []byte, getenv func(string) string, began *[4]string) (Config, error) {
	f := file{Limits: Limits{Cores: defaultCores, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}}
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("%s: not the JSON that is wanted: %w", EnvFile, err)
	}
	says := f.names()
	if began == nil {
		began = &says
	}
	for i, field := range []*string{&f.Name, &f.Listen, &f.Discovery, &f.Ops} {
		if v := getenv([...]string{EnvName, EnvListen, EnvDiscovery, EnvOps}[i]); v != "" && says[i] == began[i] {
			*field = v
		}
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Ops: f.Ops, Limits: f.Limits, Known: f.Known, began: *began}
	if v := getenv(EnvPassed); v != "" {
		fd, err := strconv.Atoi(v)
		if err != nil || fd < 3 {
			return c, fmt.Errorf("%s: %q is not the number of a passed descriptor", EnvPassed, v)
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
	c.mend()
	return c, c.validate()
}

// unknownReplicas is how many sidecars there are taken to be where nobody says. Danger: a sidecar that thinks itself alone
// probes every server each second and holds connections to all; hundreds that do bring servers down. One that thinks itself
// one of many asks for little and serves all the same.
const unknownReplicas = 100

// mend puts safe bounds in the place of what a sidecar can serve without, and says so in Doubts.
func (c *Config) mend() {
	s := &c.Settings.Policy
	if s.Replicas < 1 {
		c.Doubts = append(c.Doubts, fmt.Sprintf("settings.replicasOfMe: missing, or out of range: probes and connections are kept to the part "+
			"of one sidecar in %d", unknownReplicas))
		s.Replicas = unknownReplicas
	}
	if s.Self < 0 || s.Self >= s.Replicas {
		sum := fnv.New32a()
		sum.Write([]byte(c.Name)) // never fails
		own := int(sum.Sum32() % uint32(s.Replicas))
		c.Doubts = append(c.Doubts, fmt.Sprintf("settings.selfIndex: %d is not below the %d replicas: %d is used, by the sidecar's name",
			s.Self, s.Replicas, own))
		s.Self = own
	}
}

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
		{"limits.sockets", c.Limits.Sockets >= leastSockets},
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
