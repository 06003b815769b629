package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/sim"
)

// errBroken is the error of a command that has found a rule broken, and has said which.
var errBroken = errors.New("a rule was broken")

// simCommands play the sidecar in simulated time.
func simCommands() []*cli.Command {
	seed := &cli.Uint64Flag{Name: "seed", Usage: "the `SEED` of the day"}
	script := &cli.StringFlag{Name: "script", Usage: "the `FILE` that holds the day's script, in place of a seed"}
	jobs := &cli.IntFlag{Name: "jobs", Usage: "`N` days at a time", Value: 1}
	core := &cli.StringFlag{Name: "core", Usage: "what is played: sidecar, random or least", Value: "sidecar"}
	boxes := &cli.IntFlag{Name: "boxes", Usage: "`N` boxes at the start of a day, with as much more traffic; 0: 12 to 19"}
	sidecars := &cli.IntFlag{Name: "sidecars", Usage: "`N` sidecars; 0: 3 to 5"}
	together := &cli.StringFlag{Name: "fleet", Usage: "whether sidecars know each other: on, owners (on, with jobs that one does for all), works (owners, with boxes that are worked on), off, apart (off, with the troubles of on), or on a third of the seeds where nothing is said"}
	told := &cli.IntFlag{Name: "told", Usage: "have configurations say that there are `N` sidecars; 0: as many as there are"}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "print the result as JSON"}
	speech := &cli.StringFlag{Name: "speech", Usage: "what applications and boxes speak: http, binary or compact", Value: "http"}
	rule := &cli.StringFlag{Name: "rule", Usage: "the `RULE` that is to stay broken; without it the first that breaks"}
	return []*cli.Command{
		{Name: "sim", Usage: "play days in simulated time and judge them", Action: simulate, Flags: []cli.Flag{seed, script, jobs, core, speech, asJSON,
			&cli.StringFlag{Name: "seeds", Usage: "the `RANGE` of seeds, as 1-10000"},
			boxes, sidecars, together, told,
			&cli.BoolFlag{Name: "by-second", Usage: "print what boxes and discovery are asked in each second"},
			&cli.BoolFlag{Name: "trace", Usage: "print what happens, one line a step"},
			&cli.BoolFlag{Name: "each", Usage: "print a line for each day"},
			&cli.BoolFlag{Name: "first", Usage: "stop at the first day that breaks a rule"},
			&cli.BoolFlag{Name: "quiet-days", Usage: "play the days without their troubles"},
			&cli.FloatFlag{Name: "batch", Usage: "have a batch come beside the applications' requests, at `N` times its share"},
			&cli.BoolFlag{Name: "quotas", Usage: "have the sidecars hold groups to their quotas"},
			&cli.BoolFlag{Name: "show-script", Usage: "print the script of the seed and play nothing"}}},
		listsCommand(sidecars, boxes, together, core, speech, told),
		{Name: "shrink", Usage: "find a smaller day that breaks the same rule", Action: shrink, Flags: []cli.Flag{seed, script, core, speech, rule,
			&cli.StringFlag{Name: "out", Usage: "the `FILE` for the smallest script; without it, standard output"},
			&cli.IntFlag{Name: "budget", Usage: "play `N` days at most", Value: 400}}},
		{Name: "mutants", Usage: "break the program in many ways and see whether the rules notice", Action: mutants, Flags: []cli.Flag{jobs, asJSON,
			&cli.StringFlag{Name: "dir", Usage: "the `DIR` of the patches", Value: sim.MutantsDir},
			&cli.StringSliceFlag{Name: "only", Usage: "a `PART` of the names of those to try; may be given again"},
			&cli.Uint64Flag{Name: "last", Usage: "the last `SEED` that is played; the first is 1", Value: 100}}},
	}
}

// options returns how days are played.
func options(c *cli.Command) (sim.Options, error) {
	o := sim.Options{Servers: c.Int("boxes"), Sidecars: c.Int("sidecars"), FleetMode: sim.FleetMode(c.String("fleet"))}
	if o.Sidecars != 0 && (o.Sidecars < 1 || o.Sidecars > 1000) {
		return o, fault(fmt.Errorf("sidecars: %d is not 1 to 1000", o.Sidecars))
	}
	if o.ConfiguredSidecars = c.Int("told"); o.ConfiguredSidecars < 0 || o.ConfiguredSidecars > 10000 {
		return o, fault(fmt.Errorf("told: %d is not 0 to 10000", o.ConfiguredSidecars))
	}
	if o.FleetMode != sim.FleetBySeed && o.FleetMode != sim.FleetOn && o.FleetMode != sim.FleetOff && o.FleetMode != sim.FleetFaultsOnly && o.FleetMode != sim.FleetWithRoles &&
		o.FleetMode != sim.FleetWithMaintenance {
		return o, fault(fmt.Errorf("fleet: %q is none of on, off, apart, owners, works", o.FleetMode))
	}
	if o.Servers != 0 && (o.Servers < 12 || o.Servers > 2000) {
		return o, fault(fmt.Errorf("boxes: %d is not 12 to 2000", o.Servers))
	}
	core, ok := sim.Factories[c.String("core")]
	if !ok {
		return o, fault(fmt.Errorf("core: %q is none of sidecar, random, least", c.String("core")))
	}
	o.Factory, o.Protocol = core, environment.Protocol(c.String("speech"))
	switch {
	case !slices.Contains(environment.Protocols, o.Protocol):
		return o, fault(fmt.Errorf("speech: %q is none of http, binary, compact", o.Protocol))
	case o.Protocol.IsThrift() && c.String("core") != "sidecar":
		return o, fault(errors.New("speech: only the sidecar speaks Thrift"))
	case o.Protocol.IsThrift():
		o.Factory = sim.NewThriftSidecar
	}
	o.BatchFactor, o.Quotas = c.Float("batch"), c.Bool("quotas")
	if o.Protocol.IsThrift() && (o.BatchFactor > 0 || o.Quotas) {
		return o, fault(errors.New("speech: batches and quotas are played over HTTP"))
	}
	if o.BatchFactor < 0 || o.BatchFactor > 100 {
		return o, fault(fmt.Errorf("batch: want 0 to 100, not %g", o.BatchFactor))
	}
	return o, nil
}

// spoken returns the flag of a day's speech, "" for HTTP's, which needs none.
func spoken(o sim.Options) string {
	if o.Protocol.IsThrift() {
		return " --speech " + string(o.Protocol)
	}
	return ""
}

// scriptOf returns the script of --script or --seed, and how to name it in a command.
func scriptOf(c *cli.Command, o sim.Options) (environment.Script, string, error) {
	file := c.String("script")
	switch {
	case (file == "") == !c.IsSet("seed"):
		return environment.Script{}, "", fault(errors.New("give one of --seed and --script"))
	case file == "":
		return o.DrawScript(c.Uint64("seed")), "--seed " + strconv.FormatUint(c.Uint64("seed"), 10) + spoken(o), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return environment.Script{}, "", fault(err)
	}
	s, err := environment.ReadScript(file, text, o.Ranges())
	if err != nil {
		return environment.Script{}, "", fault(err)
	}
	return *s, "--script " + file + spoken(o), nil
}

func simulate(_ context.Context, c *cli.Command) error {
	if c.IsSet("seeds") {
		return simulateMany(c)
	}
	o, err := options(c)
	if err != nil {
		return err
	}
	s, name, err := scriptOf(c, o)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(c.Root().Writer)
	defer func() { _ = out.Flush() }() // a reader that is gone can't be told
	if c.Bool("quiet-days") {
		s.Faults = nil
	}
	if c.Bool("show-script") {
		return writeScript(out, &s)
	}
	if c.Bool("trace") {
		o.Trace = func(at float64, line string) { fmt.Fprintf(out, "%11.6f %s\n", at, line) }
	}
	var seconds bySecond
	if c.Bool("by-second") {
		o.Observer = &seconds
	}
	began := time.Now()
	r, err := sim.Play(s, o)
	if err != nil {
		return wrong(err)
	}
	if o.Observer != nil {
		seconds.print(out, r.Start)
	}
	if c.Bool("json") {
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
	} else {
		var t sim.Tally
		t.Add(r)
		t.Finish()
		t.History = fmt.Sprintf("%016x", r.Hash)
		printFindings(out, r, name)
		printTally(out, &t, time.Since(began).Seconds(), 1)
	}
	if len(r.Violations) > 0 {
		return errBroken
	}
	return nil
}

// bySecond counts by second what boxes and discovery are asked.
type bySecond struct {
	boxes map[int32]bool // that were probed; counted, never walked
	all   []struct{ at, probes, calls, links, executions int }
}

// See counts an event.
func (b *bySecond) Observe(e checker.Event) {
	at := int(e.At)
	if n := len(b.all); n == 0 || b.all[n-1].at < at {
		b.all = append(b.all, struct{ at, probes, calls, links, executions int }{at: at})
	}
	now := &b.all[len(b.all)-1]
	switch e.Kind {
	case checker.HealthCheckReceived:
		if b.boxes == nil {
			b.boxes = map[int32]bool{}
		}
		b.boxes[e.Server] = true
		now.probes++
	case checker.DiscoveryCalled:
		now.calls++
	case checker.ConnectionOpened:
		now.links++
	case checker.AttemptReceived:
		now.executions++
	}
}

func (b *bySecond) print(w io.Writer, start float64) {
	fmt.Fprintln(w, "second  probes of a box  calls for the list  links opened  executions")
	for _, s := range b.all {
		fmt.Fprintf(w, "%6d  %15.2f  %18d  %12d  %10d\n", s.at-int(start), float64(s.probes)/float64(max(len(b.boxes), 1)), s.calls, s.links, s.executions)
	}
}

// wrong makes the error of a bad script one that ends the program with 2.
func wrong(err error) error {
	if errors.Is(err, sim.ErrInvalidScript) {
		return fault(err)
	}
	return err
}

// mostFindings is how many findings of a day are printed.
const mostFindings = 10

func printFindings(w io.Writer, r *sim.Result, name string) {
	for i, f := range r.Violations {
		if i == mostFindings {
			fmt.Fprintf(w, "and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "BROKEN %s at %.6f: %s; replay with: hazellab sim %s --trace\n", f.Rule, r.SinceStart(f.At), f.Reason, name)
	}
}

func simulateMany(c *cli.Command) error {
	first, last, err := seedRange(c.String("seeds"))
	if err != nil {
		return fault(err)
	}
	if c.IsSet("seed") || c.IsSet("script") || c.Bool("trace") {
		return fault(errors.New("--seeds goes without --seed, --script and --trace"))
	}
	o, err := options(c)
	if err != nil {
		return err
	}
	o.WithoutFaults = c.Bool("quiet-days")
	debug.SetGCPercent(400) // days leave much behind, and little of it lives
	out := c.Root().Writer
	bar := progressBar(int64(last-first)+1, "days")
	began := time.Now()
	var t sim.Tally
	var failed error
	sim.PlaySeeds(first, last, c.Int("jobs"), o, func(d sim.Outcome) bool {
		_ = bar.Add(1) // a bar that can't be drawn harms nothing
		if d.Err != nil {
			failed = fmt.Errorf("seed %d: %w", d.Seed, d.Err)
			return false
		}
		t.Add(d.Result)
		if c.Bool("each") {
			fmt.Fprintf(out, "seed %d history %016x, %d events, service %.4f\n", d.Seed, d.Result.Hash, d.Result.Steps, d.Result.Report.Service)
		}
		if len(d.Result.Violations) > 0 && !c.Bool("json") {
			_ = bar.Clear()
			f := d.Result.Violations[0]
			fmt.Fprintf(out, "BROKEN %s: %s; replay with: hazellab sim --seed %d%s --trace\n", f.Rule, f.Reason, d.Seed, spoken(o))
		}
		return !c.Bool("first") || len(d.Result.Violations) == 0
	})
	_ = bar.Finish()
	if failed != nil {
		return failed
	}
	t.Finish()
	if c.Bool("json") {
		if err := json.NewEncoder(out).Encode(&t); err != nil {
			return err
		}
	} else {
		printTally(out, &t, time.Since(began).Seconds(), c.Int("jobs"))
	}
	if len(t.Broken) > 0 {
		return errBroken
	}
	return nil
}

func printTally(w io.Writer, t *sim.Tally, took float64, jobs int) {
	fmt.Fprintf(w, "%d days, %.0f simulated s in %.1f s: %.0f simulated s a second on each of %d jobs, %d events\n",
		t.Days, t.SimulatedSeconds, took, t.SimulatedSeconds/took/float64(max(jobs, 1)), jobs, t.Steps)
	fmt.Fprintf(w, "history %s\nservice %.3f\n", t.History, t.Service)
	for _, k := range t.Classes {
		fmt.Fprintf(w, "  %-16s %.3f  asked %d, in aim %d, late %d, refused %d, failed %d\n", k.Name, k.Service, k.Requests, k.InTarget, k.Late, k.Rejected, k.Failed)
	}
	p := &t.Costs
	fmt.Fprintf(w, "executions %d (%d in another site), probes %d, connections %d; hostile clients %d, owed %d\n", p.Attempts, p.CrossZoneAttempts, p.HealthChecks,
		p.Connections, p.HostileClients, p.HostileUnclosed)
	for _, b := range t.Broken {
		seeds := make([]string, len(b.Seeds))
		for i, s := range b.Seeds {
			seeds[i] = strconv.FormatUint(s, 10)
		}
		fmt.Fprintf(w, "BROKEN %s on %d days, seeds %s\n", b.Rule, b.Days, strings.Join(seeds, " "))
	}
	if t.ServersMaintained > 0 {
		fmt.Fprintf(w, "boxes worked on: %d\n", t.ServersMaintained)
	}
	if len(t.Broken) == 0 {
		fmt.Fprintln(w, "all rules were kept")
	}
}

// seedRange reads a range of seeds, or one.
func seedRange(text string) (first, last uint64, err error) {
	from, to, two := strings.Cut(text, "-")
	if !two {
		to = from
	}
	first, err1 := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if err1 != nil || err2 != nil || first > last {
		return 0, 0, fmt.Errorf("seeds: %q is not a range such as 1-10000", text)
	}
	return first, last, nil
}

// progressBar returns a bar on standard error, which shows nothing where that is no terminal.
func progressBar(n int64, what string) *progressbar.ProgressBar {
	return progressbar.NewOptions64(n, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(what),
		progressbar.OptionSetVisibility(term.IsTerminal(int(os.Stderr.Fd()))), progressbar.OptionShowCount(),
		progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
}

func writeScript(w io.Writer, s *environment.Script) error {
	text, err := s.Format()
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}

func shrink(_ context.Context, c *cli.Command) error {
	o, err := options(c)
	if err != nil {
		return err
	}
	s, name, err := scriptOf(c, o)
	if err != nil {
		return err
	}
	rule := checker.Rule(c.String("rule"))
	r, err := sim.Play(s, o)
	if err != nil {
		return wrong(err)
	}
	if rule == "" && len(r.Violations) > 0 {
		rule = r.Violations[0].Rule
	}
	if !r.HasViolation(rule) {
		return fault(fmt.Errorf("rule: %s does not break %q", name, rule))
	}
	small := sim.Shrink(s, rule, o, c.Int("budget"), func(s *environment.Script, played int) {
		fmt.Fprintf(os.Stderr, "%d days played: %d troubles, %d sidecars, %d boxes, %g s\n", played, len(s.Faults), s.Sidecars, s.Servers, s.LengthSeconds)
	})
	if err := writeScriptTo(c.String("out"), c.Root().Writer, &small); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "breaks %s; replay with: hazellab sim --script %s%s --trace\n", rule, c.String("out"), spoken(o))
	return errBroken
}

// writeScriptTo writes a script to a file, or to the terminal where no file is named.
func writeScriptTo(file string, terminal io.Writer, script *environment.Script) error {
	if file == "" {
		return writeScript(terminal, script)
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(writeScript(f, script), f.Close())
}

func mutants(_ context.Context, c *cli.Command) error {
	out := c.Root().Writer
	var all []sim.MutantResult
	err := sim.RunMutants(sim.MutantOptions{Root: ".", Dir: c.String("dir"), NameParts: c.StringSlice("only"), LastSeed: c.Uint64("last"), Jobs: c.Int("jobs")},
		func(m sim.MutantResult) {
			all = append(all, m)
			if !c.Bool("json") {
				fmt.Fprintln(out, m)
			}
		})
	if err != nil {
		return err
	}
	if c.Bool("json") {
		if err := json.NewEncoder(out).Encode(all); err != nil {
			return err
		}
	}
	missed := 0
	for _, m := range all {
		if m.Seed == 0 {
			missed++
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d mutants were not caught", missed, len(all))
	}
	return nil
}
