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

// Troupe is a fleet that is being played.
type Cluster struct {
	settings    Settings
	proxy       *FaultProxy
	members     []*member
	roles       *roles          // nil: there are none
	maintenance *maintenanceRun // nil: nothing is worked on

	mu              sync.Mutex
	violations      []Violation
	violationCount  int
	faultAt         time.Time
	ongoingFaults   int // troubles that go on
	isAgreed        bool
	agreedSeconds   []float64
	detectedSeconds []float64
	viewCount       int
	rounds          []Round
	absences        []absence
	startedAt       time.Time

	trials []Trial

	linkFaults   map[Direction]LinkFault // for the play's loop
	stalledPeers sync.WaitGroup
	done         chan struct{} // closed when the play is over
}

// Do plays a fleet until its day is over or ctx ends.
func Run(ctx context.Context, s Settings) (*Report, error) {
	day := environment.Draw(s.Seed, s.Ranges())
	script := s.FaultScript()
	cluster := &Cluster{settings: s, proxy: NewFaultProxy(), startedAt: time.Now(), faultAt: time.Now(), linkFaults: map[Direction]LinkFault{}, done: make(chan struct{})}
	defer cluster.proxy.Close()
	defer cluster.stalledPeers.Wait()
	defer close(cluster.done)
	if len(s.Roles) > 0 {
		cluster.roles = newRoles(s.Roles)
		cluster.proxy.OnFrame = func(call uint64, direction Direction, topic frames.Topic, body []byte) {
			cluster.roles.effects.ObserveFrame(call, direction, topic, body)
			cluster.roles.grants.ObserveFrame(call, direction, topic, body)
		}
	}
	for _, spec := range day.Sidecars {
		if err := cluster.addMember(spec.Name); err != nil {
			return nil, err
		}
	}
	for i, m := range cluster.members {
		if err := cluster.writeConfig(m, cluster.knowsNoRoles(i)); err != nil {
			return nil, err
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var watchers sync.WaitGroup
	watchers.Go(func() { cluster.watchMembers(ctx) })
	// Danger: who still looks while the processes end finds a job that nobody holds.
	stopWatching := func() { stop(); watchers.Wait() }
	playSettings := &realtime.Settings{Day: day, Over: stopWatching, Script: script, Binary: s.Binary, Dir: s.Dir, Log: s.Log, Crew: cluster, Started: func(play *realtime.Play) {
		cluster.setStart(play)
		if s.Trials > 0 {
			watchers.Go(func() { cluster.runTrials(ctx, play); stop() })
		}
	}}
	if slices.Contains(s.Roles, "list") {
		playSettings.MostAskS = math.Inf(1) // not all ask
	}
	if s.OtherCount > 0 {
		playSettings.BinaryOf = func(sidecar int) string {
			if cluster.runsOtherVersion(sidecar) {
				return s.OtherBinary
			}
			return s.Binary
		}
	}
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
	report := &Report{Sidecars: len(cluster.members), Seed: s.Seed, DurationSeconds: s.Duration.Seconds(), Faults: script.Faults, ViolationCount: play.Judge.ViolationCount() + cluster.violationCount, Violations: cluster.violations,
		Service: play.Judge.Report().Service, LoopLateSeconds: play.Late(), AgreedSeconds: cluster.agreedSeconds, DetectedSeconds: cluster.detectedSeconds, Views: cluster.viewCount, Rounds: cluster.rounds, Trials: cluster.trials}
	if cluster.roles != nil {
		report.Roles = cluster.roles.report()
		for _, reason := range report.Roles.Violations {
			report.ViolationCount++
			report.Violations = append(report.Violations, Violation{Rule: staleOwnerRule, Reason: reason})
		}
	}
	if cluster.maintenance != nil {
		report.Maintenance = cluster.maintenance.finish()
		if !s.Maintenance.Scripted { // what a script does wrong is a figure beside
			report.ViolationCount += report.Maintenance.violationCount
		}
	}
	report.PeerBytesPerSecond = float64(cluster.proxy.ForwardedBytes()) / time.Since(cluster.startedAt).Seconds() / float64(len(cluster.members))
	for _, f := range play.Judge.Violations() {
		report.Violations = append(report.Violations, Violation{Rule: string(f.Rule), AtSeconds: f.At - play.Day.Start, Sidecar: day.Sidecars[max(f.Sidecar, 0)].Name, Reason: f.Reason})
	}
	return report, nil
}

func (c *Cluster) setStart(p *realtime.Play) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedAt = time.Now().Add(time.Duration((p.Day.Start - p.Now()) * float64(time.Second)))
}

// other tells whether a sidecar runs another version, and plain whether it knows nothing of jobs.
func (c *Cluster) runsOtherVersion(sidecar int) bool {
	return sidecar >= len(c.members)-c.settings.OtherCount
}

func (c *Cluster) knowsNoRoles(sidecar int) bool {
	return c.runsOtherVersion(sidecar) && !c.settings.OthersHaveRoles
}

// own returns how many sidecars know of jobs, the first ones.
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

func (c *Cluster) reportViolation(rule checker.Rule, sidecar, format string, args ...any) {
	c.violationCount++
	if len(c.violations) < 50 {
		c.violations = append(c.violations, Violation{Rule: string(rule), AtSeconds: time.Since(c.startedAt).Seconds(), Sidecar: sidecar, Reason: fmt.Sprintf(format, args...)})
	}
}
