// Package experiment measures balancers against each other: a matrix of balancer, size, load and trouble, each cell
// several times, balancers in turns. Every run has fresh processes, pinned to cores if that is asked, and leaves its raw
// figures in a folder; what was measured is kept whatever ends the experiment.
package experiment

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"hazelwheel/internal/lab/load"
	"hazelwheel/internal/lab/proxy"
	"hazelwheel/internal/lab/stub"
	"hazelwheel/internal/tomlfile"
)

// Duration is a time as the file has it.
type Duration = tomlfile.Duration

// Spec is an experiment's file.
type Spec struct {
	Name      string     `toml:"name"`
	About     string     `toml:"about"` // for readers of the report
	Seed      uint64     `toml:"seed"`
	Repeats   int        `toml:"repeats"`
	Step      Duration   `toml:"step"`  // of the series over time; default 1s
	Pause     Duration   `toml:"pause"` // between two runs
	Cores     Cores      `toml:"cores"`
	Nice      int        `toml:"nice"` // priority of all processes, -20 to 19; below 0 keeps others' work out, and is for root
	Balancers []Balancer `toml:"balancer"`
	Sizes     []Size     `toml:"size"`
	Loads     []Load     `toml:"load"`
	Troubles  []Trouble  `toml:"trouble"` // none: one cell without any
}

// Cores say what runs where; an empty list leaves it to the system.
type Cores struct {
	Balancer []int `toml:"balancer"`
	Boxes    []int `toml:"boxes"`
	Load     []int `toml:"load"`
}

// Balancer is one of those that are compared.
type Balancer struct {
	Name     string  `toml:"name"`
	Kind     string  `toml:"kind"`      // hazelwheel, or a kind of hazellab proxy
	Binary   string  `toml:"binary"`    // hazelwheel's file; default: hazelwheel beside hazellab
	Retries  int     `toml:"retries"`   // of a proxy
	Cores    float64 `toml:"cores"`     // hazelwheel's limits; defaults 1, 192 and 4096
	MemoryMB int     `toml:"memory_mb"` //
	Sockets  int     `toml:"sockets"`   //
	// Profile has hazelwheel run within hazellab, as this tree has it, and leave profiles of its CPU time with the figures.
	Profile bool `toml:"profile"`
}

// Sidecar is the kind of the program that this project is about.
const Sidecar = "hazelwheel"

// Size is what stands behind the balancer, and how many balancers there are.
type Size struct {
	Name      string   `toml:"name"`
	Boxes     int      `toml:"boxes"`
	Delay     Duration `toml:"delay"`     // a box's time for a request
	Body      int      `toml:"body"`      // bytes of an answer
	Slots     int      `toml:"slots"`     // that a box works on at once; 0: all
	Waiting   int      `toml:"waiting"`   // that may wait for a slot
	Balancers int      `toml:"balancers"` // processes, each with its part of the load; default 1
}

// Load is what is asked. Without a rate and stages the loop is closed.
type Load struct {
	Name     string   `toml:"name"`
	For      Duration `toml:"for"`
	Rate     float64  `toml:"rate"` // requests a second
	Stages   []Stage  `toml:"stages"`
	Poisson  bool     `toml:"poisson"`
	Links    int      `toml:"links"`
	New      float64  `toml:"new"` // share of requests that come on a connection of their own
	Body     int      `toml:"body"`
	Patience Duration `toml:"patience"` // default 2s
	Retries  int      `toml:"retries"`
	Backoff  Duration `toml:"backoff"` // default 50ms
	Threads  int      `toml:"threads"` // default 1
	Classes  []Class  `toml:"classes"` // default: safe ones alone
}

// Stage is a part of an open loop.
type Stage struct {
	From float64  `toml:"from"`
	To   float64  `toml:"to"`
	For  Duration `toml:"for"`
}

// Class is a part of what is asked.
type Class struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// Trouble is what goes wrong during a run.
type Trouble struct {
	Name   string  `toml:"name"`
	Events []Event `toml:"events"`
}

// Event is one thing that goes wrong.
type Event struct {
	Kind  string   `toml:"kind"`  // a stand-in's trouble, or one of the two below
	At    Duration `toml:"at"`    // from the load's start
	For   Duration `toml:"for"`   //
	Boxes []int    `toml:"boxes"` // numbers, from 0
	Delay Duration `toml:"delay"` // of slow boxes
}

// Troubles of the balancer's own process.
const (
	Freeze = "freeze" // it is stopped, and goes on
	Kill   = "kill"   // it is killed, and begun again when the trouble is over
)

const (
	mostRuns      = 10000
	mostBalancers = 200
)

// Read reads an experiment's text. Every error is one line that names the file, the line and the field.
func Read(file string, text []byte) (*Spec, error) {
	s := &Spec{}
	f, err := tomlfile.Read(file, text, s)
	if err != nil {
		return nil, err
	}
	s.defaults()
	if path, why := s.fault(); path != "" {
		return nil, f.Fault(path, why)
	}
	return s, nil
}

// ReadFile reads an experiment's file and returns its bytes as well.
func ReadFile(path string) (*Spec, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	s, err := Read(path, text)
	return s, text, err
}

func (s *Spec) defaults() {
	or := func(d *Duration, v time.Duration) {
		if d.Duration == 0 && d.Why() == "" {
			d.Duration = v
		}
	}
	or(&s.Step, time.Second)
	if len(s.Troubles) == 0 {
		s.Troubles = []Trouble{{Name: "none"}}
	}
	for i := range s.Balancers {
		b := &s.Balancers[i]
		if b.Kind == Sidecar {
			b.Cores, b.MemoryMB, b.Sockets = orNumber(b.Cores, 1), orNumber(b.MemoryMB, 192), orNumber(b.Sockets, 4096)
		}
	}
	for i := range s.Sizes {
		s.Sizes[i].Balancers = orNumber(s.Sizes[i].Balancers, 1)
	}
	for i := range s.Loads {
		l := &s.Loads[i]
		or(&l.Patience, 2*time.Second)
		or(&l.Backoff, 50*time.Millisecond)
		l.Threads = orNumber(l.Threads, 1)
		if len(l.Classes) == 0 {
			l.Classes = []Class{{stub.SafeClass, 1}}
		}
		for _, g := range l.Stages {
			l.For.Duration += g.For.Duration
		}
	}
}

func orNumber[T int | float64](x, other T) T {
	if x == 0 {
		return other
	}
	return x
}

// fault returns the path of the first field that is wrong, and why; both are empty if none is.
func (s *Spec) fault() (path, why string) {
	var c checker
	c.check("name", s.Name != "", "missing")
	c.check("repeats", s.Repeats >= 1 && s.Repeats <= 1000, "not 1 to 1000")
	c.time("step", &s.Step, time.Millisecond, time.Minute)
	c.time("pause", &s.Pause, 0, time.Minute)
	c.check("nice", s.Nice >= -20 && s.Nice <= 19, "not -20 to 19")
	c.cores("cores.balancer", s.Cores.Balancer)
	c.cores("cores.boxes", s.Cores.Boxes)
	c.cores("cores.load", s.Cores.Load)
	c.check("balancer", len(s.Balancers) > 0, "none")
	c.check("size", len(s.Sizes) > 0, "none")
	c.check("load", len(s.Loads) > 0, "none")
	for i := range s.Balancers {
		s.Balancers[i].fault(c.in("balancer", i), nameIsNew(s.Balancers, i, func(b Balancer) string { return b.Name }))
	}
	for i := range s.Sizes {
		s.Sizes[i].fault(c.in("size", i), nameIsNew(s.Sizes, i, func(b Size) string { return b.Name }))
	}
	for i := range s.Loads {
		s.Loads[i].fault(c.in("load", i), nameIsNew(s.Loads, i, func(b Load) string { return b.Name }), s)
	}
	for i := range s.Troubles {
		s.Troubles[i].fault(c.in("trouble", i), nameIsNew(s.Troubles, i, func(b Trouble) string { return b.Name }), s)
	}
	c.check("repeats", c.path != "" || len(s.Plan()) <= mostRuns, fmt.Sprintf("more than %d runs", mostRuns))
	return c.path, c.why
}

func nameIsNew[T any](all []T, i int, name func(T) string) bool {
	return name(all[i]) != "" && slices.IndexFunc(all, func(x T) bool { return name(x) == name(all[i]) }) == i
}

// checker keeps the first fault.
type checker struct {
	path, why string
	prefix    string
	parent    *checker
}

func (c *checker) in(table string, i int) *checker {
	root := c
	if c.parent != nil {
		root = c.parent
	}
	return &checker{prefix: fmt.Sprintf("%s%s[%d].", c.prefix, table, i), parent: root}
}

func (c *checker) check(field string, ok bool, why string) {
	root := c
	if c.parent != nil {
		root = c.parent
	}
	if !ok && root.path == "" {
		root.path, root.why = c.prefix+field, why
	}
}

func (c *checker) time(field string, d *Duration, least, most time.Duration) {
	c.check(field, d.Why() == "", d.Why())
	c.check(field, d.Duration >= least && d.Duration <= most, fmt.Sprintf("%s is not %s to %s", d.Duration, least, most))
}

func (c *checker) cores(field string, cores []int) {
	for _, core := range cores {
		c.check(field, core >= 0 && core < 1024, fmt.Sprintf("%d is no core", core))
	}
}

func (b *Balancer) fault(c *checker, named bool) {
	c.check("name", named, "missing, or there before")
	own := b.Kind == Sidecar
	c.check("kind", own || slices.Contains(proxy.Kinds, b.Kind), fmt.Sprintf("%q is neither %s nor one of %v", b.Kind, Sidecar, proxy.Kinds))
	c.check("binary", own || b.Binary == "", "only "+Sidecar+" has one")
	c.check("profile", !b.Profile || own && b.Binary == "", "only "+Sidecar+" without a binary can be profiled")
	c.check("retries", b.Retries >= 0 && b.Retries <= 10, "not 0 to 10")
	c.check("retries", b.Retries == 0 || !own && b.Kind != "fasthttp", b.Kind+" has none to set")
	c.check("cores", b.Cores >= 0 && b.Cores <= 1024 && (own || b.Cores == 0), "out of range, or not "+Sidecar)
	c.check("memory_mb", !own || b.MemoryMB >= 16, "not 16 or more")
	c.check("sockets", !own || b.Sockets >= 64 && b.Sockets <= 1<<20, "not 64 to 1048576")
}

// firstBox is the address of the first box; the others follow it.
var firstBox = netip.MustParseAddr("127.10.0.1")

func (s *Size) fault(c *checker, named bool) {
	c.check("name", named, "missing, or there before")
	c.time("delay", &s.Delay, 0, time.Minute)
	c.check("balancers", s.Balancers >= 1 && s.Balancers <= mostBalancers, fmt.Sprintf("not 1 to %d", mostBalancers))
	c.check("boxes", s.Boxes >= 1 && s.Boxes <= stub.MaxServers, fmt.Sprintf("not 1 to %d", stub.MaxServers))
	c.check("body", s.Body >= 0 && s.Body <= 64<<10, "not 0 to 65536")
	c.check("slots", s.Slots >= 0 && (s.Slots == 0 || s.Delay.Duration > 0), "below 0, or without a delay")
	c.check("waiting", s.Waiting >= 0, "below 0")
}

func (l *Load) fault(c *checker, named bool, s *Spec) {
	c.check("name", named, "missing, or there before")
	for i := range l.Stages {
		g := &l.Stages[i]
		c := c.in("stages", i)
		c.check("from", g.From >= 0, "below 0")
		c.check("to", g.To >= 0, "below 0")
		c.time("for", &g.For, time.Millisecond, time.Hour)
	}
	c.time("for", &l.For, 100*time.Millisecond, time.Hour)
	c.check("rate", l.Rate >= 0 && l.Rate < 1e7, "not 0 to 10,000,000")
	c.check("rate", l.Rate == 0 || len(l.Stages) == 0, "beside stages")
	c.time("patience", &l.Patience, time.Millisecond, time.Minute)
	c.check("retries", l.Retries >= 0 && l.Retries <= 10, "not 0 to 10")
	c.time("backoff", &l.Backoff, 0, time.Minute)
	c.check("links", l.Links >= 1 && l.Links <= 20000, "not 1 to 20000")
	c.check("threads", l.Threads >= 1 && l.Threads <= 64 && l.Threads <= l.Links, "not 1 to 64 or the number of links")
	c.check("new", l.New >= 0 && l.New <= 1, "not 0 to 1")
	c.check("body", l.Body >= 0 && l.Body <= 64<<10, "not 0 to 65536")
	c.check("for", s.Step.Duration <= 0 || l.For.Duration/s.Step.Duration <= 4000, "more than 4,000 steps")
	for i, k := range l.Classes {
		c := c.in("classes", i)
		known := slices.ContainsFunc(stub.ClassSpecs, func(x stub.ClassSpec) bool { return x.Name == k.Name })
		c.check("name", known, fmt.Sprintf("%q is no class of the stand-ins'", k.Name))
		c.check("share", k.Share > 0, "not above 0")
	}
	for _, size := range s.Sizes {
		c.check("links", l.Links >= size.Balancers*l.Threads, "fewer than a link a thread for each balancer of "+size.Name)
	}
}

func (t *Trouble) fault(c *checker, named bool, s *Spec) {
	c.check("name", named, "missing, or there before")
	for i := range t.Events {
		e := &t.Events[i]
		c := c.in("events", i)
		own := e.Kind == Freeze || e.Kind == Kill
		c.check("kind", own || slices.Contains(stub.FaultKinds, e.Kind),
			fmt.Sprintf("%q is none of %v, %s, %s", e.Kind, stub.FaultKinds, Freeze, Kill))
		c.time("at", &e.At, 0, time.Hour)
		c.time("for", &e.For, time.Millisecond, time.Hour)
		c.time("delay", &e.Delay, 0, time.Minute)
		c.check("delay", (e.Kind == stub.Slow) == (e.Delay.Duration > 0), "slow boxes alone have one")
		c.check("boxes", own == (len(e.Boxes) == 0), "boxes' troubles alone name some")
		for _, l := range s.Loads {
			c.check("at", e.At.Duration+e.For.Duration <= l.For.Duration, "its end is behind that of load "+l.Name)
		}
		for _, size := range s.Sizes {
			for _, b := range e.Boxes {
				c.check("boxes", b >= 0 && b < size.Boxes, fmt.Sprintf("size %s has no box %d", size.Name, b))
			}
		}
	}
}

// plan returns what a client of one run sends.
func (l *Load) plan(seed uint64, step time.Duration) load.Plan {
	p := load.Plan{For: l.For.Duration, Poisson: l.Poisson, Links: l.Links, New: l.New, Body: l.Body, Patience: l.Patience.Duration,
		Retries: l.Retries, Backoff: l.Backoff.Duration, Threads: l.Threads, Seed: seed, Step: step}
	for _, g := range l.Stages {
		p.Stages = append(p.Stages, load.Stage{From: g.From, To: g.To, For: g.For.Duration})
	}
	if l.Rate > 0 {
		p.Stages = []load.Stage{{From: l.Rate, To: l.Rate, For: l.For.Duration}}
	}
	for _, k := range l.Classes {
		for _, x := range stub.ClassSpecs {
			if x.Name == k.Name {
				p.Classes = append(p.Classes, load.Class{Name: x.Name, Safe: x.Effect == "free", Keyed: x.Effect == "guarded", Share: k.Share,
					Worth: x.Worth, LateShare: x.Late, Aim: time.Duration(x.ObjectiveSeconds * float64(time.Second))})
			}
		}
	}
	return p
}

// Run is one run of the plan.
type Run struct {
	Number   int    `json:"number"` // from 1, in the order of the runs
	Balancer string `json:"balancer"`
	Size     string `json:"size"`
	Load     string `json:"load"`
	Trouble  string `json:"trouble"`
	Repeat   int    `json:"repeat"` // from 1
	Seed     uint64 `json:"seed"`   // the same for all balancers of a repeat

	balancer *Balancer
	size     *Size
	load     *Load
	trouble  *Trouble
}

// Plan returns all runs in their order: balancers in turns, repeat by repeat, cell by cell.
func (s *Spec) Plan() []Run {
	var runs []Run
	for i := range s.Sizes {
		for j := range s.Loads {
			for k := range s.Troubles {
				for repeat := range s.Repeats {
					for b := range s.Balancers {
						runs = append(runs, Run{Number: len(runs) + 1, Balancer: s.Balancers[b].Name, Size: s.Sizes[i].Name,
							Load: s.Loads[j].Name, Trouble: s.Troubles[k].Name, Repeat: repeat + 1, Seed: s.Seed + uint64(repeat),
							balancer: &s.Balancers[b], size: &s.Sizes[i], load: &s.Loads[j], trouble: &s.Troubles[k]})
					}
				}
			}
		}
	}
	return runs
}

// setUpTakes is what a run takes beside its load, about.
const setUpTakes = 500 * time.Millisecond

// Takes returns how long a plan takes, about.
func (s *Spec) Takes() time.Duration {
	var d time.Duration
	for _, r := range s.Plan() {
		d += setUpTakes + r.load.For.Duration + s.Pause.Duration
	}
	return d
}
