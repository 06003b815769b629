package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	beginWithin = 20 * time.Second
	sampleEvery = time.Second
	// afterFor is how long clients go on once RecoveryS is over.
	afterFor = 4 * time.Second
	// longPart is the part of the run for which a process must have lived for its growth to be judged.
	longPart = 0.6
)

// Result says what was played and what came of it.
type Result struct {
	Seed            uint64         `json:"Seed"`
	Processes       int            `json:"Processes"`
	Seconds         float64        `json:"Seconds"`
	Requests        int64          `json:"Requests"`
	Outcomes        map[string]int `json:"Outcomes"` // requests by what clients saw
	LastVersion     uint64         `json:"Versions"` // of the configuration, in the end
	AddedRoutes     int64          `json:"Added"`    // routes, one a change
	ScenarioCounts  map[string]int `json:"Series"`   // by name
	KillAllCount    int64          `json:"AllKilled"`
	ReplacedServers int            `json:"Renewed"` // servers that were replaced by another instance at their address
	ResumedFeeds    int            `json:"Resumed"` // feeds that another attempt went on with
	HungUpEarly     int            `json:"HungUp"`  // processes that SIGHUP ended before they can have begun
	// The slowest change until it was confirmed, and the slowest control machine until it voted again, in seconds.
	SlowestChangeSeconds float64           `json:"SlowestChange"`
	SlowestVoteSeconds   float64           `json:"SlowestVote"`
	Violations           map[Rule][]string `json:"Broken"`
}

// Run plays a fleet and returns what came of it. Broken rules are in the report; an error says that it could not be played.
func Run(ctx context.Context, s Settings) (*Result, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	if s.Log == nil {
		s.Log = io.Discard
	}
	dir := s.Dir
	if dir == "" {
		made, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return nil, Error.Wrap(err)
		}
		defer func() { _ = os.RemoveAll(made) }() // temporary
		dir = made
	}
	checker := NewChecker()
	listed, err := startPlatform(checker)
	if err != nil {
		return nil, err
	}
	defer listed.close()
	f := newFleet(&s, checker, dir, listed.address)
	defer f.end()
	r := &run{settings: s, fleet: f, checker: checker, listed: listed, operator: newOperator(f, checker, s.Seed), player: newPlayer(f, checker, s.Seed)}
	return r.play(ctx)
}

// run is one run of a soak.
type run struct {
	settings Settings
	fleet    *fleet
	checker  *Checker
	listed   *platform
	operator *operator
	player   *player
	clients  *clients
	renewed  int // servers
}

func (r *run) play(ctx context.Context) (*Result, error) {
	began := time.Now()
	if err := r.fleet.start(rand.New(rand.NewPCG(r.settings.Seed, 4))); err != nil {
		return nil, err
	}
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	asking, stopAsking := context.WithCancel(ctx)
	defer stopAsking()
	var work sync.WaitGroup
	r.clients = &clients{fleet: r.fleet, checker: r.checker, routes: &r.operator.routes}
	for i := range clientsPerEdge * len(r.fleet.fronts()) {
		work.Go(func() { r.clients.run(asking, r.settings.Seed*1000+uint64(i)) })
	}
	work.Go(func() { r.operator.run(asking) })
	work.Go(func() { r.sample(asking) })

	troubled, stopTrouble := context.WithTimeout(ctx, r.settings.FaultDuration)
	defer stopTrouble()
	work.Go(func() { r.renewed = r.listed.renew(troubled, rand.New(rand.NewPCG(r.settings.Seed, 5))) })
	r.player.run(troubled)
	from := time.Now().Add(seconds(recoveryS))
	r.checker.FaultsEnded(from)
	pause(ctx, time.Until(from)+afterFor)
	stopAsking()
	work.Wait()
	if ctx.Err() != nil {
		return nil, Error.Wrap(ctx.Err())
	}
	r.finish(ctx, time.Since(began))
	return r.report(time.Since(began)), nil
}

// begin waits until the first configuration is taken and all proxies are ready.
func (r *run) begin(ctx context.Context) error {
	starting, cancel := context.WithTimeout(ctx, beginWithin)
	defer cancel()
	r.operator.change(starting)
	for _, m := range r.fleet.fronts() {
		for !r.ready(m) {
			if starting.Err() != nil {
				return Error.New("%s is not ready after %v", m.name, beginWithin)
			}
			pause(starting, askAgain)
		}
	}
	return nil
}

func (r *run) ready(m *machine) bool {
	answer, err := r.operator.http.Get("http://" + r.fleet.ready(m) + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == 200
}

// sample looks at what all processes take, now and then.
func (r *run) sample(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range r.fleet.machines() {
			for _, p := range m.processes {
				p.look()
			}
		}
		pause(ctx, sampleEvery)
	}
}

// finish judges what can be judged in the end alone, and ends all processes in order.
func (r *run) finish(ctx context.Context, lasted time.Duration) {
	r.operator.readBack(ctx)
	for _, m := range r.fleet.machines() {
		for _, p := range m.processes {
			p.checkGrowth(time.Duration(longPart * float64(lasted)))
		}
	}
	r.player.eachMachine(func(m *machine) {
		m.signal(syscall.SIGTERM)
		m.each((*process).awaitEnd)
	})
	r.checker.Finish()
}

func (r *run) report(lasted time.Duration) *Result {
	r.checker.mu.Lock()
	outcomes, hungUp, resumed := r.checker.outcomes, r.checker.hungUp, r.checker.resumed
	r.checker.mu.Unlock()
	return &Result{Seed: r.settings.Seed, Processes: r.settings.controlProcesses() + 2*r.settings.edges(), Seconds: lasted.Seconds(),
		Requests: r.clients.count.Load(), Outcomes: outcomes, LastVersion: r.operator.version, AddedRoutes: r.operator.routes.Load(), ScenarioCounts: r.player.played,
		KillAllCount: r.player.allKilled.Load(), ReplacedServers: r.renewed, ResumedFeeds: resumed, HungUpEarly: hungUp, SlowestChangeSeconds: r.operator.slowest.Seconds(), SlowestVoteSeconds: r.player.slowest.Seconds(),
		Violations: r.checker.Broken()}
}

// String sums a result up in a line, with a line for each broken rule.
func (r *Result) String() string {
	series := 0
	for _, count := range r.ScenarioCounts {
		series += count
	}
	out := fmt.Sprintf("seed %d: %d processes, %.0f s, %d requests %v, %d changes (slowest %.1f s), %d series, all killed %d times, %d servers replaced, %d feeds resumed, %d hung up before they began, slowest vote %.1f s, %d rules broken\n",
		r.Seed, r.Processes, r.Seconds, r.Requests, r.Outcomes, r.AddedRoutes, r.SlowestChangeSeconds, series, r.KillAllCount, r.ReplacedServers, r.ResumedFeeds, r.HungUpEarly, r.SlowestVoteSeconds, len(r.Violations))
	for rule, cases := range r.Violations {
		for _, one := range cases {
			out += fmt.Sprintf("  %s: %s\n", rule, one)
		}
	}
	return out
}
