// Package overload measures what a sidecar does when it is pressed: by floods of connections, by more load than its core
// can carry, by a word to end while clients go on, and by answers that nobody reads. Programs are measured in turns, each
// run with fresh processes on cores of their own.
package overload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"hazelwheel/internal/lab/load"
	"hazelwheel/internal/lab/process"
)

// Program is what is measured: a hazelwheel binary, or a plain balancer of this laboratory.
type Program struct {
	Name  string
	Path  string // of hazelwheel; empty: the proxy below
	Proxy string // a kind of hazellab proxy
}

// Cores say what runs where; an empty list leaves it to the system.
type Cores struct{ Program, Boxes, Load, Flood []int }

// Settings are a whole measurement.
type Settings struct {
	Programs []Program
	Cores    Cores
	Nice     int // priority of all processes, to keep others' work out of the figures
	Repeats  int
	Only     *regexp.Regexp // of the measurements' names; nil: all
	Self     string         // this program's file, which plays boxes, load and floods
	Dir      string         // for configurations and logs
	Say      io.Writer      // progress
}

// Figure is one thing that a measurement tells.
type Figure struct {
	Name  string
	Value float64
}

// Row is a figure of a measurement, with the values of each program's runs.
type Row struct {
	Measurement string               `json:"measurement"`
	Figure      string               `json:"figure"`
	Values      map[string][]float64 `json:"values"` // by program
}

// broken is the figure of runs in which a program did not last, or could not be measured.
const broken = "runs that it did not last"

// Run measures all, program after program in turns. A run that fails is a figure of its program's. What was measured before
// the end of ctx is returned beside its error.
func Run(ctx context.Context, s *Settings) ([]Row, error) {
	var rows []Row
	for _, m := range measurements {
		if s.Only != nil && !s.Only.MatchString(m.name) {
			continue
		}
		for turn := range s.Repeats {
			for _, p := range s.Programs {
				if p.Proxy != "" && !m.plain {
					continue
				}
				fmt.Fprintf(s.Say, "%s %s, %s, run %d of %d\n", time.Now().Format(time.TimeOnly), m.name, p.Name, turn+1, s.Repeats)
				figures, err := run(ctx, s, m, p)
				for _, f := range figures {
					rows = note(rows, m.name, p.Name, f)
				}
				if ctx.Err() != nil {
					return rows, ctx.Err()
				}
				if err != nil {
					fmt.Fprintf(s.Say, "%s with %s: %v\n", m.name, p.Name, err)
					rows = noteBroken(rows, m.name, p.Name)
				}
			}
		}
	}
	return rows, nil
}

// noteBroken counts a run that failed.
func noteBroken(rows []Row, measurement, program string) []Row {
	for i := range rows {
		if values := rows[i].Values[program]; rows[i].Measurement == measurement && rows[i].Figure == broken && len(values) > 0 {
			values[0]++
			return rows
		}
	}
	return note(rows, measurement, program, Figure{broken, 1})
}

func note(rows []Row, measurement, program string, f Figure) []Row {
	i := slices.IndexFunc(rows, func(r Row) bool { return r.Measurement == measurement && r.Figure == f.Name })
	if i < 0 {
		i = len(rows)
		rows = append(rows, Row{Measurement: measurement, Figure: f.Name, Values: map[string][]float64{}})
	}
	rows[i].Values[program] = append(rows[i].Values[program], f.Value)
	return rows
}

// run sets up one run of a measurement, and ends all that it has started.
func run(ctx context.Context, s *Settings, m measurement, p Program) (figures []Figure, err error) {
	b := &bench{ctx: ctx, settings: s, program: p}
	defer b.group.End()
	if err := b.setUp(m.world); err != nil {
		return nil, err
	}
	before, busyBefore, began := b.usage(), busy(s.Cores.Program), time.Now()
	figures, err = m.measure(b)
	if others := busy(s.Cores.Program) - busyBefore - (b.usage() - before); len(figures) > 0 && b.lasts() && len(s.Cores.Program) > 0 {
		figures = append(figures, Figure{"its cores taken by others %", 100 * max(others, 0).Seconds() / time.Since(began).Seconds() / float64(len(s.Cores.Program))})
	}
	if ctx.Err() != nil {
		return nil, ctx.Err() // what a run cut short has measured is not comparable
	}
	if err != nil {
		if raw, _ := os.ReadFile(b.logPath()); len(raw) > 0 {
			err = fmt.Errorf("%w; its log ends: %s", err, tail(raw))
		}
	}
	return figures, err
}

func tail(raw []byte) string {
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return lines[len(lines)-1]
}

// world is what stands round the program.
type world struct {
	boxes    int
	delay    time.Duration
	body     int
	memoryMB int
	sockets  int
}

// bench is one run.
type bench struct {
	ctx      context.Context
	settings *Settings
	program  Program
	group    process.Group
	sidecar  *process.Child
	listen   string
	seed     int
}

// startBy is how long anything may take to start.
const startBy = 10 * time.Second

func (b *bench) logPath() string { return filepath.Join(b.settings.Dir, "program.log") }

// setUp starts boxes, discovery and the program.
func (b *bench) setUp(w world) error {
	var ports [3]int
	for i, host := range []string{"127.10.0.1", "127.0.0.1", "127.0.0.1"} {
		var err error
		if ports[i], err = process.FreePort(host); err != nil {
			return err
		}
	}
	discovery := "127.0.0.1:" + strconv.Itoa(ports[1])
	b.listen = "127.0.0.1:" + strconv.Itoa(ports[2])
	config := filepath.Join(b.settings.Dir, "config.json")
	boxes, err := b.group.Start(process.Spec{Name: "boxes", Path: b.settings.Self, Cores: b.settings.Cores.Boxes, Nice: b.settings.Nice, Log: b.settings.Say,
		Args: []string{"standin", "--boxes", strconv.Itoa(w.boxes), "--port", strconv.Itoa(ports[0]), "--delay", w.delay.String(),
			"--body", strconv.Itoa(w.body), "--discovery", discovery, "--config", config, "--listen", b.listen,
			"--memory", strconv.Itoa(w.memoryMB), "--sockets", strconv.Itoa(w.sockets)}})
	if err != nil {
		return err
	}
	if err := boxes.Ready(b.ctx, discovery, time.Now().Add(startBy)); err != nil {
		return err
	}
	log, err := os.Create(b.logPath())
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the child has its own
	spec := process.Spec{Name: b.program.Name, Path: b.program.Path, Args: []string{"serve", "--config", config},
		Cores: b.settings.Cores.Program, Nice: b.settings.Nice, Log: log}
	if b.program.Proxy != "" {
		spec.Path, spec.Args = b.settings.Self, []string{"proxy", "--kind", b.program.Proxy, "--listen", b.listen, "--discovery", discovery}
	}
	if b.sidecar, err = b.group.Start(spec); err != nil {
		return err
	}
	return b.sidecar.Ready(b.ctx, b.listen, time.Now().Add(startBy))
}

// client is a load that was started.
type client struct {
	child  *process.Child
	out    *bytes.Buffer
	length time.Duration
}

// load starts a client.
func (b *bench) load(length time.Duration, args ...string) (*client, error) {
	b.seed++
	c := &client{out: &bytes.Buffer{}, length: length}
	var err error
	c.child, err = b.group.Start(process.Spec{Name: "load", Path: b.settings.Self, Cores: b.settings.Cores.Load, Nice: b.settings.Nice, Out: c.out, Log: b.settings.Say,
		Args: append([]string{"load", "--target", b.listen, "--json", "-", "--slack", "0", "--seed", strconv.Itoa(b.seed), "--for", length.String()}, args...)})
	return c, err
}

// slack is how much longer than planned a client may take: to open its links, and to wait for its last answers.
const slack = 15 * time.Second

// result waits for a client's end.
func (b *bench) result(c *client) (*load.Result, error) {
	if err := c.child.Wait(b.ctx, time.Now().Add(c.length+slack)); err != nil && c.out.Len() == 0 {
		return nil, err
	}
	var r load.Result
	if err := json.Unmarshal(c.out.Bytes(), &r); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	return &r, nil
}

// ask is load and result in one.
func (b *bench) ask(length time.Duration, args ...string) (*load.Result, error) {
	c, err := b.load(length, args...)
	if err != nil {
		return nil, err
	}
	return b.result(c)
}

// flood starts a flood.
func (b *bench) flood(length time.Duration, args ...string) (*process.Child, error) {
	return b.group.Start(process.Spec{Name: "flood", Path: b.settings.Self, Cores: b.settings.Cores.Flood, Nice: b.settings.Nice, Log: b.settings.Say,
		Args: append([]string{"flood", "--target", b.listen, "--for", length.String()}, args...)})
}

// alive returns an error if the program has ended.
func (b *bench) alive() error {
	select {
	case <-b.sidecar.Done():
		return fmt.Errorf("it has ended in the middle of the run")
	default:
		return nil
	}
}

// lasts reports whether the program still runs.
func (b *bench) lasts() bool { return b.alive() == nil }

// usage returns what the program has used of its cores; 0 where it has ended.
func (b *bench) usage() time.Duration {
	u, err := b.sidecar.Usage()
	if err != nil {
		return 0
	}
	return u.CPU
}

// peakMB returns the most memory that the program has held, in MB of 2^20 bytes.
func (b *bench) peakMB() (float64, error) {
	u, err := b.sidecar.Usage()
	return float64(u.Peak) / (1 << 20), err
}
