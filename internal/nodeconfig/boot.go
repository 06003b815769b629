// Package nodeconfig reads and checks the settings file of a fleet process. Fields that it doesn't know are ignored.
package nodeconfig

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/zeebo/errs"
	"go.yaml.in/yaml/v3"
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

// StoresConfig tells whether this machine holds a part of the configuration: it has a disk, and the disk counts.
func (s *Settings) StoresConfig() bool { return s.CountsForQuorum && s.DataDir != "" }

// CheckOperatorAddress returns an error where this machine is to hold a part of the configuration and the operator can't reach it. Processes
// that don't serve the operator are not asked.
func (s *Settings) CheckOperatorAddress() error {
	if !s.StoresConfig() || s.Listen.Control != "" {
		return nil
	}
	return fmt.Errorf("line %d: Listen.Control: a machine whose disk counts needs an address for the operator", s.listenLine)
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

func (s *Settings) check(document *yaml.Node) (found faults) {
	if s.NodeID == "" {
		found.add(document, "NodeId", "a name is missing")
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		found.add(document, "Ip", "not an IP address: %q", s.IP)
	}
	if len(s.InternalPortRange) != 2 || s.InternalPortRange[0] < 1 || s.InternalPortRange[1] > 65535 ||
		s.InternalPortRange[1] < s.InternalPortRange[0]+int(lastPort) {
		found.add(document, "InternalPortRange", "want two ports, the first and the last of %d or more", int(lastPort)+1)
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			found.add(document, "Seeds", "not IP:PORT: %q", seed)
		}
	}
	for field, address := range map[string]string{"Listen.Front": s.Listen.Front, "Listen.Ready": s.Listen.Ready, "Listen.Control": s.Listen.Control,
		"Cloud.Address": s.Cloud.Address} {
		if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
			found.add(document, field, "not IP:PORT: %q", address)
		}
	}
	s.Bounds.check(document, &found)
	return found
}

func (b *Bounds) check(document *yaml.Node, found *faults) {
	for field, figure := range map[string]float64{"DrainMs": b.DrainMs, "GraceS": b.GraceSeconds, "ConfigApplyMs": b.ConfigApplyMs,
		"BudgetWindowS": b.BudgetWindowSeconds, "LeaseMs": b.LeaseMs} {
		if !(figure > 0) || math.IsInf(figure, 1) {
			found.add(document, "Bounds."+field, "want a figure above 0, not %v", figure)
		}
	}
	for field, figure := range map[string]float64{"RetryBudgetRatio": b.RetryBudgetRatio, "BudgetSlack": b.BudgetSlack} {
		if !(figure >= 0) || math.IsInf(figure, 1) {
			found.add(document, "Bounds."+field, "want a figure of 0 or more, not %v", figure)
		}
	}
}

const (
	// largestConfig is the size in bytes of the largest configuration that deployments allow.
	largestConfig = 4 << 20
	// noticeS is what a control process needs before and after it copies a configuration, in seconds: to be noticed, and to be taken
	// in as a voter.
	noticeS = 1.2
	// mostSeeds is how many control processes the operators name at most.
	mostSeeds = 3
)

// Warnings names bounds that can't be kept together on this machine, a line each. They don't keep a process from running.
func (s *Settings) Warnings() (doubts []string) {
	if !s.CountsForQuorum {
		return nil
	}
	if copyS := largestConfig * 8 / (max(s.Limits.LinkMbps, 1e-3) * 1e6); s.Limits.LinkMbps > 0 && copyS+noticeS > s.Bounds.CatchUpSeconds {
		doubts = append(doubts, fmt.Sprintf("CatchUpS: %v s are too short to copy %d MB at LinkMbps %v, which takes %.1f s: a member that lost "+
			"its disk counts late where configurations are that large", s.Bounds.CatchUpSeconds, largestConfig>>20, s.Limits.LinkMbps, copyS))
	}
	if s.Bounds.RecoverySeconds < s.Bounds.CatchUpSeconds {
		doubts = append(doubts, fmt.Sprintf("RecoveryS: %v s are fewer than CatchUpS, %v: members are not caught up when all are to serve again",
			s.Bounds.RecoverySeconds, s.Bounds.CatchUpSeconds))
	}
	if wanted := s.FaultTolerance.MinVoters(); wanted > 1 && len(s.Seeds) < min(wanted, mostSeeds) {
		doubts = append(doubts, fmt.Sprintf("Seeds: %d are too few to found a register of %d voters", len(s.Seeds), wanted))
	}
	return doubts
}

// InternalPort is what listens on one of the internal ports.
type InternalPort int

// The internal ports in their order from the first of InternalPortRange.
const (
	ControlPort InternalPort = iota
	AgentPort
	FeedPort
	lastPort = FeedPort
)

// InternalAddress returns the address of an internal service on the machine with this IP.
func (s *Settings) InternalAddress(ip string, service InternalPort) string {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(s.InternalPortRange[0]+int(service))).String()
}

// loopback is where processes of one machine meet.
const loopback = "127.0.0.1"

// FeedAddress returns where an agent feeds its proxy. Where the machine's own address is a loopback one, several machines stand on one
// host and each has its own feed.
func (s *Settings) FeedAddress() string {
	if netip.MustParseAddr(s.IP).IsLoopback() {
		return s.InternalAddress(s.IP, FeedPort)
	}
	return s.InternalAddress(loopback, FeedPort)
}

// SeedAddresses returns the internal addresses of the control processes that the seeds name.
func (s *Settings) SeedAddresses() []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, s.InternalAddress(netip.MustParseAddrPort(seed).Addr().String(), ControlPort))
	}
	return addresses
}

// GracePeriod is the time from SIGTERM to SIGKILL.
func (s *Settings) GracePeriod() time.Duration { return FromSeconds(s.Bounds.GraceSeconds) }

// FromSeconds turns a figure in seconds into a duration.
func FromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// FromMillis turns a figure in milliseconds into a duration.
func FromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
