package nodeconfig

import (
	"errors"
	"os"
	"time"

	"github.com/zeebo/errs"
)

// EnvFile names the environment variable that holds the path of the settings file.
const EnvFile = "HAZELWHEEL_CONFIG"

// DefaultFile is read where EnvFile is not set.
const DefaultFile = "/etc/hazelwheel/boot.yaml"

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Listen holds the addresses (IP:PORT) of what the process serves; those of other roles are empty.
type Listen struct {
	Front   string `yaml:"Front"`
	Ready   string `yaml:"Ready"`
	Control string `yaml:"Control"`
}

// Limits bounds what the process may use.
type Limits struct {
	MemoryMB int     `yaml:"MemoryMb"`
	MaxFDs   int     `yaml:"MaxFds"`
	DiskMB   int     `yaml:"DiskMb"`
	LinkMbps float64 `yaml:"LinkMbps"`
	CPUShare float64 `yaml:"CpuShare"`
}

// FaultTolerance says how many machines, zones or regions may be lost at once.
type FaultTolerance struct {
	Machines int `yaml:"Machines"`
	Zones    int `yaml:"Zones"`
	Regions  int `yaml:"Regions"`
}

// MinVoters is the least number of voters of which a majority is left after such a loss, where each is in a zone or region of its own.
func (f *FaultTolerance) MinVoters() int { return 2*max(f.Machines, f.Zones, f.Regions) + 1 }

// Bounds holds the figures of the rules in force. Fields ending in S are seconds, in Ms milliseconds.
type Bounds struct {
	ContactMs           float64 `yaml:"ContactMs"`
	AckMs               float64 `yaml:"AckMs"`
	DrainMs             float64 `yaml:"DrainMs"`
	GraceSeconds        float64 `yaml:"GraceS"`
	ConfigApplyMs       float64 `yaml:"ConfigApplyMs"`
	RetryBudgetRatio    float64 `yaml:"RetryBudgetRatio"`
	BudgetWindowSeconds float64 `yaml:"BudgetWindowS"`
	BudgetSlack         float64 `yaml:"BudgetSlack"`
	ReuseAfterSeconds   float64 `yaml:"ReuseAfterS"`
	CatchUpSeconds      float64 `yaml:"CatchUpS"`
	RecoverySeconds     float64 `yaml:"RecoveryS"`
	PrefixCacheSeconds  float64 `yaml:"again_s"`
	LeaseMs             float64 `yaml:"LeaseMs"`
	Fenced              bool    `yaml:"Fenced"`
}

// Cloud describes the platform's list of servers.
type Cloud struct {
	Address           string  `yaml:"Address"`
	RequestsPerSecond float64 `yaml:"RatePerS"`
	LagMs             float64 `yaml:"LagMs"`
}

// Settings is the content of a settings file.
type Settings struct {
	NodeID            string            `yaml:"NodeId"`
	IP                string            `yaml:"Ip"`
	Zone              string            `yaml:"Zone"`
	Region            string            `yaml:"Region"`
	Zones             map[string]string `yaml:"Zones"`
	Listen            Listen            `yaml:"Listen"`
	InternalPortRange []int             `yaml:"InternalPortRange"`
	Seeds             []string          `yaml:"Seeds"`
	Bootstrap         bool              `yaml:"Bootstrap"`
	CountsForQuorum   bool              `yaml:"CountsForQuorum"`
	Limits            Limits            `yaml:"Limits"`
	DataDir           string            `yaml:"DataDir"`
	HeartbeatMs       float64           `yaml:"HeartbeatMs"`
	FaultTolerance    FaultTolerance    `yaml:"FaultTolerance"`
	Bounds            Bounds            `yaml:"Bounds"`
	Cloud             Cloud             `yaml:"Cloud"`

	listenLine int // of Listen in the file, 0: not there
}

// FilePath returns the path of the settings file.
func FilePath() string {
	if path := os.Getenv(EnvFile); path != "" {
		return path
	}
	return DefaultFile
}

// Load reads and checks the settings file at path. Its error names the file, the line where there is one, and the field.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	settings, err := Parse(data)
	if err != nil {
		return nil, Error.New("%s: %v", path, err)
	}
	return settings, nil
}

// Parse reads and checks settings. Its error is the first fault, with its line.
func Parse(data []byte) (*Settings, error) {
	report := Validate(data)
	if len(report.Faults) > 0 {
		first := report.Faults[0]
		first.Column = 0
		return nil, errors.New(first.String())
	}
	return report.Settings, nil
}

// defaults holds what stands in for figures that a file leaves out.
func defaults() *Settings {
	return &Settings{
		HeartbeatMs: 1000,
		Bounds: Bounds{ContactMs: 3000, AckMs: 4000, DrainMs: 3000, GraceSeconds: 8, ConfigApplyMs: 2000, RetryBudgetRatio: 0.1,
			BudgetWindowSeconds: 10, BudgetSlack: 0, ReuseAfterSeconds: 2, PrefixCacheSeconds: 8, LeaseMs: 3000, Fenced: true,
			CatchUpSeconds: 4, RecoverySeconds: 12},
		Cloud: Cloud{RequestsPerSecond: 1, LagMs: 1000},
	}
}

// StoresConfig tells whether this machine holds a part of the configuration: it has a disk, and the disk counts.
func (s *Settings) StoresConfig() bool { return s.CountsForQuorum && s.DataDir != "" }

// GracePeriod is the time from SIGTERM to SIGKILL.
func (s *Settings) GracePeriod() time.Duration { return FromSeconds(s.Bounds.GraceSeconds) }

// FromSeconds turns a figure in seconds into a duration.
func FromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// FromMillis turns a figure in milliseconds into a duration.
func FromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
