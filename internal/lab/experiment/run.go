package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"hazelwheel/internal/lab/load"
	"hazelwheel/internal/lab/process"
	"hazelwheel/internal/lab/stub"
)

// Settings say where an experiment runs.
type Settings struct {
	Spec   *Spec
	Text   []byte // of the file, kept with the figures
	Folder string // for the figures; new, or empty
	Self   string // this program's file, which plays boxes, load and plain balancers
	Say    io.Writer
	// Began and Ended are called round each run; either may be nil.
	Began func(Run)
	Ended func(*Record)
}

// ErrPartial says that not all runs were measured whole.
var ErrPartial = errors.New("partial")

// Do runs an experiment. What was measured is in the folder, whatever the error: ErrPartial where single runs failed;
// ctx's error where it was ended; another where it could not begin or the figures could not be written.
func Do(ctx context.Context, s *Settings) (err error) {
	about := About{Name: s.Spec.Name, About: s.Spec.About, Began: time.Now(), Planned: len(s.Spec.Plan()), Partial: true,
		Why: "it has not ended, or was cut off", Machine: thisMachine(), Spec: *s.Spec}
	for i := range s.Spec.Balancers {
		b := &s.Spec.Balancers[i]
		v, err := versionOf(b.Name, s.binary(b))
		if err != nil {
			return err
		}
		about.Versions = append(about.Versions, v)
	}
	if err := newFolder(s.Folder); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(s.Folder, specFile), s.Text, 0o644); err != nil {
		return err
	}
	aboutPath := filepath.Join(s.Folder, aboutFile)
	if err := writeJSON(aboutPath, about); err != nil {
		return err
	}
	defer func() {
		about.Ended, about.Why = time.Now(), ""
		if about.Partial = err != nil; about.Partial {
			about.Why = err.Error()
		}
		err = errors.Join(err, writeJSON(aboutPath, about))
	}()
	failed := 0
	for _, run := range s.Spec.Plan() {
		if s.Began != nil {
			s.Began(run)
		}
		r, err := s.one(ctx, run)
		if err != nil {
			return err
		}
		if s.Ended != nil {
			s.Ended(r)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case r.Partial:
			failed++
		default:
			about.Done++
		}
		if err := pause(ctx, s.Spec.Pause.Duration); err != nil {
			return err
		}
	}
	if failed > 0 {
		return fmt.Errorf("%w: %d of %d runs failed", ErrPartial, failed, about.Planned)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// binary returns the file of a balancer's program.
func (s *Settings) binary(b *Balancer) string {
	switch {
	case b.Kind != Sidecar || b.Profile:
		return s.Self
	case b.Binary != "":
		return b.Binary
	}
	return filepath.Join(filepath.Dir(s.Self), Sidecar)
}

// setUpTries is how often a run is set up before it is given up. Danger: a port that was free is taken by another
// process now and then before it is used.
const setUpTries = 3

// one makes a run and writes its figures. An error says that these could not be written; what goes wrong with the run
// itself is in its record.
func (s *Settings) one(ctx context.Context, run Run) (*Record, error) {
	dir := filepath.Join(s.Folder, runsDir, fmt.Sprintf("%04d", run.Number))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	r := &Record{Run: run, Began: time.Now()}
	b := &bench{ctx: ctx, settings: s, record: r, dir: dir}
	defer b.group.End()
	var err error
	for range setUpTries {
		if err = b.setUp(); err == nil || ctx.Err() != nil {
			break
		}
		b.group.End()
		b.balancers = nil
	}
	var raw []byte
	if err == nil {
		raw, err = b.measure()
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if r.Partial = err != nil; r.Partial {
		r.Why = err.Error()
	}
	if len(raw) > 0 {
		if err := os.WriteFile(filepath.Join(dir, loadFile), raw, 0o644); err != nil {
			return nil, err
		}
	}
	// The record comes last: a run without one was cut off.
	return r, writeJSON(filepath.Join(dir, runFile), r)
}

// bench is one run's processes.
type bench struct {
	ctx       context.Context
	settings  *Settings
	record    *Record
	dir       string
	group     process.Group
	discovery string
	listen    []string
	balancers []*process.Child
	specs     []process.Spec // of the balancers, to begin one again
}

// startBy is how long anything may take to start.
const startBy = 15 * time.Second

// setUp starts boxes, discovery and balancers.
func (b *bench) setUp() error {
	run, s := &b.record.Run, b.settings.Spec
	size := run.size
	port, err := process.FreePort(firstBox.String())
	if err != nil {
		return err
	}
	at, err := freeAddress()
	if err != nil {
		return err
	}
	b.discovery = at
	log, err := b.log()
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the children have their own
	boxes, err := b.group.Start(process.Spec{Name: "boxes", Path: b.settings.Self, Cores: s.Cores.Boxes, Nice: s.Nice, Log: log,
		Args: []string{"standin", "--boxes", strconv.Itoa(size.Boxes), "--base", firstBox.String(), "--port", strconv.Itoa(port),
			"--delay", size.Delay.String(), "--body", strconv.Itoa(size.Body), "--slots", strconv.Itoa(size.Slots),
			"--waiting", strconv.Itoa(size.Waiting), "--discovery", b.discovery}})
	if err != nil {
		return err
	}
	if err := boxes.Ready(b.ctx, b.discovery, time.Now().Add(startBy)); err != nil {
		return b.withLog(err)
	}
	b.listen, b.specs = nil, nil
	for i := range size.Balancers {
		listen, err := freeAddress()
		if err != nil {
			return err
		}
		spec, err := b.balancer(i, listen)
		if err != nil {
			return err
		}
		spec.Log = log
		child, err := b.group.Start(spec)
		if err != nil {
			return err
		}
		b.listen, b.specs, b.balancers = append(b.listen, listen), append(b.specs, spec), append(b.balancers, child)
	}
	for i, child := range b.balancers {
		if err := child.Ready(b.ctx, b.listen[i], time.Now().Add(startBy)); err != nil {
			return b.withLog(err)
		}
	}
	return nil
}

// mark is the file in which the load says when it began.
func (b *bench) mark() string { return filepath.Join(b.dir, "began") }

// log opens the file for what the processes say.
func (b *bench) log() (*os.File, error) {
	return os.OpenFile(filepath.Join(b.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}

func freeAddress() (string, error) {
	port, err := process.FreePort("127.0.0.1")
	return "127.0.0.1:" + strconv.Itoa(port), err
}

// balancer returns how a balancer is started; a sidecar's configuration is written.
func (b *bench) balancer(number int, listen string) (process.Spec, error) {
	kind := b.record.balancer
	spec := process.Spec{Name: kind.Name, Path: b.settings.binary(kind), Cores: b.settings.Spec.Cores.Balancer, Nice: b.settings.Spec.Nice}
	if kind.Kind != Sidecar {
		spec.Args = []string{"proxy", "--kind", kind.Kind, "--listen", listen, "--discovery", b.discovery, "--retries", strconv.Itoa(kind.Retries)}
		return spec, nil
	}
	config := filepath.Join(b.dir, fmt.Sprintf("sidecar-%d.json", number))
	sidecar := stub.Sidecar{Name: "n" + strconv.Itoa(number), Listen: listen, Discovery: b.discovery, Cores: kind.Cores,
		MemoryMB: kind.MemoryMB, Sockets: kind.Sockets, Zones: []string{"amman-north"}, Replicas: b.record.size.Balancers, Self: number}
	spec.Args = []string{"serve", "--config", config}
	if kind.Profile {
		spec.Args = []string{"sidecar", "--config", config, "--cpu-profile", filepath.Join(b.dir, fmt.Sprintf("%s%d.pprof", profilePrefix, number))}
	}
	return spec, sidecar.Write(config)
}

// measure sends the load, has the troubles happen and collects what came of it: the client's figures as it wrote them.
func (b *bench) measure() ([]byte, error) {
	run := b.record.Run
	plan, err := json.Marshal(run.load.plan(run.Seed, b.settings.Spec.Step.Duration))
	if err != nil {
		return nil, err
	}
	planFile := filepath.Join(b.dir, "plan.json")
	if err := os.WriteFile(planFile, plan, 0o644); err != nil {
		return nil, err
	}
	before := b.cpu()
	var out, log bytes.Buffer
	client, err := b.group.Start(process.Spec{Name: "load", Path: b.settings.Self, Cores: b.settings.Spec.Cores.Load, Nice: b.settings.Spec.Nice, Out: &out, Log: &log,
		Args: []string{"load", "--target", strings.Join(b.listen, ","), "--plan", planFile, "--mark", b.mark(), "--json", "-"}})
	if err != nil {
		return nil, err
	}
	began := time.Now()
	troubled := b.trouble(client)
	by := began.Add(run.load.For.Duration + run.load.Patience.Duration + startBy)
	waitErr := client.Wait(b.ctx, by)
	if b.ctx.Err() != nil { // what came until now is asked for, and kept
		_ = client.Signal(syscall.SIGTERM) // fails only where it has ended
		_ = client.Wait(context.WithoutCancel(b.ctx), time.Now().Add(2*time.Second))
	}
	troubleErr := <-troubled
	b.record.CPUS = max(b.cpu()-before, 0).Seconds() // below 0 where one was begun again
	countErr := b.count()
	raw := out.Bytes()
	var result load.Result
	if json.Unmarshal(raw, &result) != nil {
		return nil, fmt.Errorf("load: no figures: %w %s", waitErr, strings.TrimSpace(log.String()))
	}
	return raw, errors.Join(b.withLog(b.died()), waitErr, troubleErr, countErr, b.endProfiles())
}

// drainWithin is how long a balancer may take to end, and to write its profile.
const drainWithin = 10 * time.Second

// endProfiles has balancers that are profiled end, which writes their profiles.
func (b *bench) endProfiles() error {
	if !b.record.balancer.Profile {
		return nil
	}
	for _, c := range b.balancers {
		_ = c.Signal(syscall.SIGTERM) // fails only where it has ended, which is told elsewhere
	}
	by := time.Now().Add(drainWithin)
	for _, c := range b.balancers {
		if err := c.Wait(context.WithoutCancel(b.ctx), by); err != nil {
			return fmt.Errorf("no profile: %w", err)
		}
	}
	return nil
}

// cpu returns what all balancers have used.
func (b *bench) cpu() (d time.Duration) {
	for _, c := range b.balancers {
		u, err := c.Usage()
		if err != nil {
			continue // it has ended, which is told elsewhere
		}
		d += u.CPU
		b.record.PeakMB = max(b.record.PeakMB, float64(u.Peak)/(1<<20))
	}
	return d
}

// died returns an error if a balancer has ended of itself.
func (b *bench) died() error {
	for i, c := range b.balancers {
		select {
		case <-c.Done():
			return fmt.Errorf("balancer %d ended in the middle of the run: %w", i, c.Err())
		default:
		}
	}
	return nil
}

// withLog adds the log's last line to an error.
func (b *bench) withLog(err error) error {
	if err == nil {
		return nil
	}
	raw, _ := os.ReadFile(filepath.Join(b.dir, "log"))
	if lines := strings.Split(strings.TrimSpace(string(raw)), "\n"); lines[len(lines)-1] != "" {
		return fmt.Errorf("%w; the log ends: %s", err, lines[len(lines)-1])
	}
	return err
}

// asks is for what the laboratory asks its own stand-ins.
var asks = http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// count asks what each box was sent.
func (b *bench) count() error {
	resp, err := asks.Get("http://" + b.discovery + "/lab/boxes")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(&b.record.Boxes)
}
