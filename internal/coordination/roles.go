package coordination

import (
	"slices"

	"hazelwheel/internal/decide/lease"
	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
)

// work is a job that one sidecar does on behalf of all. Begin and End are called in turns, each on the loop; between them the job
// may speak to all by owners.spread. What it says is checked where it is heard: to speak under a lease that has ended does no harm.
type work interface {
	Name() string
	Begin(token uint64)
	End()
	// Heard takes an effect that has come over a link and whose token is not too low, also where another owns the job.
	Heard(from *peers.Link, e *frames.RoleMessage)
	// Tick does what is due, owner or not, and says when to be called next.
	Tick(now float64) (next float64)
}

// lapser is work that does no harm when two do it at once, and may go on by owners.spreadOn after its lease was not renewed.
type lapser interface {
	// Lapsed follows End.
	Lapsed(token uint64)
}

const (
	// fitEveryS is the time between two looks whether this sidecar may work for others.
	fitEveryS = 1.0
	// leaveWithinS is how long what is owned may take to be given back, after the word to end. It is less than any drain takes.
	leaveWithinS = 0.5
)

// job is one that is known here.
type job struct {
	name     string
	work     work    // nil: it is done by others alone
	next     float64 // when work is to be called
	held     uint64  // the token under which this sidecar owns it; 0: it does not
	number   uint64  // of the last effect under it
	unfit    bool
	taken    uint64 // effects
	refused  uint64 // of a token that was too low
	foolish  uint64 // whose body made no sense
	heard    window
	seen     uint64    // the greatest token that has come in
	from     int       // the link by which the last effect came that was for all
	tokens   [8]uint64 // of the effects that were taken last, as they changed
	tokensAt int
}

// owners is a sidecar's part in who does what on behalf of all. It belongs to its Fleet.
type owners struct {
	f        *Node
	t        *lease.Node // nil: the identity is being drawn anew, or is another process's
	greatest lease.Fence
	jobs     []*job   // by name
	lists    *feeder  // nil: no lists are passed on
	drills   *driller // nil: drills are each sidecar's own
	works    *worker  // nil: no work on boxes is settled
	changes  uint64   // of the view, that the decisions know of
	fitAt    float64
	why      string // it may not work for others; empty: it may
	leaveBy  float64
	notes    notes
	refusals notes
}

func newOwners(f *Node) *owners {
	o := &owners{f: f}
	for _, name := range slices.Sorted(slices.Values(f.o.Jobs)) {
		j := &job{name: name}
		switch i := slices.Index(listNames[:], name); {
		case name == reportName:
			j.work = newReport(o)
		case name == drillName:
			o.drills = newDriller(o)
			j.work = o.drills
		case name == worksName:
			o.works = newWorker(o)
			j.work = o.works
		case i >= 0:
			if o.lists == nil {
				o.lists = newFeeder(o)
			}
			j.work = o.lists.jobs[i]
		}
		o.jobs = append(o.jobs, j)
	}
	return o
}

// begin takes the identity and what was promised under it. An error says that neither is to be used.
func (o *owners) begin(id swim.ID, promised []byte) (err error) {
	o.t, err = lease.New(o.f.net.Now(), id, lease.Settings{InitialVoters: o.f.o.Electors, Address: o.f.o.Advertise, Roles: o.f.o.Jobs, RecordedRoles: []string{worksName}, Seed: o.f.o.Rand.Uint64()},
		promised, tenureActions{o})
	o.changes, o.fitAt = 0, 0
	for _, j := range o.jobs {
		j.unfit = false
	}
	return err
}

// stop ends all at once: this process no longer has its identity.
func (o *owners) stop(why string) {
	for _, j := range o.jobs {
		o.end(j, why)
	}
	o.t = nil
}

// end ends a job that is owned here.
func (o *owners) end(j *job, why string) {
	if j.held == 0 {
		return
	}
	o.note("no longer the owner of a job", "job", j.name, "token", j.held, "why", why)
	if j.held = 0; j.work != nil {
		j.work.End()
	}
}

// note writes a line of the log, unless there are too many.
func (o *owners) note(text string, args ...any) {
	if now := o.f.net.Now(); o.notes.room(now) {
		o.f.log.Info(text, args...)
	}
}

// tick does what is due.
func (o *owners) tick(now float64) {
	if o.t == nil {
		return
	}
	if c := o.f.view.Changes(); c != o.changes {
		o.changes = c
		o.t.SetMembers(now, o.members())
	}
	if now >= o.fitAt {
		o.lookFit(now)
	}
	if now >= o.t.NextTick() {
		o.t.Tick(now)
	}
	for _, j := range o.jobs {
		if j.work != nil && now >= j.next {
			j.next = j.work.Tick(now)
		}
	}
	o.notes.flush(now, o.f.log)
	o.refusals.flush(now, o.f.log)
}

func (o *owners) members() []lease.Member {
	var all []lease.Member
	for m := range o.f.view.Members {
		all = append(all, lease.Member{ID: m.ID, Address: m.Address, State: m.State, Durable: m.Durable, StateAgeSeconds: m.StateAgeSeconds})
	}
	return all
}

// lookFit tells the decisions whether this sidecar may work for others.
func (o *owners) lookFit(now float64) {
	o.fitAt = now + fitEveryS
	fit, why := o.f.o.Host.Fit()
	if why != o.why {
		o.note("work for others", "willing", fit, "why", why)
	}
	o.why = why
	for _, j := range o.jobs {
		if j.unfit == fit {
			j.unfit = !fit
			o.t.SetWilling(now, j.name, fit)
		}
	}
}

// next returns when tick is to be called.
func (o *owners) next(now float64) float64 {
	if o.t == nil {
		return now + fitEveryS
	}
	next := min(o.t.NextTick(), o.fitAt)
	for _, j := range o.jobs {
		if j.work != nil {
			next = min(next, j.next)
		}
	}
	if o.leaveBy > now {
		next = min(next, o.leaveBy)
	}
	return next
}

// leaving gives back what is owned, and tells whether that still takes time.
func (o *owners) leaving(now float64) bool {
	if o.t == nil {
		return false
	}
	if o.leaveBy == 0 {
		o.leaveBy = now + leaveWithinS
		o.t.Leave(now)
	}
	return now < o.leaveBy && !o.t.HasLeft()
}

// job returns one by its name, nil where it is not known and there is room for no more.
func (o *owners) job(name string) *job {
	i, found := slices.BinarySearchFunc(o.jobs, name, func(j *job, name string) int {
		switch {
		case j.name < name:
			return -1
		case j.name > name:
			return 1
		}
		return 0
	})
	if found {
		return o.jobs[i]
	}
	// Danger: names come from outside.
	if len(o.jobs) >= mostJobs || len(name) > 64 {
		return nil
	}
	o.jobs = slices.Insert(o.jobs, i, &job{name: name})
	return o.jobs[i]
}

const mostJobs = 64

// token returns the greatest token that is known of a job, 0: none is.
func (o *owners) token(name string) (token uint64) {
	if o.t != nil {
		for _, g := range o.t.Table().Grants {
			if g.Role == name {
				token = g.Token
			}
		}
	}
	for _, g := range o.greatest.Highest() {
		if g.Role == name {
			token = max(token, g.Token)
		}
	}
	return token
}

// senseless counts an effect whose body makes no sense. It is dropped, and what it came over goes on: its token was good.
func (o *owners) senseless(name string) {
	if j := o.job(name); j != nil {
		j.foolish++
	}
}

// packed returns a message as a body.
func packed(v any) []byte {
	body, err := frames.Marshal(v)
	if err != nil { // numbers and names always pack
		panic(err)
	}
	return body
}
