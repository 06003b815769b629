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

// Error is the class of the errors of Load.
var Error = errs.Class("settings")

// Listen holds the addresses (IP:PORT) on which the process serves; those of other roles are empty.
type Listen struct {
	Front   string `yaml:"Front"`   // clients of a proxy
	Ready   string `yaml:"Ready"`   // readiness of a proxy
	Control string `yaml:"Control"` // the operator, at control processes and gateways
}

// Limits bounds the resources of the process; 0 means no limit.
type Limits struct {
	MemoryMB int     `yaml:"MemoryMb"`
	MaxFDs   int     `yaml:"MaxFds"`
	DiskMB   int     `yaml:"DiskMb"`
	LinkMbps float64 `yaml:"LinkMbps"`
	CPUShare float64 `yaml:"CpuShare"` // fraction of a core
}

// FaultTolerance is the number of machines, zones or regions that may be lost at once.
type FaultTolerance struct {
	Machines int `yaml:"Machines"`
	Zones    int `yaml:"Zones"`
	Regions  int `yaml:"Regions"`
}

// MinVoters returns the least number of voters of which a majority is left after such a loss, where each voter is in a zone
// or region of its own.
func (f *FaultTolerance) MinVoters() int { return 2*max(f.Machines, f.Zones, f.Regions) + 1 }

// Bounds holds the figures of the operators' rules. Figures that a file leaves out have defaults.
type Bounds struct {
	ContactMs           float64 `yaml:"ContactMs"`
	AckMs               float64 `yaml:"AckMs"`
	DrainMs             float64 `yaml:"DrainMs"`
	GraceSeconds        float64 `yaml:"GraceS"` // from SIGTERM to SIGKILL
	ConfigApplyMs       float64 `yaml:"ConfigApplyMs"`
	RetryBudgetRatio    float64 `yaml:"RetryBudgetRatio"` // retries for each request, over BudgetWindowSeconds
	BudgetWindowSeconds float64 `yaml:"BudgetWindowS"`
	BudgetSlack         float64 `yaml:"BudgetSlack"` // retries that are allowed beside RetryBudgetRatio
	ReuseAfterSeconds   float64 `yaml:"ReuseAfterS"`
	CatchUpSeconds      float64 `yaml:"CatchUpS"`  // until a machine that has returned counts as a member again
	RecoverySeconds     float64 `yaml:"RecoveryS"` // until all machines serve again after a loss of power
	PrefixCacheSeconds  float64 `yaml:"again_s"`   // for which a shared prefix counts as cached after its last use
	LeaseMs             float64 `yaml:"LeaseMs"`   // lease of a singleton role
	Fenced              bool    `yaml:"Fenced"`
	QuotaWindowSeconds  float64 `yaml:"QuotaWindowS"` // over which what a tenant has executed is summed up
	QuotaOverage        float64 `yaml:"QuotaOverage"` // fraction by which that may exceed the tenant's limit
	QuotaSlack          float64 `yaml:"QuotaSlack"`   // what is allowed beside QuotaOverage, in the unit of the limit
	Revoked             bool    `yaml:"Revoked"`      // requests in progress end when the key that they were sent with is taken away
}

// Cloud describes the platform's interface for the list of servers.
type Cloud struct {
	Address           string  `yaml:"Address"` // IP:PORT
	RequestsPerSecond float64 `yaml:"RatePerS"`
	LagMs             float64 `yaml:"LagMs"` // by which the list may be behind
}

// Settings is the content of a settings file.
type Settings struct {
	NodeID            string            `yaml:"NodeId"`
	IP                string            `yaml:"Ip"`
	Zone              string            `yaml:"Zone"`
	Region            string            `yaml:"Region"`
	Zones             map[string]string `yaml:"Zones"` // region of each zone
	Listen            Listen            `yaml:"Listen"`
	InternalPortRange []int             `yaml:"InternalPortRange"` // first and last port: see InternalPort
	Seeds             []string          `yaml:"Seeds"`             // IP:PORT of control processes, as the operator reaches them
	Bootstrap         bool              `yaml:"Bootstrap"`         // first start of the whole fleet, with empty disks
	CountsForQuorum   bool              `yaml:"CountsForQuorum"`   // the machine's disk counts for FaultTolerance
	Limits            Limits            `yaml:"Limits"`
	DataDir           string            `yaml:"DataDir"` // empty: the machine has no disk
	HeartbeatMs       float64           `yaml:"HeartbeatMs"`
	FaultTolerance    FaultTolerance    `yaml:"FaultTolerance"`
	Bounds            Bounds            `yaml:"Bounds"`
	Cloud             Cloud             `yaml:"Cloud"`

	listenLine int // line of Listen in the file, 0: not there
}

// defaults returns the settings of an empty file.
func defaults() *Settings {
	return &Settings{
		HeartbeatMs: 1000,
		Bounds: Bounds{ContactMs: 3000, AckMs: 4000, DrainMs: 3000, GraceSeconds: 8, ConfigApplyMs: 2000, RetryBudgetRatio: 0.1,
			BudgetWindowSeconds: 10, BudgetSlack: 0, ReuseAfterSeconds: 2, PrefixCacheSeconds: 8, LeaseMs: 3000, Fenced: true,
			CatchUpSeconds: 4, RecoverySeconds: 12, QuotaWindowSeconds: 10, QuotaOverage: 0.1},
		Cloud: Cloud{RequestsPerSecond: 1, LagMs: 1000},
	}
}

// FilePath returns the path of the settings file.
func FilePath() string {
	if path := os.Getenv(EnvFile); path != "" {
		return path
	}
	return DefaultFile
}

// Load reads and validates the settings file at path. Its error is of class Error and names the file, the line where there
// is one, and the field.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	settings, err := Parse(data)
	if err != nil {
		return nil, Error.New("%s: %w", path, err)
	}
	return settings, nil
}

// Parse validates the text of a settings file. Its error is the first of Report.Faults, with its line.
func Parse(data []byte) (*Settings, error) {
	report := Validate(data)
	if len(report.Faults) > 0 {
		first := report.Faults[0]
		first.Column = 0
		return nil, errors.New(first.String())
	}
	return report.Settings, nil
}

// StoresConfig reports whether this machine is to store a replica of the configuration: it has a disk, and the disk counts.
func (s *Settings) StoresConfig() bool { return s.CountsForQuorum && s.DataDir != "" }

// GracePeriod returns the time from SIGTERM to SIGKILL.
func (s *Settings) GracePeriod() time.Duration { return FromSeconds(s.Bounds.GraceSeconds) }

// FromSeconds converts a number of seconds to a duration.
func FromSeconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// FromMillis converts a number of milliseconds to a duration.
func FromMillis(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}
