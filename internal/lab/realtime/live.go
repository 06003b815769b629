// Package realtime plays a world in real time on real sockets: its boxes, discovery and applications on loopback addresses, the
// sidecars as processes of their own, a script's troubles, and the judge who looks on.
package realtime

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"strconv"
	"time"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/loopback"
	"hazelwheel/internal/lab/process"
	"hazelwheel/internal/tomlfile"
)

// Settings are a world to be played.
type Settings struct {
	Day     environment.Day // as drawn; its clock and its addresses are moved to this machine
	Script  environment.Script
	Binary  string           // hazelwheel's file; empty: no sidecar and no application is begun, only what they depend on
	Dir     string           // for configurations and logs
	Log     io.Writer        // what the sidecars say; nil: dropped
	Watch   checker.Observer // told of all that the judge is told; may be nil. It is called by the loop
	Started func(*Play)      // called by the loop when all has begun; may be nil
	Crew    Crew             // nil: sidecars know nothing of each other
	// BinaryOf returns the file of one sidecar where not all have the same; nil: they do.
	BinaryOf func(sidecar int) string
	MostAskS float64 // as judge.Rules has it, where it is more than what the number of sidecars makes it
	Over     func()  // called once the day is over, before the processes are ended; may be nil
}

// Crew has the sidecars of a play know each other, and troubles come between them.
type Crew interface {
	// Prepare returns what a sidecar's process is started with beside its configuration.
	Prepare(sidecar int) (args, env []string, err error)
	PeersCut(from, to int, on bool)
	PeersHold(from, to int, on bool)
	PeersSlow(from, to int, perS float64)
	PeersReset(a, b int)
	PeersDeaf(sidecar int, perS float64, until time.Time)
	DiskFull(sidecar int, on bool)
	Spoil(sidecar int, state environment.StoredState)
	// Standing tells of each process that begins, stands still, goes on or ends.
	Standing(sidecar int, on bool)
}

// Play is a world that is being played. Its methods are for its loop, but for Post.
type Play struct {
	Day      *environment.Day
	World    *environment.Environment
	Judge    *checker.Checker
	settings *Settings
	ground   *loopback.Host
	players  []*environment.FaultInjector
	sidecars []*sidecar
	late     float64 // how long after the day's start the last sidecar was up
	stop     context.CancelCauseFunc
	// reservation keeps other plays on this machine out of the block of addresses.
	reservation net.Listener
}

// leadS is how long before the day's start all but the clients begin: the sidecars' processes need it to come up.
const leadS = 1.0

// restS is how long after the last arrival a day goes on, beyond what its requests may wait.
const restS = 1.0

// Do plays a world until its day is over or ctx ends. The play's judge holds what came of it; an error says that the world
// could not be played.
func Do(ctx context.Context, s *Settings) (*Play, error) {
	parent := ctx
	ctx, stop := context.WithCancelCause(parent)
	defer stop(nil)
	p := &Play{Day: &s.Day, settings: s, ground: loopback.New(), stop: stop}
	if err := p.move(); err != nil {
		return nil, err
	}
	defer func() { _ = p.reservation.Close() }() // the play is over
	rules := s.Day.Rules()
	if rules.MaxPollIntervalSeconds = s.MostAskS; s.Crew == nil { // waits go by how many there are
		rules.MaxPollIntervalSeconds = max(rules.MaxPollIntervalSeconds, 0.75*float64(len(s.Day.Sidecars)))
	}
	p.Judge = checker.New(rules)
	var witness checker.Observer = p.Judge
	if s.Watch != nil {
		witness = both{p.Judge, s.Watch}
	}
	p.World = environment.New(p.Day, witness)
	for _, m := range p.World.Machines() {
		if s.Binary == "" && m.Listen == "" {
			continue // an application, or who else dials
		}
		// Whoever dials begins with the day, when the sidecars are up.
		if err := p.ground.Add(loopback.Machine{Name: m.Name, IP: m.IP, Listen: m.Listen, Boot: m.Boot, StartsLater: m.StartsLater || m.Listen == ""}); err != nil {
			return nil, err
		}
	}
	p.ground.Delay, p.ground.ResolvePeer = p.delay(), p.who()
	if err := p.Trouble(&s.Script); err != nil {
		return nil, err
	}
	defer p.endSidecars()
	p.ground.Post(func() { p.begin(ctx) })
	if err := p.ground.Run(ctx); err != nil {
		return nil, err
	}
	if cause := context.Cause(ctx); parent.Err() == nil && !errors.Is(cause, errOver) {
		return nil, cause
	}
	if s.Over != nil {
		s.Over()
	}
	p.Judge.Finish(p.ground.Now())
	return p, nil
}

// errOver is the cause of a day's end.
var errOver = fmt.Errorf("the day is over")

// Post has the play's loop call f. It may be called from anywhere.
func (p *Play) Post(f func()) { p.ground.Post(f) }

// Now returns the time in seconds of Unix time.
func (p *Play) Now() float64 { return p.ground.Now() }

// Late returns how late the loop was at most once the clients had begun, or the sidecars for them, in seconds.
func (p *Play) Late() float64 { return max(p.late, p.ground.Lateness()) }

// BusyS is how late a loop may be whose play is to be taken for real time.
const BusyS = 0.1

// begin begins what stands at the day's start, and arranges the troubles and the end.
func (p *Play) begin(ctx context.Context) {
	standing := len(p.Day.Sidecars) - p.settings.Script.StandbySidecars()
	for i, s := range p.sidecars {
		if i >= standing {
			s.ctx, s.waits = ctx, true
		} else if err := s.begin(ctx); err != nil {
			p.stop(err)
			return
		}
	}
	p.ground.At(p.Day.Start, func() {
		p.ground.MeasureLateness()
		for i := range p.Day.Sidecars[:standing] {
			p.ground.Return(p.Day.Sidecars[i].IP) // the application beside it
		}
	})
	if p.settings.Binary != "" {
		longest := 0.0
		for _, c := range p.Day.Classes {
			longest = max(longest, c.TotalTimeoutSeconds)
		}
		p.ground.At(p.Day.Start+p.Day.LengthSeconds+longest+restS, func() { p.stop(errOver) })
	}
	for _, player := range p.players {
		p.schedule(player)
	}
	if p.settings.Started != nil {
		p.settings.Started(p)
	}
}

// Trouble has a script's troubles happen, at their times since the day's start.
func (p *Play) Trouble(s *environment.Script) error {
	var witness checker.Observer = p.Judge
	if p.settings.Watch != nil {
		witness = both{p.Judge, p.settings.Watch}
	}
	player, err := environment.NewFaultInjector(p.World, s, playedMachines{p}, witness)
	if err != nil {
		return err
	}
	p.players = append(p.players, player)
	return nil
}

// schedule has a player play whenever something is due.
func (p *Play) schedule(player *environment.FaultInjector) {
	at, ok := player.Next()
	if !ok {
		return
	}
	p.ground.At(at, func() {
		player.Advance(p.Now())
		p.schedule(player)
	})
}

// TroubleNow has a trouble begin at once. An error says what is wrong with it, and that it has not begun.
func (p *Play) TroubleNow(t environment.Fault) error {
	// What a script's file may say is checked where files are read.
	s := p.settings.Script
	s.Faults = []environment.Fault{t}
	text, err := s.Format()
	if err != nil {
		return err
	}
	if _, err := environment.ReadRealScript("trouble", text, environment.StandardRanges()); err != nil {
		var fault *tomlfile.Error
		if errors.As(err, &fault) {
			return fmt.Errorf("%s: %s", fault.Field, fault.Why)
		}
		return err
	}
	return p.Befall(t)
}

// Befall has a trouble begin at once that makes sense for this play.
func (p *Play) Befall(t environment.Fault) error {
	t.AtSeconds = p.Now() - p.Day.Start
	if err := p.Trouble(&environment.Script{Seed: p.Day.Seed, Faults: []environment.Fault{t}}); err != nil {
		return err
	}
	p.schedule(p.players[len(p.players)-1])
	return nil
}

// both is two witnesses.
type both [2]checker.Observer

func (b both) Observe(e checker.Event) {
	b[0].Observe(e)
	b[1].Observe(e)
}

// move puts the day on this machine's clock and on its loopback addresses. Worlds that are played side by side get
// addresses of their own.
func (p *Play) move() error {
	d := p.Day
	d.Start = p.ground.Now() + leadS
	shift, reservation, err := reserveBlock(d)
	if err != nil {
		return err
	}
	p.reservation = reservation
	for i := range d.Sidecars {
		s := &d.Sidecars[i]
		s.IP = moved(s.IP, shift)
		port, err := process.FreePort("127.0.0.1")
		if err != nil {
			return err
		}
		s.Address = "127.0.0.1:" + strconv.Itoa(port)
		p.sidecars = append(p.sidecars, &sidecar{p: p, number: i, spec: s})
	}
	for i := range d.Servers {
		d.Servers[i].IP, d.Servers[i].Address = moved(d.Servers[i].IP, shift), movedAddress(d.Servers[i].Address, shift)
	}
	for i := range d.Discovery.IPs {
		d.Discovery.IPs[i], d.Discovery.Addresses[i] = moved(d.Discovery.IPs[i], shift), movedAddress(d.Discovery.Addresses[i], shift)
	}
	if p.settings.Binary == "" {
		p.sidecars = nil
	}
	return nil
}

// A world's addresses are in 10.0.0.0 to 10.3.255.255; they go to such a block of 127.0.0.0/8. The first block has the
// addresses that others use.
const (
	blockSize = 4
	blocks    = 60
)

// moved returns where a world's address goes.
func moved(ip string, shift byte) string {
	a := netip.MustParseAddr(ip).As4()
	return netip.AddrFrom4([4]byte{127, a[1] + shift, a[2], a[3]}).String()
}

func movedAddress(address string, shift byte) string {
	a := netip.MustParseAddrPort(address)
	return netip.AddrPortFrom(netip.MustParseAddr(moved(a.Addr().String(), shift)), a.Port()).String()
}

// reservationPort is the port at discovery's address that a play listens on for as long as it uses the block.
const reservationPort = 61999

// reserveBlock finds a block that no other play has reserved and in which nobody listens where discovery will. The block stays reserved
// until the listener is closed. Danger: plays of several processes begin at the same moment. Where a block was only looked at, two of
// them could choose the same one before either listened.
func reserveBlock(d *environment.Day) (shift byte, reservation net.Listener, err error) {
	for range 10 {
		shift = byte(blockSize * (1 + rand.IntN(blocks-1)))
		if reservation, err = reserve(d, shift); err == nil {
			return shift, reservation, nil
		}
	}
	return 0, nil, err
}

func reserve(d *environment.Day, shift byte) (net.Listener, error) {
	discovery := movedAddress(d.Discovery.Addresses[0], shift)
	ip := netip.MustParseAddrPort(discovery).Addr()
	reservation, err := net.Listen("tcp", netip.AddrPortFrom(ip, reservationPort).String())
	if err != nil {
		return nil, err
	}
	probe, err := net.Listen("tcp", discovery)
	if err != nil {
		return nil, errors.Join(err, reservation.Close())
	}
	return reservation, probe.Close()
}

// delay returns how long bytes take one way.
func (p *Play) delay() func(machine, other string) time.Duration {
	sites := map[string]int{}
	for _, m := range p.World.Machines() {
		sites[m.IP] = m.Site
	}
	for _, s := range p.Day.Sidecars {
		sites[s.IP] = s.Site
	}
	paths := p.Day.PathSeconds
	return func(machine, other string) time.Duration {
		a, known := sites[machine]
		b, also := sites[other]
		if !known || !also || machine == other {
			return 0 // a client beside its sidecar
		}
		return time.Duration(paths[a][b] * float64(time.Second))
	}
}

// configFile is where a sidecar's configuration is.
func (p *Play) configFile(sidecar int) string {
	return filepath.Join(p.settings.Dir, fmt.Sprintf("sidecar-%d.json", sidecar))
}
