package coordination

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hazelwheel/internal/decide/swim"
	"hazelwheel/internal/peers"
	"hazelwheel/internal/peers/frames"
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
