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
	one := func(x float64) environment.Range { return environment.Range{Min: x, Max: x} }
	r := environment.StandardRanges()
	r.Sidecars, r.Servers, r.LengthSeconds = one(float64(s.Sidecars)), one(float64(s.Servers)), one(s.Duration.Seconds())
	r.OverloadedDayShare = 0
	r.RatePerSecond, r.Load = one(200), environment.Range{Min: 0.3, Max: 0.6}
	if s.Load > 0 {
		r.Load = one(s.Load)
	}
	if s.Trials > 0 { // many such fleets are played beside each other
		r.RatePerSecond = one(20)
	}
	return r
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
const lotS = 45.0

// DrawScript draws the troubles of a seed for as long as the fleet is played. Each lot leaves time to agree.
func (s *Settings) DrawScript() environment.Script {
	d := environment.Draw(s.Seed, s.Ranges())
	all := environment.Script{Seed: s.Seed}
	for from := 0.0; from+lotS <= d.LengthSeconds || from == 0; from += lotS {
		part := d
		part.Seed, part.LengthSeconds = s.Seed*1_000_003+uint64(from), min(lotS-20, d.LengthSeconds)
		lot := environment.DrawScript(&part)
		environment.DrawPeerFaults(&part, &lot)
		for _, t := range lot.Faults {
			// Discovery moves a few times a day at the most.
			if t.AtSeconds += from; t.Kind != environment.Reload && t.WhyOnlySimulated() == "" {
				t.DurationSeconds = min(t.DurationSeconds, from+part.LengthSeconds-t.AtSeconds)
				if len(s.Roles) > 0 && t.State == environment.StateTorn && int(t.AtSeconds*1000)%2 == 0 {
					t.State = environment.StateOld
				}
				all.AddPeerFault(t, &d)
			}
		}
	}
	return all
}

// Troupe is a fleet that is being played.
type Cluster struct {
	s     Settings
	board *FaultProxy
	mates []*mate
	jobs  *jobs     // nil: there are none
	work  *workPlay // nil: nothing is worked on

	mu        sync.Mutex
	wrong     []Violation
	broken    int
	troubleAt time.Time
	ongoing   int // troubles that go on
	agreed    bool
	agreedS   []float64
	known     []float64
	views     int
	rounds    []Round
	aways     []away
	began     time.Time

	trials []Trial

	rules map[Direction]LinkFault // for the play's loop
	deaf  sync.WaitGroup
	over  chan struct{} // closed when the play is over
}

// mate is a sidecar over all lives of its process.
type mate struct {
	name, dir, features string
	ops, advertise      string
	full                bool // its disk; for the play's loop
	up                  bool // as the laboratory itself has it
	since               time.Time
	id                  string    // of the last life, as its own door has said
	goneAt              time.Time // when it went and the others do not all know yet
	older               []byte    // its state, some writes ago
}

// Do plays a fleet until its day is over or ctx ends.
func Run(ctx context.Context, s Settings) (*Report, error) {
	day := environment.Draw(s.Seed, s.Ranges())
	script := s.FaultScript()
	t := &Cluster{s: s, board: NewFaultProxy(), began: time.Now(), troubleAt: time.Now(), rules: map[Direction]LinkFault{}, over: make(chan struct{})}
	defer t.board.Close()
	defer t.deaf.Wait()
	defer close(t.over)
	if len(s.Roles) > 0 {
		t.jobs = newJobs(s.Roles)
		t.board.OnFrame = func(call uint64, w Direction, topic frames.Topic, body []byte) {
			t.jobs.effects.ObserveFrame(call, w, topic, body)
			t.jobs.grants.ObserveFrame(call, w, topic, body)
		}
	}
	for _, spec := range day.Sidecars {
		if err := t.add(spec.Name); err != nil {
			return nil, err
		}
	}
	for i, m := range t.mates {
		if err := t.write(m, t.plain(i)); err != nil {
			return nil, err
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var watching sync.WaitGroup
	watching.Go(func() { t.watch(ctx) })
	// Danger: who still looks while the processes end finds a job that nobody holds.
	over := func() { stop(); watching.Wait() }
	played := &realtime.Settings{Day: day, Over: over, Script: script, Binary: s.Binary, Dir: s.Dir, Log: s.Log, Crew: t, Started: func(p *realtime.Play) {
		t.begin(p)
		if s.Trials > 0 {
			watching.Go(func() { t.try(ctx, p); stop() })
		}
	}}
	if slices.Contains(s.Roles, "list") {
		played.MostAskS = math.Inf(1) // not all ask
	}
	if s.OtherCount > 0 {
		played.BinaryOf = func(sidecar int) string {
			if t.other(sidecar) {
				return s.OtherBinary
			}
			return s.Binary
		}
	}
	if s.Maintenance != nil {
		t.work = newWorkPlay(t, *s.Maintenance, &played.Day)
		played.Watch = t.work
		watching.Go(func() { t.work.run(ctx) })
	}
	p, err := realtime.Do(ctx, played)
	stop()
	watching.Wait()
	if err != nil {
		return nil, err
	}
	r := &Report{Sidecars: len(t.mates), Seed: s.Seed, DurationSeconds: s.Duration.Seconds(), Faults: script.Faults, ViolationCount: p.Judge.ViolationCount() + t.broken, Violations: t.wrong,
		Service: p.Judge.Report().Service, LoopLateSeconds: p.Late(), AgreedSeconds: t.agreedS, DetectedSeconds: t.known, Views: t.views, Rounds: t.rounds, Trials: t.trials}
	if t.jobs != nil {
		r.Roles = t.jobs.owned()
		for _, why := range r.Roles.Violations {
			r.ViolationCount++
			r.Violations = append(r.Violations, Violation{Rule: oldOwner, Reason: why})
		}
	}
	if t.work != nil {
		r.Maintenance = t.work.result()
		if !s.Maintenance.Scripted { // what a script does wrong is a figure beside
			r.ViolationCount += r.Maintenance.violationCount
		}
	}
	r.PeerBytesPerSecond = float64(t.board.ForwardedBytes()) / time.Since(t.began).Seconds() / float64(len(t.mates))
	for _, f := range p.Judge.Violations() {
		r.Violations = append(r.Violations, Violation{Rule: string(f.Rule), AtSeconds: f.At - p.Day.Start, Sidecar: day.Sidecars[max(f.Sidecar, 0)].Name, Reason: f.Reason})
	}
	return r, nil
}

func (t *Cluster) begin(p *realtime.Play) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.began = time.Now().Add(time.Duration((p.Day.Start - p.Now()) * float64(time.Second)))
}

// other tells whether a sidecar runs another version, and plain whether it knows nothing of jobs.
func (t *Cluster) other(sidecar int) bool { return sidecar >= len(t.mates)-t.s.OtherCount }
func (t *Cluster) plain(sidecar int) bool { return t.other(sidecar) && !t.s.OthersHaveRoles }

// own returns how many sidecars know of jobs, the first ones.
func (t *Cluster) own() int {
	if t.s.OthersHaveRoles {
		return len(t.mates)
	}
	return len(t.mates) - t.s.OtherCount
}

const fleetName = "troupe"

// add prepares a sidecar.
func (t *Cluster) add(name string) error {
	m := &mate{name: name, dir: filepath.Join(t.s.Dir, "state-"+name), features: filepath.Join(t.s.Dir, "features-"+name+".json")}
	address := func() (string, error) {
		port, err := process.FreePort("127.0.0.1")
		return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), err
	}
	var err error
	if m.ops, err = address(); err != nil {
		return err
	}
	listen, err := address()
	if err != nil {
		return err
	}
	if m.advertise, err = t.board.Listen(name, listen); err != nil {
		return err
	}
	t.mates = append(t.mates, m)
	m.id = listen // until it is known, kept here for write
	return nil
}

// write writes the operators' file of a sidecar.
func (t *Cluster) write(m *mate, plain bool) error {
	var join []string
	for _, o := range t.mates[:min(3, len(t.mates))] {
		join = append(join, o.advertise)
	}
	fleet := map[string]any{"name": fleetName, "listen": m.id, "advertise": m.advertise, "join": join, "dir": m.dir}
	if t.jobs != nil && !plain {
		var electors []string
		for _, o := range t.mates[:electorsOf(t.own())] {
			electors = append(electors, o.advertise)
		}
		fleet["electors"], fleet["jobs"] = electors, t.s.Roles
	}
	raw, err := json.Marshal(map[string]any{"fleet": fleet})
	if err != nil {
		return err
	}
	m.id = ""
	return os.WriteFile(m.features, raw, 0o600)
}

// Prepare returns the arguments and the environment with which the play starts a sidecar.
func (t *Cluster) Prepare(sidecar int) (args, env []string, err error) {
	m := t.mates[sidecar]
	return []string{"--features", m.features}, []string{"GW_OPS=" + m.ops}, nil
}

func (t *Cluster) way(from, to int) Direction { return Direction{t.mates[from].name, t.mates[to].name} }

// PeersCut has the connections from one sidecar to another cut, or restored.
func (t *Cluster) PeersCut(from, to int, on bool) {
	t.rule(from, to, func(r *LinkFault) { r.Cut = on })
}

// PeersHold has bytes from one sidecar to another stop while the connections stay open, or flow again.
func (t *Cluster) PeersHold(from, to int, on bool) {
	t.rule(from, to, func(r *LinkFault) { r.Hold = on })
}

// PeersSlow bounds the bytes a second of each connection from one sidecar to another; 0 ends it.
func (t *Cluster) PeersSlow(from, to int, perS float64) {
	t.rule(from, to, func(r *LinkFault) { r.BytesPerSecond = perS })
}

// rule changes what befalls a way, beside what does already. It is for the play's loop, as all that befalls it.
func (t *Cluster) rule(from, to int, change func(*LinkFault)) {
	w := t.way(from, to)
	was := t.rules[w]
	r := was
	change(&r)
	t.rules[w] = r
	switch none := (LinkFault{}); {
	case was == none && r != none:
		t.trouble(1)
	case was != none && r == none:
		t.trouble(-1)
	default:
		t.trouble(0)
	}
	t.board.SetFault(r, w)
}

// PeersReset resets the connections between two sidecars.
func (t *Cluster) PeersReset(a, b int) {
	t.trouble(0)
	t.board.ResetLinks(t.mates[a].name, t.mates[b].name)
}

// PeersDeaf has somebody call at a sidecar as a peer does, ask again and again, and read nothing.
func (t *Cluster) PeersDeaf(sidecar int, perS float64, until time.Time) {
	t.trouble(1)
	t.deaf.Go(func() {
		defer t.trouble(-1)
		t.mates[sidecar].deafen(perS, until, t.over)
	})
}

// deafen asks until a time, or until over is closed.
func (m *mate) deafen(perS float64, until time.Time, over <-chan struct{}) {
	hello, ask, err := stalledpeer.Frames(fleetName, m.advertise)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	var c net.Conn
	tick := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer tick.Stop()
	for time.Now().Before(until) {
		select {
		case <-over:
			until = time.Time{}
			continue
		case <-tick.C:
		}
		say := ask
		if c == nil {
			if c, err = net.DialTimeout("tcp", m.advertise, time.Until(until)); err != nil {
				c = nil
				continue
			}
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // fails only on one that is closed
			say = hello
		}
		_ = c.SetWriteDeadline(until) // likewise
		if _, err := c.Write(say); err != nil {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
}

// DiskFull has a file stand where a sidecar's folder was, so that nothing can be written there, by nobody.
func (t *Cluster) DiskFull(sidecar int, on bool) {
	m := t.mates[sidecar]
	aside := m.dir + "-aside"
	if on && !m.full {
		if err := os.Rename(m.dir, aside); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return // the process goes on as before
		}
		m.full = os.WriteFile(m.dir, nil, 0o600) == nil
	} else if !on && m.full {
		m.full = false
		_ = os.Remove(m.dir)        // it is ours
		_ = os.Rename(aside, m.dir) // there may have been none
	}
}

// Spoil has the kept state of a sidecar that is down lost, torn or replaced by an older one.
func (t *Cluster) Spoil(sidecar int, state string) {
	file := filepath.Join(t.mates[sidecar].dir, "peer")
	raw, err := os.ReadFile(file)
	if err != nil {
		return // it has kept nothing yet
	}
	switch old := t.mates[sidecar].older; {
	case state == environment.StateLost:
		_ = os.Remove(file) // the next process tells what it finds
	case state == environment.StateOld && old != nil:
		_ = os.WriteFile(file, old, 0o600)
	case state == environment.StateTorn:
		_ = os.WriteFile(file, raw[:len(raw)/2], 0o600)
	}
}

// Standing notes that the process of a sidecar is up, or has ended.
func (t *Cluster) Standing(sidecar int, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, now := t.mates[sidecar], time.Now()
	if raw, err := os.ReadFile(filepath.Join(m.dir, "peer")); err == nil && m.older == nil {
		m.older = raw
	}
	if m.up && !on {
		m.goneAt = now
	}
	if !m.up && on && !m.since.IsZero() {
		t.aways = append(t.aways, away{sidecar, unix(m.since), unix(now)})
	}
	m.up, m.since = on, now
	t.troubleAt, t.agreed = now, false
}

// agreedOnce tells whether all have agreed on who is there.
func (t *Cluster) agreedOnce() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.agreedS) > 0
}

// trouble notes that there is one between sidecars now, or one more or less that goes on.
func (t *Cluster) trouble(more int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ongoing += more
	t.troubleAt, t.agreed = time.Now(), false
}

// --- what the doors say ---

// seen is what a door tells, as far as it is looked at here.
type seen struct {
	ID      string `json:"id"`
	Live    int    `json:"live"`
	Rank    int    `json:"rank"`
	Count   int    `json:"count"`
	Members []struct {
		ID    string  `json:"id"`
		Name  string  `json:"name"`
		State string  `json:"state"`
		ForS  float64 `json:"for_s"`
	} `json:"members"`
}

const (
	lookEvery = 250 * time.Millisecond
	askWithin = 3 * time.Second
	// agreeWithin after the last trouble all hold what is so. Aim: 10 s; what fails is twice that, since the machine is shared.
	agreeWithin = 20 * time.Second
	// livesFor is how long one must have lived, and no trouble been between any, to be called dead by nobody.
	livesFor = 15 * time.Second
)

// ask asks a door who is there.
func ask(address string) (s seen, err error) { return s, askDoor(address, "PEERS", &s) }

// askDoor asks a door for JSON.
func askDoor(address, call string, to any) error {
	c, err := net.DialTimeout("tcp", address, askWithin)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(askWithin)) // fails only on one that is closed
	if _, err = io.WriteString(c, call+"\n"); err != nil {
		return err
	}
	return json.NewDecoder(bufio.NewReader(c)).Decode(to)
}

// watch asks all doors again and again, and holds what they say beside what is so.
func (t *Cluster) watch(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		t.mu.Lock()
		up := make([]bool, len(t.mates))
		for i, m := range t.mates {
			up[i] = m.up
		}
		asked := t.troubleAt
		t.mu.Unlock()
		views := make([]*seen, len(t.mates))
		var asking sync.WaitGroup
		for i, m := range t.mates {
			if up[i] {
				asking.Go(func() {
					if s, err := ask(m.ops); err == nil && s.ID != "" {
						views[i] = &s
					}
				})
			}
		}
		if t.jobs != nil {
			owners := make([]*owners, len(t.mates))
			for i, m := range t.mates {
				if up[i] {
					asking.Go(func() {
						owners[i] = askOwners(m.ops)
					})
				}
			}
			asking.Wait()
			t.judgeOwners(owners, asked)
		}
		asking.Wait()
		t.judge(views, asked)
	}
}

func (t *Cluster) find(rule checker.Rule, sidecar, format string, args ...any) {
	t.broken++
	if len(t.wrong) < 50 {
		t.wrong = append(t.wrong, Violation{Rule: string(rule), AtSeconds: time.Since(t.began).Seconds(), Sidecar: sidecar, Reason: fmt.Sprintf(format, args...)})
	}
}

// judge compares one round of answers with what is so. A trouble that came meanwhile makes the round worth nothing.
func (t *Cluster) judge(views []*seen, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.troubleAt != asked {
		return
	}
	if t.ongoing > 0 {
		t.troubleAt = time.Now() // Danger: who is cut off is not to hold what is so
	}
	calm := time.Since(t.troubleAt)
	byID := map[string]*mate{}
	up, answered := 0, 0
	for i, m := range t.mates {
		if m.up {
			up++
		}
		if views[i] != nil {
			answered++
			t.views++
			m.id = views[i].ID
			byID[m.id] = m
		}
	}
	round := Round{AtSeconds: time.Since(t.began).Seconds(), Running: up, MinAlive: len(t.mates)}
	differs := ""
	for i, v := range views {
		if v == nil {
			continue
		}
		live := 0
		for _, x := range v.Members {
			o := byID[x.ID]
			switch {
			case x.State == "alive" && o != nil:
				live++
			case x.State == "alive" && answered == up, x.State == "suspected":
				differs = fmt.Sprintf("%s holds %s (%s) for %s", t.mates[i].name, x.Name, x.ID, x.State)
			case x.State == "dead" && o != nil && o.up && time.Since(o.since) > livesFor && calm > livesFor:
				t.find(checker.FalseDeath, t.mates[i].name, "%s is held for dead and lives, %.1f s after the last trouble", o.name, calm.Seconds())
				o.since = time.Now() // once
			}
		}
		round.MinAlive, round.MaxAlive = min(round.MinAlive, v.Live), max(round.MaxAlive, v.Live)
		if live != up {
			differs = fmt.Sprintf("%s knows %d that live, of %d", t.mates[i].name, live, up)
		}
	}
	if answered > 0 {
		t.rounds = append(t.rounds, round)
	}
	t.noteKnown(views)
	switch {
	case t.agreed, t.ongoing > 0:
	case differs == "" && answered == up:
		t.agreed = true
		t.agreedS = append(t.agreedS, calm.Seconds())
	case calm > agreeWithin && differs != "":
		t.agreed = true // once for each calm
		t.find(checker.FleetView, "", "%.1f s after the last trouble: %s", calm.Seconds(), differs)
	}
}

// noteKnown notes when all who are there know of one that went.
func (t *Cluster) noteKnown(views []*seen) {
	for _, m := range t.mates {
		if m.goneAt.IsZero() || m.up {
			m.goneAt = time.Time{}
			continue
		}
		known := true
		for _, v := range views {
			if v == nil {
				continue
			}
			for _, x := range v.Members {
				known = known && !(x.ID == m.id && (x.State == "alive" || x.State == "suspected"))
			}
		}
		if known {
			t.known = append(t.known, time.Since(m.goneAt).Seconds())
			m.goneAt = time.Time{}
		}
	}
}
