package processcluster

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/realtime"
	"hazelwheel/internal/peers/frames"
)

// maxReportedViolations is the number of violations that a report holds in detail; all are counted.
const maxReportedViolations = 50

// Cluster is a fleet of sidecar processes that is running, with the fault-injecting proxy between them. It implements realtime.Crew, whose methods
// are called from the loop of the play.
type Cluster struct {
	settings    Settings
	proxy       *FaultProxy
	members     []*member
	roles       *roles          // nil without singleton roles
	maintenance *maintenanceRun // nil without maintenance

	mu              sync.Mutex // guards the fields up to startedAt, and those of members that say so
	violations      []Violation
	violationCount  int
	faultAt         time.Time // of the last change of a fault or of a process; the members are calm since
	ongoingFaults   int       // faults between sidecars that last
	isAgreed        bool      // all members have agreed since faultAt, or their disagreement was reported
	agreedSeconds   []float64
	detectedSeconds []float64
	viewCount       int
	rounds          []Round
	absences        []absence
	startedAt       time.Time

	trials []Trial // of runTrials alone while it runs

	linkFaults   map[Direction]LinkFault // of the play's loop alone
	stalledPeers sync.WaitGroup
	done         chan struct{} // closed when the play is over
}

// Run runs a cluster until its duration, or its trials, are over or ctx ends, and returns the report. An error means that it could not be run; what is
// wrong with the sidecars is in the report.
func Run(ctx context.Context, s Settings) (*Report, error) {
	day := environment.Draw(s.Seed, s.Ranges())
	script := s.FaultScript()
	cluster := &Cluster{
		settings: s, proxy: NewFaultProxy(), startedAt: time.Now(), faultAt: time.Now(), linkFaults: map[Direction]LinkFault{}, done: make(chan struct{}),
	}
	defer cluster.proxy.Close()
	defer cluster.stalledPeers.Wait()
	defer close(cluster.done)
	if err := cluster.prepareMembers(&day); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var watchers sync.WaitGroup
	watchers.Go(func() { cluster.watchMembers(ctx) })
	// Danger: a watcher that still polls while the processes exit would report a role without an owner.
	stopWatching := func() { stop(); watchers.Wait() }
	started := func(play *realtime.Play) {
		cluster.setStart(play)
		if s.Trials > 0 {
			watchers.Go(func() { cluster.runTrials(ctx, play); stop() })
		}
	}
	playSettings := cluster.playSettings(day, script)
	playSettings.Over, playSettings.Started = stopWatching, started
	if s.Maintenance != nil {
		cluster.maintenance = newMaintenanceRun(cluster, *s.Maintenance, &playSettings.Day)
		playSettings.Watch = cluster.maintenance
		watchers.Go(func() { cluster.maintenance.run(ctx) })
	}
	play, err := realtime.Do(ctx, playSettings)
	stop()
	watchers.Wait()
	if err != nil {
		return nil, err
	}
	return cluster.report(play, &day, script), nil
}

// prepareMembers sets up the checkers of roles and prepares all members, whose processes the play starts.
func (c *Cluster) prepareMembers(day *environment.Day) error {
	if len(c.settings.Roles) > 0 {
		c.roles = newRoles(c.settings.Roles)
		c.proxy.OnFrame = func(link uint64, direction Direction, topic frames.Topic, body []byte) {
			c.roles.effects.ObserveFrame(link, direction, topic, body)
			c.roles.grants.ObserveFrame(link, direction, topic, body)
		}
	}
	for _, spec := range day.Sidecars {
		if err := c.addMember(spec.Name); err != nil {
			return err
		}
	}
	for i, m := range c.members {
		if err := c.writeConfig(m, c.knowsNoRoles(i)); err != nil {
			return err
		}
	}
	return nil
}

// playSettings returns the settings of the play, but for its callbacks.
func (c *Cluster) playSettings(day environment.Day, script environment.Script) *realtime.Settings {
	s := &c.settings
	settings := &realtime.Settings{Day: day, Script: script, Binary: s.Binary, Dir: s.Dir, Log: s.Log, Crew: c}
	if slices.Contains(s.Roles, "list") {
		settings.MostAskS = math.Inf(1) // only the owner of the role asks the cloud API
	}
	if s.OtherCount > 0 {
		settings.BinaryOf = func(sidecar int) string {
			if c.runsOtherVersion(sidecar) {
				return s.OtherBinary
			}
			return s.Binary
		}
	}
	return settings
}

// report builds the report after the play is over.
func (c *Cluster) report(play *realtime.Play, day *environment.Day, script environment.Script) *Report {
	report := &Report{
		Sidecars: len(c.members), Seed: c.settings.Seed, DurationSeconds: c.settings.Duration.Seconds(), Faults: script.Faults,
		ViolationCount: play.Judge.ViolationCount() + c.violationCount, Violations: c.violations,
		Service: play.Judge.Report().Service, LoopLateSeconds: play.Late(),
		AgreedSeconds: c.agreedSeconds, DetectedSeconds: c.detectedSeconds, Views: c.viewCount, Rounds: c.rounds, Trials: c.trials,
	}
	if c.roles != nil {
		report.Roles = c.roles.report()
		for _, reason := range report.Roles.Violations {
			report.ViolationCount++
			report.Violations = append(report.Violations, Violation{Rule: staleOwnerRule, Reason: reason})
		}
	}
	if c.maintenance != nil {
		report.Maintenance = c.maintenance.finish()
		if !c.settings.Maintenance.Scripted { // violations of the script are figures for comparison
			report.ViolationCount += report.Maintenance.violationCount
		}
	}
	report.PeerBytesPerSecond = float64(c.proxy.ForwardedBytes()) / time.Since(c.startedAt).Seconds() / float64(len(c.members))
	for _, v := range play.Judge.Violations() {
		report.Violations = append(report.Violations,
			Violation{Rule: string(v.Rule), AtSeconds: v.At - play.Day.Start, Sidecar: day.Sidecars[max(v.Sidecar, 0)].Name, Reason: v.Reason})
	}
	return report
}

// setStart sets the start of the cluster to that of the play's day.
func (c *Cluster) setStart(play *realtime.Play) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedAt = time.Now().Add(time.Duration((play.Day.Start - play.Now()) * float64(time.Second)))
}

// runsOtherVersion reports whether a sidecar runs OtherBinary, which are the last ones.
func (c *Cluster) runsOtherVersion(sidecar int) bool {
	return sidecar >= len(c.members)-c.settings.OtherCount
}

// knowsNoRoles reports whether a sidecar is configured without singleton roles.
func (c *Cluster) knowsNoRoles(sidecar int) bool {
	return c.runsOtherVersion(sidecar) && !c.settings.OthersHaveRoles
}

// roleMemberCount is the number of sidecars configured with singleton roles, which are the first ones.
func (c *Cluster) roleMemberCount() int {
	if c.settings.OthersHaveRoles {
		return len(c.members)
	}
	return len(c.members) - c.settings.OtherCount
}

// Prepare returns the arguments and the environment with which the play starts a sidecar.
func (c *Cluster) Prepare(sidecar int) (args, env []string, err error) {
	m := c.members[sidecar]
	return []string{"--features", m.configFile}, []string{"GW_OPS=" + m.adminAddress}, nil
}

// reportViolation records a violation of a rule, by a sidecar or, if its name is empty, by the cluster. The caller holds mu.
func (c *Cluster) reportViolation(rule checker.Rule, sidecar, format string, args ...any) {
	c.violationCount++
	if len(c.violations) < maxReportedViolations {
		c.violations = append(c.violations,
			Violation{Rule: string(rule), AtSeconds: time.Since(c.startedAt).Seconds(), Sidecar: sidecar, Reason: fmt.Sprintf(format, args...)})
	}
}
