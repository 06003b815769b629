package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// restPerMachine is the mean time between two series on one machine.
	restPerMachine = 8 * time.Second
	// controlPart is the part of the series that meets control machines, where they may be lost.
	controlPart = 0.3
	// allKilledEvery is the mean time between kills of all processes.
	allKilledEvery = 25 * time.Second
	allDownFor     = time.Second
	voteEvery      = 100 * time.Millisecond
)

// player does things to machines. Series on different machines overlap, and so do the steps of one.
type player struct {
	fleet   *fleet
	checker *Checker
	dir     string

	voteWithin time.Duration // a control machine that has come back must vote

	lost      chan struct{} // has room for the control machines that may be lost at once
	allKilled atomic.Int64  // how often all processes were killed
	playing   sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	played  map[string]int // series by name
	slowest time.Duration  // until a control machine voted again
}

func newPlayer(f *fleet, checker *Checker, seed uint64) *player {
	return &player{fleet: f, checker: checker, dir: f.dir, voteWithin: seconds(catchUpS) + machineSlack, lost: make(chan struct{}, f.settings.tolerate()),
		rng: rand.New(rand.NewPCG(seed, 3)), played: map[string]int{}}
}

// between draws a time.
func (p *player) between(least, most time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return least + time.Duration(p.rng.Int64N(int64(most-least)))
}

// series is what is done to one machine, step by step.
type series struct {
	name string
	play func(p *player, m *machine)
}

// Each of these leaves its machine running. Steps come while the one before is still at work.
var everywhere = []series{
	{"restart", func(p *player, m *machine) { m.signal(syscall.SIGTERM); m.restart() }},
	{"told to end twice", func(p *player, m *machine) {
		m.signal(syscall.SIGTERM)
		time.Sleep(p.between(10*time.Millisecond, time.Second))
		m.signal(syscall.SIGTERM)
		m.restart()
	}},
	{"killed while it ends", func(p *player, m *machine) {
		m.signal(syscall.SIGTERM)
		time.Sleep(p.between(10*time.Millisecond, 2*time.Second))
		m.kill()
		m.start()
	}},
	{"told to end while it reloads", func(p *player, m *machine) {
		p.reload(m)
		time.Sleep(p.between(time.Millisecond, 50*time.Millisecond))
		m.signal(syscall.SIGTERM)
		m.restart()
	}},
	{"reloads while it ends", func(p *player, m *machine) {
		m.signal(syscall.SIGTERM)
		time.Sleep(p.between(10*time.Millisecond, time.Second))
		p.reload(m)
		m.restart()
	}},
	{"killed", func(p *player, m *machine) {
		m.kill()
		time.Sleep(p.between(50*time.Millisecond, 2*time.Second))
		m.start()
	}},
	{"killed while it joins", func(p *player, m *machine) {
		for range 2 {
			m.kill()
			m.start()
			time.Sleep(p.between(50*time.Millisecond, 600*time.Millisecond))
		}
		m.kill()
		m.start()
	}},
	{"reloads as it begins", func(p *player, m *machine) {
		m.kill()
		m.start()
		time.Sleep(p.between(time.Millisecond, 200*time.Millisecond))
		p.reload(m)
		time.Sleep(p.between(50*time.Millisecond, 100*time.Millisecond))
		m.start() // for one that had not begun
	}},
	{"stands still", func(p *player, m *machine) {
		m.signal(syscall.SIGSTOP)
		time.Sleep(p.between(200*time.Millisecond, 3*time.Second))
		m.signal(syscall.SIGCONT)
	}},
	{"reloads again and again", func(p *player, m *machine) {
		for range 5 {
			p.reload(m)
			time.Sleep(p.between(5*time.Millisecond, 100*time.Millisecond))
		}
	}},
}

var onEdges = []series{
	{"agent alone killed", func(p *player, m *machine) {
		m.process(roleAgent).kill()
		time.Sleep(p.between(10*time.Millisecond, time.Second))
		m.start()
	}},
	{"proxy alone killed", func(p *player, m *machine) {
		m.process(roleProxy).kill()
		m.start()
	}},
}

var onControls = []series{
	{"disk lost", func(p *player, m *machine) { p.wipe(m) }},
	{"disk lost, killed while it joins", func(p *player, m *machine) {
		p.wipe(m)
		time.Sleep(p.between(50*time.Millisecond, time.Second))
		m.kill()
		m.start()
	}},
}

func (m *machine) signal(sent syscall.Signal) { m.each(func(p *process) { p.signal(sent) }) }
func (m *machine) kill()                      { m.each((*process).kill) }

// restart waits for the end of the machine's processes and starts them again.
func (m *machine) restart() {
	m.each((*process).awaitEnd)
	m.start()
}

func (m *machine) start() {
	m.each(func(p *process) {
		if err := p.start(); err != nil {
			p.fleet.checker.Break(EndsByItself, "%s did not start: %v", p.name(), err)
		}
	})
}

// reload writes the settings anew, with other seeds, and tells the machine's processes.
func (p *player) reload(m *machine) {
	p.mu.Lock()
	err := p.fleet.write(m, false, p.rng)
	p.mu.Unlock()
	if err != nil {
		p.checker.Break(EndsByItself, "%s: %v", m.name, err)
	}
	m.signal(syscall.SIGHUP)
}

// wipe ends a machine's processes, removes its disk and starts it again.
func (p *player) wipe(m *machine) {
	m.kill()
	if err := p.removeDisk(m); err != nil {
		p.checker.Break(Confirmed, "%s: %v", m.name, err)
	}
	m.start()
}

// removeDisk removes what a machine has stored and has its settings say that this is no first start. Danger: with Bootstrap true an empty
// disk makes a founder, which votes under its old identity though it has forgotten what it accepted; an acknowledged configuration can
// then be lost. Operators set Bootstrap for the first start alone.
func (p *player) removeDisk(m *machine) error {
	p.mu.Lock()
	err := p.fleet.write(m, false, p.rng)
	p.mu.Unlock()
	return errors.Join(err, os.RemoveAll(m.dataDir(p.dir)))
}

// run draws series until the context ends, and returns once all are over.
func (p *player) run(ctx context.Context) {
	machines := len(p.fleet.machines())
	p.playing.Go(func() { p.killAllNowAndThen(ctx) })
	for ctx.Err() == nil {
		p.begin()
		pause(ctx, p.between(0, 2*restPerMachine/time.Duration(machines)))
	}
	p.playing.Wait()
}

// begin begins a series on some machine, where that may be.
func (p *player) begin() {
	p.mu.Lock()
	control := p.rng.Float64() < controlPart
	machines, choices := p.fleet.edges, append(append([]series(nil), everywhere...), onEdges...)
	if control {
		machines, choices = p.fleet.controls, append(append([]series(nil), everywhere...), onControls...)
	}
	m, s := machines[p.rng.IntN(len(machines))], choices[p.rng.IntN(len(choices))]
	p.mu.Unlock()
	if control {
		select {
		case p.lost <- struct{}{}:
		default:
			return // as many as may be lost are
		}
	}
	if !m.claim() {
		if control {
			<-p.lost
		}
		return
	}
	p.mu.Lock()
	p.played[s.name]++
	p.mu.Unlock()
	p.playing.Go(func() {
		s.play(p, m)
		m.release()
		if control {
			p.awaitVote(m)
			time.Sleep(seconds(catchUpS)) // until then the machine counts as lost
			<-p.lost
		}
	})
}

// claim takes a machine for one series at a time.
func (m *machine) claim() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.claimed {
		return false
	}
	m.claimed = true
	return true
}

func (m *machine) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claimed = false
}

// awaitVote looks whether a control machine that has come back votes in its time. Where all were killed meanwhile its time begins anew.
func (p *player) awaitVote(m *machine) {
	began, kills := time.Now(), p.allKilled.Load()
	for !p.votes(m) {
		if now := p.allKilled.Load(); now != kills {
			began, kills = time.Now().Add(allDownFor), now
		}
		if waited := time.Since(began); waited > p.voteWithin {
			p.checker.Break(Voters, "%s does not vote %v after it has come back", m.name, waited.Round(time.Millisecond))
			return
		}
		time.Sleep(voteEvery)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowest = max(p.slowest, time.Since(began))
}

// votes asks a control process whether it votes.
func (p *player) votes(m *machine) bool {
	answer, err := (&http.Client{Timeout: connectWithin}).Get(fmt.Sprintf("http://%s:%d/fleet/v1/holdings", m.ip, p.fleet.base))
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var told struct{ Votes bool }
	return json.NewDecoder(answer.Body).Decode(&told) == nil && told.Votes
}

// killAllNowAndThen kills all processes at once, whatever is being done to them, and starts them again.
func (p *player) killAllNowAndThen(ctx context.Context) {
	for {
		pause(ctx, p.between(allKilledEvery/2, allKilledEvery*3/2))
		if ctx.Err() != nil {
			return
		}
		p.allKilled.Add(1)
		p.eachMachine((*machine).kill)
		time.Sleep(allDownFor)
		p.eachMachine((*machine).start)
	}
}

func (p *player) eachMachine(do func(m *machine)) {
	var doing sync.WaitGroup
	for _, m := range p.fleet.machines() {
		doing.Go(func() { do(m) })
	}
	doing.Wait()
}
