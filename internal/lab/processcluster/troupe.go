package processcluster

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/process"
	"hazelwheel/internal/lab/realtime"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/peers/stalledpeer"
)

// Settings are a fleet to be played.
type Settings struct {
	Binary      string // hazelwheel's file
	Sidecars    int
	Servers     int
	Seed        uint64
	Duration    time.Duration
	Script      *environment.Script // nil: there are no troubles, or with Draw those that the seed draws
	DrawFaults  bool
	Load        float64      // of the boxes' capacity; 0: drawn
	Maintenance *Maintenance // on boxes; nil: none
	Roles       []string     // that one sidecar does on behalf of all; none: there are no electors either
	Dir         string       // for configurations, states and logs
	Log         io.Writer
	// Other is another version's file, which the last Others sidecars run. They know the others, and nothing of jobs unless OthersOwn.
	OtherBinary     string
	OtherCount      int
	OthersHaveRoles bool
	Trials          int // so many times what owns the job, or leads the electors, is taken away, in place of drawn troubles; it ends with the last
}

// Report is what came of it.
type Report struct {
	Sidecars           int                 `json:"sidecars"`
	Seed               uint64              `json:"seed"`
	DurationSeconds    float64             `json:"for_s"`
	Faults             []environment.Fault `json:"troubles,omitempty"`
	ViolationCount     int                 `json:"broken"`
	Violations         []Violation         `json:"findings,omitempty"`
	Service            float64             `json:"service"`
	LoopLateSeconds    float64             `json:"loop_late_s"`        // how late the laboratory's own loop was at most
	PeerBytesPerSecond float64             `json:"peer_bytes_per_s"`   // of a sidecar
	AgreedSeconds      []float64           `json:"agreed_s,omitempty"` // after each calm's begin, until all held what was so
	DetectedSeconds    []float64           `json:"known_s,omitempty"`  // of each process that was killed or stood still, until all others knew
	Rounds             []Round             `json:"rounds,omitempty"`
	Roles              *RoleReport         `json:"owned,omitempty"`
	Maintenance        *MaintenanceReport  `json:"worked,omitempty"`
	Trials             []Trial             `json:"trials,omitempty"`
	Views              int                 `json:"views"` // that were asked for and came
}

// Finding is one break of a rule.
type Violation struct {
	Rule      string  `json:"rule"`
	AtSeconds float64 `json:"at_s"`
	Sidecar   string  `json:"sidecar"`
	Reason    string  `json:"why"`
}

// Ranges are what fleets are drawn from.
func (s *Settings) Ranges() environment.Ranges {
	fixed := func(value float64) environment.Range { return environment.Range{Min: value, Max: value} }
	ranges := environment.StandardRanges()
	ranges.Sidecars, ranges.Servers, ranges.LengthSeconds = fixed(float64(s.Sidecars)), fixed(float64(s.Servers)), fixed(s.Duration.Seconds())
	ranges.OverloadedDayShare = 0
	ranges.RatePerSecond, ranges.Load = fixed(200), environment.Range{Min: 0.3, Max: 0.6}
	if s.Load > 0 {
		ranges.Load = fixed(s.Load)
	}
	if s.Trials > 0 { // many such fleets are played beside each other
		ranges.RatePerSecond = fixed(20)
	}
	return ranges
}

// Troubles returns the script that is played: the one that is given, one that the seed draws, or none.
func (s *Settings) FaultScript() environment.Script {
	switch {
	case s.Script != nil:
		return *s.Script
	case s.DrawFaults:
		return s.DrawScript()
	}
	return environment.Script{Seed: s.Seed}
}

// lotS is for how long a lot of troubles is drawn at a time.
const faultBatchSeconds = 45.0

// DrawScript draws the troubles of a seed for as long as the fleet is played. Each lot leaves time to agree.
func (s *Settings) DrawScript() environment.Script {
	day := environment.Draw(s.Seed, s.Ranges())
	script := environment.Script{Seed: s.Seed}
	for start := 0.0; start+faultBatchSeconds <= day.LengthSeconds || start == 0; start += faultBatchSeconds {
		batchDay := day
		batchDay.Seed, batchDay.LengthSeconds = s.Seed*1_000_003+uint64(start), min(faultBatchSeconds-20, day.LengthSeconds)
		batch := environment.DrawScript(&batchDay)
		environment.DrawPeerFaults(&batchDay, &batch)
		for _, fault := range batch.Faults {
			// Discovery moves a few times a day at the most.
			if fault.AtSeconds += start; fault.Kind != environment.Reload && fault.WhyOnlySimulated() == "" {
				fault.DurationSeconds = min(fault.DurationSeconds, start+batchDay.LengthSeconds-fault.AtSeconds)
				if len(s.Roles) > 0 && fault.State == environment.StateTorn && int(fault.AtSeconds*1000)%2 == 0 {
					fault.State = environment.StateOld
				}
				script.AddPeerFault(fault, &day)
			}
		}
	}
	return script
}

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

// mate is a sidecar over all lives of its process.
type member struct {
	name, stateDir, configFile     string
	adminAddress, advertiseAddress string
	isDiskFull                     bool // its disk; for the play's loop
	isRunning                      bool // as the laboratory itself has it
	changedAt                      time.Time
	peerID                         string    // of the last life, as its own door has said
	stoppedAt                      time.Time // when it went and the others do not all know yet
	olderState                     []byte    // its state, some writes ago
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

const fleetName = "troupe"

// add prepares a sidecar.
func (c *Cluster) addMember(name string) error {
	m := &member{name: name, stateDir: filepath.Join(c.settings.Dir, "state-"+name), configFile: filepath.Join(c.settings.Dir, "features-"+name+".json")}
	address := func() (string, error) {
		port, err := process.FreePort("127.0.0.1")
		return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), err
	}
	var err error
	if m.adminAddress, err = address(); err != nil {
		return err
	}
	listen, err := address()
	if err != nil {
		return err
	}
	if m.advertiseAddress, err = c.proxy.Listen(name, listen); err != nil {
		return err
	}
	c.members = append(c.members, m)
	m.peerID = listen // until it is known, kept here for write
	return nil
}

// write writes the operators' file of a sidecar.
func (c *Cluster) writeConfig(m *member, knowsNoRoles bool) error {
	var join []string
	for _, peer := range c.members[:min(3, len(c.members))] {
		join = append(join, peer.advertiseAddress)
	}
	fleet := map[string]any{"name": fleetName, "listen": m.peerID, "advertise": m.advertiseAddress, "join": join, "dir": m.stateDir}
	if c.roles != nil && !knowsNoRoles {
		var voters []string
		for _, peer := range c.members[:voterCount(c.roleMemberCount())] {
			voters = append(voters, peer.advertiseAddress)
		}
		fleet["electors"], fleet["jobs"] = voters, c.settings.Roles
	}
	encoded, err := json.Marshal(map[string]any{"fleet": fleet})
	if err != nil {
		return err
	}
	m.peerID = ""
	return os.WriteFile(m.configFile, encoded, 0o600)
}

// Prepare returns the arguments and the environment with which the play starts a sidecar.
func (c *Cluster) Prepare(sidecar int) (args, env []string, err error) {
	m := c.members[sidecar]
	return []string{"--features", m.configFile}, []string{"GW_OPS=" + m.adminAddress}, nil
}

func (c *Cluster) direction(from, to int) Direction {
	return Direction{c.members[from].name, c.members[to].name}
}

// PeersCut has the connections from one sidecar to another cut, or restored.
func (c *Cluster) PeersCut(from, to int, on bool) {
	c.changeLinkFault(from, to, func(r *LinkFault) { r.Cut = on })
}

// PeersHold has bytes from one sidecar to another stop while the connections stay open, or flow again.
func (c *Cluster) PeersHold(from, to int, on bool) {
	c.changeLinkFault(from, to, func(r *LinkFault) { r.Hold = on })
}

// PeersSlow bounds the bytes a second of each connection from one sidecar to another; 0 ends it.
func (c *Cluster) PeersSlow(from, to int, bytesPerSecond float64) {
	c.changeLinkFault(from, to, func(r *LinkFault) { r.BytesPerSecond = bytesPerSecond })
}

// rule changes what befalls a way, beside what does already. It is for the play's loop, as all that befalls it.
func (c *Cluster) changeLinkFault(from, to int, change func(*LinkFault)) {
	direction := c.direction(from, to)
	before := c.linkFaults[direction]
	after := before
	change(&after)
	c.linkFaults[direction] = after
	switch none := (LinkFault{}); {
	case before == none && after != none:
		c.recordFault(1)
	case before != none && after == none:
		c.recordFault(-1)
	default:
		c.recordFault(0)
	}
	c.proxy.SetFault(after, direction)
}

// PeersReset resets the connections between two sidecars.
func (c *Cluster) PeersReset(a, b int) {
	c.recordFault(0)
	c.proxy.ResetLinks(c.members[a].name, c.members[b].name)
}

// PeersDeaf has somebody call at a sidecar as a peer does, ask again and again, and read nothing.
func (c *Cluster) PeersDeaf(sidecar int, perSecond float64, until time.Time) {
	c.recordFault(1)
	c.stalledPeers.Go(func() {
		defer c.recordFault(-1)
		c.members[sidecar].stall(perSecond, until, c.done)
	})
}

// deafen asks until a time, or until over is closed.
func (m *member) stall(perSecond float64, until time.Time, done <-chan struct{}) {
	hello, request, err := stalledpeer.Frames(fleetName, m.advertiseAddress)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	var conn net.Conn
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for time.Now().Before(until) {
		select {
		case <-done:
			until = time.Time{}
			continue
		case <-ticker.C:
		}
		frame := request
		if conn == nil {
			if conn, err = net.DialTimeout("tcp", m.advertiseAddress, time.Until(until)); err != nil {
				conn = nil
				continue
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // fails only on one that is closed
			frame = hello
		}
		_ = conn.SetWriteDeadline(until) // likewise
		if _, err := conn.Write(frame); err != nil {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// DiskFull has a file stand where a sidecar's folder was, so that nothing can be written there, by nobody.
func (c *Cluster) DiskFull(sidecar int, on bool) {
	m := c.members[sidecar]
	asidePath := m.stateDir + "-aside"
	if on && !m.isDiskFull {
		if err := os.Rename(m.stateDir, asidePath); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return // the process goes on as before
		}
		m.isDiskFull = os.WriteFile(m.stateDir, nil, 0o600) == nil
	} else if !on && m.isDiskFull {
		m.isDiskFull = false
		_ = os.Remove(m.stateDir)            // it is ours
		_ = os.Rename(asidePath, m.stateDir) // there may have been none
	}
}

// Spoil has the kept state of a sidecar that is down lost, torn or replaced by an older one.
func (c *Cluster) Spoil(sidecar int, state string) {
	file := filepath.Join(c.members[sidecar].stateDir, "peer")
	current, err := os.ReadFile(file)
	if err != nil {
		return // it has kept nothing yet
	}
	switch older := c.members[sidecar].olderState; {
	case state == environment.StateLost:
		_ = os.Remove(file) // the next process tells what it finds
	case state == environment.StateOld && older != nil:
		_ = os.WriteFile(file, older, 0o600)
	case state == environment.StateTorn:
		_ = os.WriteFile(file, current[:len(current)/2], 0o600)
	}
}

// Standing notes that the process of a sidecar is up, or has ended.
func (c *Cluster) Standing(sidecar int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, now := c.members[sidecar], time.Now()
	if state, err := os.ReadFile(filepath.Join(m.stateDir, "peer")); err == nil && m.olderState == nil {
		m.olderState = state
	}
	if m.isRunning && !on {
		m.stoppedAt = now
	}
	if !m.isRunning && on && !m.changedAt.IsZero() {
		c.absences = append(c.absences, absence{sidecar, unixSeconds(m.changedAt), unixSeconds(now)})
	}
	m.isRunning, m.changedAt = on, now
	c.faultAt, c.isAgreed = now, false
}

// agreedOnce tells whether all have agreed on who is there.
func (c *Cluster) hasAgreed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.agreedSeconds) > 0
}

// trouble notes that there is one between sidecars now, or one more or less that goes on.
func (c *Cluster) recordFault(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ongoingFaults += change
	c.faultAt, c.isAgreed = time.Now(), false
}

// --- what the doors say ---

// seen is what a door tells, as far as it is looked at here.
type membershipView struct {
	ID      string `json:"id"`
	Live    int    `json:"live"`
	Rank    int    `json:"rank"`
	Count   int    `json:"count"`
	Members []struct {
		ID         string  `json:"id"`
		Name       string  `json:"name"`
		State      string  `json:"state"`
		ForSeconds float64 `json:"for_s"`
	} `json:"members"`
}

const (
	pollInterval = 250 * time.Millisecond
	adminTimeout = 3 * time.Second
	// agreeWithin after the last trouble all hold what is so. Aim: 10 s; what fails is twice that, since the machine is shared.
	agreeTimeout = 20 * time.Second
	// livesFor is how long one must have lived, and no trouble been between any, to be called dead by nobody.
	minUptime = 15 * time.Second
)

// ask asks a door who is there.
func queryMembership(address string) (view membershipView, err error) {
	return view, queryAdmin(address, "PEERS", &view)
}

// askDoor asks a door for JSON.
func queryAdmin(address, command string, result any) error {
	conn, err := net.DialTimeout("tcp", address, adminTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(adminTimeout)) // fails only on one that is closed
	if _, err = io.WriteString(conn, command+"\n"); err != nil {
		return err
	}
	return json.NewDecoder(bufio.NewReader(conn)).Decode(result)
}

// watch asks all doors again and again, and holds what they say beside what is so.
func (c *Cluster) watchMembers(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		isRunning := make([]bool, len(c.members))
		for i, m := range c.members {
			isRunning[i] = m.isRunning
		}
		faultAt := c.faultAt
		c.mu.Unlock()
		views := make([]*membershipView, len(c.members))
		var queries sync.WaitGroup
		for i, m := range c.members {
			if isRunning[i] {
				queries.Go(func() {
					if s, err := queryMembership(m.adminAddress); err == nil && s.ID != "" {
						views[i] = &s
					}
				})
			}
		}
		if c.roles != nil {
			owners := make([]*roleView, len(c.members))
			for i, m := range c.members {
				if isRunning[i] {
					queries.Go(func() {
						owners[i] = queryRoles(m.adminAddress)
					})
				}
			}
			queries.Wait()
			c.checkOwners(owners, faultAt)
		}
		queries.Wait()
		c.checkViews(views, faultAt)
	}
}

func (c *Cluster) reportViolation(rule checker.Rule, sidecar, format string, args ...any) {
	c.violationCount++
	if len(c.violations) < 50 {
		c.violations = append(c.violations, Violation{Rule: string(rule), AtSeconds: time.Since(c.startedAt).Seconds(), Sidecar: sidecar, Reason: fmt.Sprintf(format, args...)})
	}
}

// judge compares one round of answers with what is so. A trouble that came meanwhile makes the round worth nothing.
func (c *Cluster) checkViews(views []*membershipView, faultAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faultAt != faultAt {
		return
	}
	if c.ongoingFaults > 0 {
		c.faultAt = time.Now() // Danger: who is cut off is not to hold what is so
	}
	calm := time.Since(c.faultAt)
	byID := map[string]*member{}
	running, answered := 0, 0
	for i, m := range c.members {
		if m.isRunning {
			running++
		}
		if views[i] != nil {
			answered++
			c.viewCount++
			m.peerID = views[i].ID
			byID[m.peerID] = m
		}
	}
	round := Round{AtSeconds: time.Since(c.startedAt).Seconds(), Running: running, MinAlive: len(c.members)}
	difference := ""
	for i, view := range views {
		if view == nil {
			continue
		}
		live := 0
		for _, entry := range view.Members {
			peer := byID[entry.ID]
			switch {
			case entry.State == "alive" && peer != nil:
				live++
			case entry.State == "alive" && answered == running, entry.State == "suspected":
				difference = fmt.Sprintf("%s holds %s (%s) for %s", c.members[i].name, entry.Name, entry.ID, entry.State)
			case entry.State == "dead" && peer != nil && peer.isRunning && time.Since(peer.changedAt) > minUptime && calm > minUptime:
				c.reportViolation(checker.FalseDeath, c.members[i].name, "%s is held for dead and lives, %.1f s after the last trouble", peer.name, calm.Seconds())
				peer.changedAt = time.Now() // once
			}
		}
		round.MinAlive, round.MaxAlive = min(round.MinAlive, view.Live), max(round.MaxAlive, view.Live)
		if live != running {
			difference = fmt.Sprintf("%s knows %d that live, of %d", c.members[i].name, live, running)
		}
	}
	if answered > 0 {
		c.rounds = append(c.rounds, round)
	}
	c.recordDetections(views)
	switch {
	case c.isAgreed, c.ongoingFaults > 0:
	case difference == "" && answered == running:
		c.isAgreed = true
		c.agreedSeconds = append(c.agreedSeconds, calm.Seconds())
	case calm > agreeTimeout && difference != "":
		c.isAgreed = true // once for each calm
		c.reportViolation(checker.FleetView, "", "%.1f s after the last trouble: %s", calm.Seconds(), difference)
	}
}

// noteKnown notes when all who are there know of one that went.
func (c *Cluster) recordDetections(views []*membershipView) {
	for _, m := range c.members {
		if m.stoppedAt.IsZero() || m.isRunning {
			m.stoppedAt = time.Time{}
			continue
		}
		isKnown := true
		for _, view := range views {
			if view == nil {
				continue
			}
			for _, entry := range view.Members {
				isKnown = isKnown && !(entry.ID == m.peerID && (entry.State == "alive" || entry.State == "suspected"))
			}
		}
		if isKnown {
			c.detectedSeconds = append(c.detectedSeconds, time.Since(m.stoppedAt).Seconds())
			m.stoppedAt = time.Time{}
		}
	}
}
