// Package environment is the model of what sidecars serve and depend on: boxes, discovery, the applications beside them, the
// sites and the times between these, and the script of troubles. Each actor is a pure state machine that is told the
// time, with a thin HTTP/1.1 front that is a netio.Handler: it uses its netio.EventLoop and nothing else, so the same actors run
// in simulated time and on real sockets. Nothing here starts a goroutine, reads a clock or depends on a map's order;
// chance comes from streams that a seed gives.
package environment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"hazelwheel/internal/checker"
)

// Day is one draw of a world, all that is true of it at its start.
type Day struct {
	Seed     uint64
	Protocol Protocol // empty: HTTP
	Start    float64  // Unix time in seconds at which it begins
	LengthS  float64  // arrivals end then

	Sites          []string
	Sidecars       []SidecarSpec
	Servers        []ServerSpec // those that stand at the start, and behind them the spare ones that troubles bring in
	InitialServers int          // how many stand at the start
	Discovery      DiscoverySpec
	Classes        []ClassSpec
	Kinds          []string
	Clients        ClientSpec
	Batch          *BatchSpec // nil: there is none

	WorkS    float64     // mean work of a request, in seconds of a standard core
	PathS    [][]float64 // one way between two sites
	ClientS  float64     // one way between an application and its sidecar
	Jitter   float64     // of a way's time, as a share of it
	ConnIdle float64     // seconds
	Inline   bool        // load reports come with answers; else with probes alone
	Sockets  int         // descriptors that each sidecar may hold
	MemoryMB int
	FallS    float64 // the window in which work brings a cold box down; 0: the usual one
}

// SidecarSpec is a sidecar and the application beside it, which share a machine.
type SidecarSpec struct {
	Name    string
	IP      string
	Address string // where the application reaches it
	Site    int
	Share   float64 // of all requests
	Seed    uint64
}

// ClassSpec is a class of requests as drawn.
type ClassSpec struct {
	ClassRanges
	Effect    checker.Effect
	Group     checker.Group
	Share     float64
	WorkS     float64 // mean, in seconds of a standard core
	WorkCV    float64
	AimS      float64
	GiveUpS   float64
	BodyBytes int
}

// ClientSpec is how applications behave.
type ClientSpec struct {
	RatePS, Swing, PeriodS float64
	Burst, BurstS, EveryS  float64
	Retries                int
	TryShare, BackoffS     float64
	Honour, Impatient      float64
	MostConnections        int  // of one application
	MarksRetry             bool // later tries say that they are
	MaxRetryAfterS         float64
}

// BatchSpec is a batch that comes beside the applications' requests.
type BatchSpec struct {
	RatePS       float64 // of all sidecars together, shared out among them as the applications' requests are
	Class        int     // of all its requests
	Organisation string  // in whose name they come
}

// BoxSpec is a box as drawn.
type ServerSpec struct {
	Number   int
	Name     string // ends in eight hexadecimal digits that tell nothing
	IP       string
	Address  string
	Site     int
	Cell     int
	Kind     int
	Speed    float64 // of one slot, in standard cores
	Slots    int
	Waiting  int // requests that may wait, beyond the slots
	Thrash   float64
	ThrashAt float64
	ColdFrom float64
	ColdS    float64
	WarmWork float64 // seconds of work on each slot that make it warm
	PauseS   float64 // mean time between two pauses; 0: none
	PauseLen float64
	Errors   float64

	Fall                                 FallSpec
	ReportEvery, ReportLag, ReportNoise  float64
	IdleS                                float64
	ConnCap                              int
	FullTax, HandshakeS, ProbeS, ProbePS float64
	CancelStops                          bool // whether waiting work is dropped where its connection ends
	Weight                               float64
}

// FallSpec is when a cold box falls over: work beyond Multiple of its present capacity in any window of WindowS.
type FallSpec struct{ Multiple, WindowS, SlackS float64 }

// RegistrySpec is discovery as drawn.
type DiscoverySpec struct {
	IPs                                   []string // it moves from the first on; each has Port
	Addresses                             []string
	NoticeS, SilentNoticeS, AddS          float64
	PublishS, SpreadS, CallsPS, CallLines float64
	CallTimeoutS                          float64
	PulseS                                float64 // an empty line comes so often
	OldClosesS                            float64 // an address that was left closes what is open after this
}

// callS returns how long discovery works on a call where there are so many boxes.
func (r *DiscoverySpec) callS(boxes int) float64 { return (1 + float64(boxes)/r.CallLines) / r.CallsPS }

// Figures of the deployment that are not drawn.
const (
	fallMultiple = 2.5
	fallS        = 1.0
	drainGraceS  = 0.75
	termGraceS   = 0.7
	askWithinS   = 10.0
	answerSlackS = 0.02
	socketSlackS = 0.05
	toldWithinS  = 6.0
	reloadToldS  = 4.0
	coldFrom     = 0.14 // what sidecars are told: every box begins with this share or more
	coldS        = 24.0
	mostAttempts = 3
	// chanceRequests is how many mean requests beyond its budget a cold box bears in a window.
	chanceRequests = 2
	connectS       = 0.25
	maxRetryAfter  = 1.5
	tickS          = 0.005
	// discoveryMoves is how many addresses discovery can move through in a day.
	discoveryMoves = 4
	// startOfDays is 2027-01-15, so that a start of 0 means long ago.
	startOfDays = 1.8e9
)

// Draw returns the day of a seed.
func Draw(seed uint64, r Ranges) Day {
	rng := stream(seed, "day", 0)
	d := Day{Seed: seed, Start: startOfDays, LengthS: math.Round(r.LengthS.draw(rng)), InitialServers: r.Boxes.count(rng)}
	for i := range r.Sites.count(rng) {
		d.Sites = append(d.Sites, "site-"+string(rune('a'+i)))
	}
	d.drawPaths(rng, r)
	d.drawSidecars(rng, r)
	d.drawBoxes(rng, r)
	d.drawClasses(rng, r)
	d.Clients = ClientSpec{
		RatePS: r.RatePS.draw(rng), Swing: r.Swing.draw(rng), PeriodS: r.PeriodS.draw(rng), Burst: r.Burst.draw(rng),
		BurstS: r.BurstS.draw(rng), EveryS: r.EveryS.draw(rng), Retries: r.Retries.count(rng),
		TryShare: r.TryShare.draw(rng), BackoffS: r.BackoffMS.draw(rng) / 1e3, Honour: r.Honour.draw(rng),
		Impatient: r.Impatient.draw(rng), MostConnections: d.Sockets / 3, MaxRetryAfterS: maxRetryAfter,
	}
	load := r.Load.draw(rng)
	if crowd := stream(seed, "crowd", 0); crowd.Float64() < r.Crowds {
		load, d.Clients.RatePS = r.Crowded.draw(crowd), r.CrowdedPS.draw(crowd)
	}
	longer := 1.0
	if long := stream(seed, "long", 0); long.Float64() < r.Longs {
		longer = r.Long.draw(long)
		d.Clients.RatePS /= longer
	}
	d.pace(load, longer)
	d.Discovery = DiscoverySpec{
		NoticeS: r.NoticeS.draw(rng), SilentNoticeS: r.SilentNoticeS.draw(rng), AddS: r.AddS.draw(rng),
		PublishS: r.PublishMS.draw(rng) / 1e3, SpreadS: r.SpreadMS.draw(rng) / 1e3, CallsPS: r.CallsPS.draw(rng),
		CallLines: r.CallLines.draw(rng), CallTimeoutS: 1, PulseS: 2, OldClosesS: 1.5,
	}
	for i := range discoveryMoves {
		ip := fmt.Sprintf("10.2.0.%d", i+1)
		d.Discovery.IPs = append(d.Discovery.IPs, ip)
		d.Discovery.Addresses = append(d.Discovery.Addresses, ip+":2300")
	}
	d.Clients.MarksRetry, d.Inline = rng.IntN(3) == 0, rng.IntN(3) == 0
	return d
}

func (d *Day) drawPaths(rng *rand.Rand, r Ranges) {
	d.PathS = make([][]float64, len(d.Sites))
	for i := range d.PathS {
		d.PathS[i] = make([]float64, len(d.Sites))
		d.PathS[i][i] = r.SameMS.draw(rng) / 1e3
		for j := range i {
			d.PathS[i][j] = r.CrossMS.draw(rng) / 1e3
			d.PathS[j][i] = d.PathS[i][j]
		}
	}
	d.ClientS, d.Jitter, d.ConnIdle = r.ClientMS.draw(rng)/1e3, r.Jitter.draw(rng), r.ConnIdleS.draw(rng)
	d.Sockets, d.MemoryMB = 256<<rng.IntN(3), 192
}

func (d *Day) drawSidecars(rng *rand.Rand, r Ranges) {
	skew, sum := r.Skew.draw(rng), 0.0
	for i := range r.Sidecars.count(rng) {
		ip := fmt.Sprintf("10.0.%d.%d", (i+1)>>8, (i+1)&255)
		s := SidecarSpec{Name: "n" + strconv.Itoa(i), IP: ip, Address: ip + ":8080", Site: i % len(d.Sites),
			Share: spread(rng, skew), Seed: rng.Uint64()}
		sum += s.Share
		d.Sidecars = append(d.Sidecars, s)
	}
	for i := range d.Sidecars {
		d.Sidecars[i].Share /= sum
	}
}

// spareBoxes is how many boxes beyond those that stand at the start a day can bring in.
const spareBoxes = 8

func (d *Day) drawBoxes(rng *rand.Rand, r Ranges) {
	var shares []float64
	sum := 0.0
	for _, k := range r.Kinds {
		d.Kinds = append(d.Kinds, k.Name)
		shares = append(shares, k.Share.draw(rng))
		sum += shares[len(shares)-1]
	}
	cellSize := 6 + rng.IntN(5)
	cv := make([]float64, len(r.Kinds))
	for i, k := range r.Kinds {
		cv[i] = k.SpeedCV.draw(rng)
	}
	taken := map[uint32]bool{}
	for n := range d.InitialServers + spareBoxes {
		kind, at := 0, rng.Float64()*sum
		for kind < len(shares)-1 && at >= shares[kind] {
			at -= shares[kind]
			kind++
		}
		id := rng.Uint32()
		for taken[id] {
			id++
		}
		taken[id] = true
		site := n % len(d.Sites)
		ip := fmt.Sprintf("10.%d.%d.%d", 1+n/250, site, n%250+1)
		b := drawBox(rng, r, r.Kinds[kind], cv[kind])
		b.Number, b.Name, b.IP, b.Address = n, fmt.Sprintf("s-%08x", id), ip, ip+":3000"
		b.Site, b.Kind, b.Cell = site, kind, n/cellSize
		b.IdleS = d.ConnIdle
		d.Servers = append(d.Servers, b)
	}
}

func drawBox(rng *rand.Rand, r Ranges, k KindRanges, speedCV float64) ServerSpec {
	slots := k.Slots.count(rng)
	b := ServerSpec{
		Speed: k.Speed.draw(rng) * spread(rng, speedCV), Slots: slots,
		Waiting: int(k.Waiting.draw(rng)) * slots, Thrash: k.Thrash.draw(rng), ThrashAt: k.ThrashAt.draw(rng),
		ColdFrom: k.ColdFrom.draw(rng), ColdS: k.ColdS.draw(rng), WarmWork: r.WarmWork.draw(rng),
		PauseS: k.PauseS.draw(rng), PauseLen: k.PauseMS.draw(rng) / 1e3, Errors: k.Errors.draw(rng),
		Fall:        FallSpec{Multiple: fallMultiple, WindowS: fallS},
		ReportEvery: r.ReportEveryMS.draw(rng) / 1e3, ReportLag: r.ReportLagMS.draw(rng) / 1e3,
		ReportNoise: r.ReportNoise.draw(rng), ConnCap: int(r.ConnCap.draw(rng)) * slots, FullTax: r.FullTax.draw(rng),
		HandshakeS: r.HandshakeMS.draw(rng) / 1e3, ProbeS: r.ProbeMS.draw(rng) / 1e3,
		ProbePS: r.ProbesPS.draw(rng) * float64(slots), CancelStops: rng.Float64() < 0.2,
	}
	b.Weight = math.Round(float64(slots)*k.Speed.draw(rng)*4) / 4 // as registered: roughly the size
	return b
}

func (d *Day) drawClasses(rng *rand.Rand, r Ranges) {
	sum := 0.0
	for _, c := range r.Classes {
		s := ClassSpec{ClassRanges: c, Effect: effects[c.Effect], Group: groups[c.Group], Share: c.Share.draw(rng),
			WorkS: c.Work.draw(rng), WorkCV: c.WorkCV.draw(rng), BodyBytes: int(c.BodyBytes.draw(rng))}
		sum += s.Share
		d.Classes = append(d.Classes, s)
	}
	for i := range d.Classes {
		d.Classes[i].Share /= sum
	}
}

var (
	effects = map[string]checker.Effect{"safe": checker.Safe, "keyed": checker.Keyed, "unsafe": checker.Unsafe}
	groups  = map[string]checker.Group{"": checker.GroupAll, "all": checker.GroupAll, "zone": checker.GroupZone, "cell": checker.GroupCell}
)

// standardWorkS is the mean work of a request at which the classes' times are as their ranges name them.
const standardWorkS = 0.1

// pace sets the size of requests so that the boxes are loaded as given, and the classes' times with it; longer is how many times as
// long as usual they may be.
func (d *Day) pace(load, longer float64) {
	d.FallS = fallS * longer // or one request of usual size would be more than a box bears
	capacity, mean := 0.0, 0.0
	for _, b := range d.Servers[:d.InitialServers] {
		capacity += b.Speed * float64(b.Slots)
	}
	for _, c := range d.Classes {
		mean += c.Share * c.WorkS
	}
	d.WorkS = load * capacity / d.Clients.RatePS
	for i := range d.Classes {
		c := &d.Classes[i]
		c.WorkS *= d.WorkS / mean
		// Danger: times that shrink as far as the work would fall below what a tick and two ways take.
		pace := min(max(d.WorkS/standardWorkS, 0.4), 1.5*longer)
		c.AimS = math.Round(c.ClassRanges.AimS*pace*1e3) / 1e3
		c.GiveUpS = math.Round(c.ClassRanges.GiveUpS*pace*1e3) / 1e3
	}
	for i := range d.Servers {
		// What chance brings beyond the budget of a window is not held against anybody: a few requests' work. Danger:
		// a slow box that begins at a sixth of its capacity bears two mean requests a window, and one heavy one brings
		// it down whoever has sent it.
		d.Servers[i].Fall.WindowS = d.FallS
		d.Servers[i].Fall.SlackS = chanceRequests * d.WorkS / d.Servers[i].Speed
	}
}

// Rules returns what the judge of this day checks by.
func (d *Day) Rules() checker.Rules {
	r := checker.Rules{
		Sidecars: len(d.Sidecars), MaxDescriptors: d.Sockets, AnswerSlackSeconds: answerSlackS, SocketSlackSeconds: socketSlackS,
		TermGraceSeconds: termGraceS, DrainGraceSeconds: drainGraceS, PollTimeoutSeconds: askWithinS, UpdateTimeoutSeconds: toldWithinS, ReloadGraceSeconds: reloadToldS,
		OverloadWindowSeconds: cmp.Or(d.FallS, fallS), ColdLoadShare: 2.0 / 3, FailFastSeconds: 0.25, MaxAttempts: mostAttempts,
	}
	r.FleetCallsSeconds = float64(len(d.Sidecars)) * d.Discovery.callS(len(d.Servers))
	for _, c := range d.Classes {
		r.Classes = append(r.Classes, checker.Class{Name: c.Name, Effect: c.Effect, Group: c.Group, DedupWindowSeconds: c.WindowS,
			LatencyTargetSeconds: c.AimS, PriorityWeight: c.Worth, LateFraction: c.LateWorth})
	}
	for _, s := range d.Sidecars {
		r.SidecarZones = append(r.SidecarZones, int32(s.Site))
	}
	return r
}

// PathBetween returns how long bytes take one way between two sites, in seconds, before jitter.
func (d *Day) PathBetween(a, b int) float64 { return d.PathS[a][b] }

// Shorten leaves out sidecars, boxes and time, for whoever looks for the smallest day that still shows something; 0
// keeps all. What stays is drawn as before.
func (d *Day) Shorten(sidecars, boxes int, lengthS float64) {
	if sidecars > 0 && sidecars < len(d.Sidecars) {
		d.Sidecars = d.Sidecars[:sidecars]
	}
	if boxes > 0 && boxes < d.InitialServers {
		d.Servers = append(d.Servers[:boxes:boxes], d.Servers[d.InitialServers:]...)
		for i := range d.Servers {
			d.Servers[i].Number = i
		}
		d.InitialServers = boxes
	}
	if lengthS > 0 {
		d.LengthS = min(d.LengthS, lengthS)
	}
}
