package realtime

import (
	"context"
	"fmt"
	"io"
	"time"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
)

// Demo is a world of a few seconds, to be looked at.
type Demo struct {
	Binary string // hazelwheel's file
	Seed   uint64
	Dir    string // for configurations and logs
	Log    io.Writer
	Out    io.Writer
	Screen bool // redraw a terminal; otherwise a line a second
}

// demoRanges are those of a calm and even world of four sites.
func demoRanges() environment.Ranges {
	one := func(x float64) environment.Range { return environment.Range{Min: x, Max: x} }
	r := environment.StandardRanges()
	r.LengthSeconds, r.Sidecars, r.Servers, r.Sites = one(7), one(1), one(12), one(4)
	r.RatePerSecond, r.Load, r.Swing, r.BurstFactor = one(200), one(0.3), one(0), one(1)
	r.ImpatientShare, r.Retries = one(0), one(1)
	r.FailureNoticeSeconds, r.PublishIntervalMillis, r.DeliveryMillis = one(0.9), one(150), one(40)
	return r
}

// demoScript has boxes hang, and loses a site that returns: the sidecar's own, which it uses most.
func demoScript(d *environment.Day) environment.Script {
	var hanging []string
	home := d.Sidecars[0].Site
	for _, b := range d.Servers[:d.InitialServers] {
		if b.Site == home && len(hanging) < 2 {
			hanging = append(hanging, b.Name)
		}
	}
	return environment.Script{Seed: d.Seed, Faults: []environment.Fault{
		{Kind: environment.Hang, AtSeconds: 1.5, DurationSeconds: 2, Servers: hanging},
		{Kind: environment.SiteLoss, AtSeconds: 4, DurationSeconds: 1.5, Site: d.Sites[home]},
	}}
}

// tells say what the demo's troubles are.
func tells(t *environment.Fault) (begins, ends string) {
	if t.Kind == environment.Hang {
		return fmt.Sprintf("%d boxes hang: they take work and answer nothing", len(t.Servers)), "they answer again"
	}
	return fmt.Sprintf("%s is lost, with all its boxes", t.Site), t.Site + " returns, its boxes cold"
}

const viewEvery = 500 * time.Millisecond

// Run plays the demo and returns whether all rules were kept. An error says that it could not be played.
func (d *Demo) Run(ctx context.Context) (kept bool, err error) {
	day := environment.Draw(d.Seed, demoRanges())
	script := demoScript(&day)
	s := &Settings{Day: day, Script: script, Binary: d.Binary, Dir: d.Dir, Log: d.Log}
	board := NewBoard(&s.Day)
	s.Watch = board
	var notes []string
	note := func(p *Play, text string) {
		line := fmt.Sprintf("%4.1f s  %s", p.Now()-p.Day.Start, text)
		notes = append(notes, line)
		if !d.Screen {
			fmt.Fprintln(d.Out, "      -> "+line)
		}
	}
	s.Started = func(p *Play) {
		for i := range script.Faults {
			t := &script.Faults[i]
			begins, ends := tells(t)
			p.ground.At(p.Day.Start+t.AtSeconds, func() { board.Hangs(t.Servers, true); note(p, begins) })
			p.ground.At(p.Day.Start+t.AtSeconds+t.DurationSeconds, func() { board.Hangs(t.Servers, false); note(p, ends) })
		}
		every := time.Second
		if d.Screen {
			every = viewEvery
		}
		var show func()
		show = func() {
			if d.Screen {
				board.Screen(d.Out, p.Now(), notes)
			} else {
				board.Line(d.Out, p.Now())
			}
			if p.Now() < p.Day.Start+p.Day.LengthSeconds+settleS {
				p.ground.At(p.Now()+every.Seconds(), show)
			}
		}
		p.ground.At(p.Day.Start+every.Seconds(), show)
	}
	p, err := Do(ctx, s)
	if err != nil {
		return false, err
	}
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	d.report(p, board)
	return p.Judge.ViolationCount() == 0, nil
}

// report says what came of it.
func (d *Demo) report(p *Play, board *Board) {
	r := p.Judge.Report()
	fmt.Fprintf(d.Out, "\n%-16s %7s %7s %6s %9s %8s\n", "class", "asked", "in time", "late", "unserved", "refused")
	for _, c := range r.Classes {
		fmt.Fprintf(d.Out, "%-16s %7d %7d %6d %9d %8d\n", c.Name, c.Requests, c.InTarget, c.Late, c.Unserved, c.Rejected)
	}
	fmt.Fprintf(d.Out, "%.2f %% of the worth that was asked for was served in time; %d executions, %d probes, %d connections to boxes\n",
		100*r.Service, r.Costs.Attempts, r.Costs.HealthChecks, r.Costs.Connections)
	for i := range p.settings.Script.Faults {
		t := &p.settings.Script.Faults[i]
		begins, _ := tells(t)
		fmt.Fprintf(d.Out, "%s (for %.1f s): service as before %.1f s after\n", begins, t.DurationSeconds, board.Back(p.Day.Start+t.AtSeconds))
	}
	if p.Late() > BusyS {
		fmt.Fprintf(d.Out, "the machine was too busy for real time: the world was up to %.0f ms late\n", 1000*p.Late())
	}
	if n := p.Judge.ViolationCount(); n > 0 {
		fmt.Fprintf(d.Out, "rules broken: %d\n", n)
		for _, f := range p.Judge.Violations() {
			fmt.Fprintf(d.Out, "  %.3f s %s: %s\n", f.At-p.Day.Start, f.Rule, f.Reason)
		}
		return
	}
	fmt.Fprintln(d.Out, "all standing rules were kept")
}

var _ checker.Observer = (*Board)(nil)
