package coordination

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
	"hazelwheel/internal/sidecar"
)

// The job "report": its owner asks all how the requests of each class have fared since they were asked last. The question goes
// to all over all links; each answers over the link by which it first came, with what has come to it from those behind it, summed.
const (
	reportName = "report"

	kindAsk    = 1 // question
	kindAnswer = 2 // answer, over one link
	kindReport = 3 // Report, to all

	askEveryS    = 5.0
	answerWithin = 2.0  // after the question
	gatherS      = 0.12 // in which answers of others are waited for, to go on with one's own
	// answersPerS and answersAtOnce bound what answers take of the budget of the links, in bytes; what has no room waits.
	answersPerS, answersAtOnce = 32 << 10, 64 << 10
	missedS                    = 60.0 // for which one that died counts as missing
	mostFrom                   = 2000 // members whose answers are in one
	mostClasses                = 64
	mostMissing                = 50 // that are named
)

type question struct {
	Round uint64 `msgpack:"r"`
}

// answer is how the requests of some members have fared.
type answer struct {
	Round   uint64        `msgpack:"r"`
	From    []swim.ID     `msgpack:"f"`
	Classes []classAnswer `msgpack:"c,omitempty"` // by name
}

type classAnswer struct {
	Class     string  `msgpack:"c"`
	Served    uint64  `msgpack:"s,omitempty"`
	Throttled uint64  `msgpack:"t,omitempty"`
	Failed    uint64  `msgpack:"f,omitempty"`
	Abandoned uint64  `msgpack:"a,omitempty"`
	PerS      float64 `msgpack:"p,omitempty"` // requests that have ended, a second, of all members together
	Times     []byte  `msgpack:"h,omitempty"` // counts of sidecar.NewTimes, packed

	times []int64
}

// Report is how the requests of the whole fleet have fared since the report before.
type Report struct {
	Owner          string        `json:"owner" msgpack:"o"`
	Token          uint64        `json:"token" msgpack:"t"`
	Round          uint64        `json:"round" msgpack:"r"`
	Asked          int           `json:"asked" msgpack:"a"` // members that lived when they were asked, or died within the minute before
	Answered       int           `json:"answered" msgpack:"n"`
	Missing        []string      `json:"missing,omitempty" msgpack:"m,omitempty"` // names of those that did not answer in time
	OmittedMissing int           `json:"more_missing,omitempty" msgpack:"x,omitempty"`
	Classes        []ClassReport `json:"classes" msgpack:"c"`
	AgeSeconds     float64       `json:"age_s" msgpack:"-"` // since this sidecar heard it
}

// ClassReport is how the requests of a class have fared. Times are in milliseconds, to answer those that were served.
type ClassReport struct {
	Class         string  `json:"class" msgpack:"c"`
	RatePerSecond float64 `json:"per_s" msgpack:"p"`
	Served        uint64  `json:"served" msgpack:"s"`
	Throttled     uint64  `json:"throttled" msgpack:"t"`
	Failed        uint64  `json:"failed" msgpack:"f"`
	Abandoned     uint64  `json:"abandoned" msgpack:"a"`
	P50           float64 `json:"p50_ms" msgpack:"5"`
	P90           float64 `json:"p90_ms" msgpack:"9"`
	P99           float64 `json:"p99_ms" msgpack:"99"`
	P999          float64 `json:"p999_ms" msgpack:"999"`
	Max           float64 `json:"max_ms" msgpack:"x"`
}

var errAnswer = errors.New("the counts of an answer make no sense")

// packTimes returns counts as pairs of a distance and a count: most are 0.
func packTimes(counts []int64) (b []byte) {
	last := 0
	for i, n := range counts {
		if n > 0 {
			b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(i-last)), uint64(n))
			last = i
		}
	}
	return b
}

// unpackTimes adds packed counts to others.
func unpackTimes(b []byte, to []int64) error {
	for at := uint64(0); len(b) > 0; {
		by, n := binary.Uvarint(b)
		if n <= 0 {
			return errAnswer
		}
		count, m := binary.Uvarint(b[n:])
		if at += by; m <= 0 || by >= uint64(len(to)) || at >= uint64(len(to)) || count > 1<<40 {
			return errAnswer
		}
		to[at] += int64(count)
		b = b[n+m:]
	}
	return nil
}

// add sums another answer of the same round into one.
func (a *answer) add(b *answer) error {
	if len(b.From) > mostFrom || len(b.Classes) > mostClasses {
		return errAnswer
	}
	for i := range b.Classes {
		c := &b.Classes[i]
		if len(c.Class) > 64 || math.IsNaN(c.PerS) || math.IsInf(c.PerS, 0) {
			return errAnswer
		}
		at, found := slices.BinarySearchFunc(a.Classes, c.Class, func(c classAnswer, name string) int {
			switch {
			case c.Class < name:
				return -1
			case c.Class > name:
				return 1
			}
			return 0
		})
		if !found {
			if len(a.Classes) >= mostClasses {
				return errAnswer
			}
			a.Classes = slices.Insert(a.Classes, at, classAnswer{Class: c.Class, times: make([]int64, len(timesShape().Counts))})
		}
		to := &a.Classes[at]
		if err := unpackTimes(c.Times, to.times); err != nil {
			return err
		}
		to.Served, to.Throttled, to.Failed, to.Abandoned = to.Served+c.Served, to.Throttled+c.Throttled, to.Failed+c.Failed, to.Abandoned+c.Abandoned
		to.PerS += c.PerS
	}
	for _, id := range b.From {
		if i, found := slices.BinarySearch(a.From, id); !found {
			a.From = slices.Insert(a.From, i, id)
		}
	}
	return nil
}

// timesShape is made once it is asked for: where there is no report it takes no room.
var timesShape = sync.OnceValue(func() *hdrhistogram.Snapshot { return sidecar.NewTimes().Export() })

// reporter is a sidecar's part in the job.
type reporter struct {
	o *owners

	// Of every member.
	up         int // the link over which the question has come
	token      uint64
	gathered   *answer // that is to go there; nil: nothing is
	sendAt     float64
	bucket     budget
	measuredAt float64
	last       *Report
	lastAt     float64

	// Of the owner.
	owning bool
	held   uint64
	round  uint64
	askAt  float64
	by     float64 // when the round ends
	sum    *answer // nil: no round is on
	asked  []swim.ID
}

// budget is a budget of bytes.
type budget struct{ left, at float64 }

func newReport(o *owners) *reporter {
	now := o.f.net.Now()
	return &reporter{o: o, bucket: budget{answersAtOnce, now}, measuredAt: now}
}

func (r *reporter) Name() string { return reportName }

func (r *reporter) Begin(token uint64) {
	r.owning, r.held, r.round, r.askAt, r.sum = true, token, 0, 0, nil
}

func (r *reporter) End() { r.owning, r.sum = false, nil }

// Heard takes a question, an answer or a report.
func (r *reporter) Heard(from *peers.Link, e *frames.RoleMessage) {
	switch e.Kind {
	case kindAsk:
		var q question
		if frames.Unmarshal(e.Body, &q) == nil {
			r.up, r.token, r.round = from.Number, e.Token, q.Round
			r.gathered, r.sendAt = r.own(), r.o.f.net.Now()+gatherS
		}
	case kindAnswer:
		var a answer
		if frames.Unmarshal(e.Body, &a) != nil || a.Round != r.round {
			return
		}
		switch {
		case r.owning && e.Token == r.held:
			if r.sum != nil {
				_ = r.sum.add(&a) // what makes no sense is not in the report, nor those that it is from
			}
		case e.Token == r.token:
			if r.gathered == nil {
				r.gathered, r.sendAt = &answer{Round: a.Round}, r.o.f.net.Now()+gatherS
			}
			_ = r.gathered.add(&a) // the same
		}
	case kindReport:
		var rep Report
		if frames.Unmarshal(e.Body, &rep) == nil {
			r.last, r.lastAt = &rep, r.o.f.net.Now()
		}
	}
}

// own returns how this sidecar's requests have fared since it was asked last.
func (r *reporter) own() *answer {
	now := r.o.f.net.Now()
	spanS := max(now-r.measuredAt, 0.001)
	r.measuredAt = now
	a := &answer{Round: r.round}
	mine := &answer{From: []swim.ID{r.o.f.state.ID}}
	for _, m := range r.o.f.o.Host.Measured() {
		ended := m.Served + m.Throttled + m.Failed + m.Abandoned
		mine.Classes = append(mine.Classes, classAnswer{Class: m.Class, Served: m.Served, Throttled: m.Throttled, Failed: m.Failed, Abandoned: m.Abandoned,
			PerS: float64(ended) / spanS, Times: packTimes(m.Times)})
	}
	_ = a.add(mine) // more classes than a report has room for are left out
	return a
}

// Tick sends what has been gathered, and has the owner's rounds begin and end.
func (r *reporter) Tick(now float64) (next float64) {
	next = now + askEveryS
	if r.gathered != nil && now >= r.sendAt {
		r.answer(now)
	}
	if r.gathered != nil {
		next = r.sendAt
	}
	if !r.owning {
		return next
	}
	if r.sum != nil && (now >= r.by || len(r.sum.From) >= len(r.asked) && !slices.ContainsFunc(r.asked, func(id swim.ID) bool { return !r.sum.has(id) })) {
		r.tell(now)
	}
	if now >= r.askAt {
		r.ask(now)
	}
	next = min(next, r.askAt)
	if r.sum != nil {
		next = min(next, now+gatherS/2)
	}
	return next
}

func (a *answer) has(id swim.ID) bool {
	_, found := slices.BinarySearch(a.From, id)
	return found
}

// answer sends what has been gathered over the link by which the question came. Where there is no room for it, it waits.
func (r *reporter) answer(now float64) {
	l := r.o.f.links[r.up]
	if l == nil {
		r.gathered = nil // the link has ended: those behind it are missing in this report
		return
	}
	a := r.gathered
	for i := range a.Classes {
		a.Classes[i].Times = packTimes(a.Classes[i].times)
	}
	rest := a.From[min(len(a.From), mostFrom):]
	a.From = a.From[:len(a.From)-len(rest)]
	body := packed(a)
	b := &r.bucket
	b.left, b.at = min(b.left+(now-b.at)*answersPerS, answersAtOnce), now
	if need := float64(len(body)); b.left < need && b.left < answersAtOnce {
		a.From = append(a.From, rest...)
		r.sendAt = now + min((need-b.left)/answersPerS, answerWithin)
		return
	}
	b.left -= float64(len(body))
	r.o.reply(l, reportName, r.token, kindAnswer, body)
	if r.gathered = nil; len(rest) > 0 {
		r.gathered, r.sendAt = &answer{Round: a.Round, From: slices.Clone(rest)}, now+gatherS
	}
}

// ask begins a round.
func (r *reporter) ask(now float64) {
	r.askAt = now + askEveryS
	r.round++
	if !r.o.spread(reportName, kindAsk, packed(question{r.round})) {
		r.sum = nil
		return
	}
	r.asked = r.asked[:0]
	for m := range r.o.f.view.Members {
		if !m.State.IsDeadOrLeft() || m.State == swim.Dead && m.StateAgeSeconds < missedS {
			r.asked = append(r.asked, m.ID)
		}
	}
	r.sum, r.by = r.own(), now+answerWithin
}

// tell ends a round: what has come is the report.
func (r *reporter) tell(now float64) {
	f := r.o.f
	rep := Report{Owner: f.o.Sidecar, Token: r.held, Round: r.round, Asked: len(r.asked), Answered: len(r.sum.From)}
	for m := range f.view.Members {
		if _, asked := slices.BinarySearch(r.asked, m.ID); !asked || r.sum.has(m.ID) {
			continue
		}
		if len(rep.Missing) < mostMissing {
			rep.Missing = append(rep.Missing, m.Name)
		} else {
			rep.OmittedMissing++
		}
	}
	for i := range r.sum.Classes {
		c := &r.sum.Classes[i]
		snapshot := *timesShape()
		snapshot.Counts = c.times
		h := hdrhistogram.Import(&snapshot)
		ms := func(us int64) float64 { return float64(us) / 1000 }
		rep.Classes = append(rep.Classes, ClassReport{Class: c.Class, RatePerSecond: math.Round(10*c.PerS) / 10, Served: c.Served, Throttled: c.Throttled,
			Failed: c.Failed, Abandoned: c.Abandoned, P50: ms(h.ValueAtPercentile(50)), P90: ms(h.ValueAtPercentile(90)), P99: ms(h.ValueAtPercentile(99)),
			P999: ms(h.ValueAtPercentile(99.9)), Max: ms(h.Max())})
	}
	r.sum = nil
	if r.o.spread(reportName, kindReport, packed(rep)) {
		r.last, r.lastAt = &rep, now
	}
}

// Report returns the last report that was heard. Where none was, the error names the owner.
func (f *Node) Report() (rep Report, err error) {
	seen, err := f.LeaseStatus()
	if err != nil {
		return rep, err
	}
	i := slices.IndexFunc(seen.Roles, func(j RoleStatus) bool { return j.Role == reportName })
	if i < 0 {
		return rep, errNoReport
	}
	if r, ok := f.owners.job(reportName).work.(*reporter); ok && r.last != nil {
		rep = *r.last
		rep.AgeSeconds = math.Round(10*(f.net.Now()-r.lastAt)) / 10
		return rep, nil
	}
	switch j := seen.Roles[i]; {
	case j.Owner == "":
		return rep, errNoReport
	case !j.Capable:
		return rep, fmt.Errorf("this sidecar takes no part in reports: ask %s (%s), which makes them", j.OwnerName, j.Owner)
	default:
		return rep, fmt.Errorf("no report has come yet from %s (%s), which makes them", j.OwnerName, j.Owner)
	}
}

var errNoReport = errors.New("nobody makes a report at the moment")
