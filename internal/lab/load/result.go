package load

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what came of a request.
type Outcome int

// The outcomes, as the client sees them.
const (
	Served     Outcome = iota // 200
	Refused                   // 429 or 503: nothing has run
	Failed                    // any other answer
	Broken                    // the connection ended without a whole answer
	Unanswered                // sent, and no answer until the client's patience ended
	Unsent                    // no connection was free or came up until the client's patience ended
	outcomes
)

var outcomeNames = [outcomes]string{"served", "refused", "failed", "broken", "unanswered", "unsent"}

func (o Outcome) String() string { return outcomeNames[o] }

// Counts are requests by what came of them.
type Counts struct {
	Offered    int64 `json:"offered"`
	Served     int64 `json:"served"`
	Refused    int64 `json:"refused"`
	Failed     int64 `json:"failed"`
	Broken     int64 `json:"broken"`
	Unanswered int64 `json:"unanswered"`
	Unsent     int64 `json:"unsent"`
}

func (c *Counts) of(o Outcome) *int64 {
	return [outcomes]*int64{&c.Served, &c.Refused, &c.Failed, &c.Broken, &c.Unanswered, &c.Unsent}[o]
}

// Add adds others to the counts.
func (c *Counts) Add(o *Counts) {
	c.Offered += o.Offered
	for i := range outcomes {
		*c.of(i) += *o.of(i)
	}
}

// Share returns which part of what was offered came to an outcome, 0 to 1.
func (c Counts) Share(o Outcome) float64 {
	if c.Offered == 0 {
		return 0
	}
	return float64(*c.of(o)) / float64(c.Offered)
}

// Times are percentiles of the time to an answer, in milliseconds.
type Times struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Step is what came of the requests that were due in one step of the run.
type Step struct {
	Counts
	Times
	Answered int64 `json:"answered"` // answers of any status that came in this step
}

// Result is what came of a plan.
type Result struct {
	Counts
	Times                              // of what was served
	Classes          map[string]Counts `json:"classes"`
	ClassTimes       map[string]Times  `json:"class_times"` // of what was served
	StepS            float64           `json:"step_s"`      // length of the series' steps
	Steps            []Step            `json:"steps"`
	Worth            float64           `json:"worth"` // of what was served, as a share of what all that was offered was worth
	ForS             float64           `json:"for_s"`
	ServedPS         float64           `json:"served_ps"`     // a second, within the time in which requests were sent
	Opened           int64             `json:"opened"`        // connections
	OpenFailed       int64             `json:"open_failed"`   // dials that were refused or never came up
	Retried          int64             `json:"retried"`       // tries beyond the first of a request
	Resent           int64             `json:"resent"`        // requests that a closing link crossed, sent once more
	OwnLateP99       float64           `json:"own_late_ms"`   // 99th percentile of how late this client sent though a link was free
	Unread           int64             `json:"unread_format"` // answers in a form that this client does not read; part of failed
	BeganMS          int64             `json:"began_ms"`      // Unix time
	Histogram        string            `json:"histogram"`     // of what was served, in microseconds: HdrHistogram, V2, compressed, base64
	Judged           bool              `json:"judged"`        // what came was judged
	Breaks           int64             `json:"breaks"`        // of rules
	Unjudged         int64             `json:"unjudged"`      // tries beyond those that the judge can look at, each of which may break one
	Findings         []Finding         `json:"findings"`      // the first breaks
	seen             testimony
	served           *hdrhistogram.Histogram
	classes          []*hdrhistogram.Histogram
	late             *hdrhistogram.Histogram
	steps            []*hdrhistogram.Histogram
	byClass          []Counts
	kinds            []Class
	step             time.Duration
	servedInTime     int64
	gained, askedFor float64 // worth
}

const longestUS = 600 * 1000 * 1000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestUS, 3) }

// newResult returns an empty one for a plan.
func newResult(p *Plan) *Result {
	r := &Result{served: newHistogram(), late: newHistogram(), byClass: make([]Counts, len(p.Classes)),
		kinds: p.Classes, step: p.step()}
	for range p.Classes {
		r.classes = append(r.classes, newHistogram())
	}
	return r
}

// at returns the entry of a time from the start of the run.
func (r *Result) at(at time.Duration) (*Step, *hdrhistogram.Histogram) {
	i := max(int(at/r.step), 0)
	for len(r.Steps) <= i {
		r.Steps = append(r.Steps, Step{})
		r.steps = append(r.steps, hdrhistogram.New(1, longestUS, 2))
	}
	return &r.Steps[i], r.steps[i]
}

// offered notes a request that was due at a time of the run.
func (r *Result) offered(class int, due time.Duration) {
	r.Offered++
	r.byClass[class].Offered++
	s, _ := r.at(due)
	s.Offered++
	r.askedFor += r.kinds[class].worth()
}

// ended notes what came of it.
func (r *Result) ended(class int, due, at, length time.Duration, o Outcome) {
	*r.of(o)++
	*r.byClass[class].of(o)++
	s, h := r.at(due)
	*s.of(o)++
	if o <= Failed && at < length {
		then, _ := r.at(at)
		then.Answered++
	}
	if o != Served {
		return
	}
	if at < length {
		r.servedInTime++
	}
	if k := &r.kinds[class]; k.Aim == 0 || at-due <= k.Aim {
		r.gained += k.worth()
	} else {
		r.gained += k.worth() * k.LateShare
	}
	us := max(int64((at-due)/time.Microsecond), 1)
	_ = r.served.RecordValue(min(us, longestUS)) // fails only above longestUS
	_ = r.classes[class].RecordValue(min(us, longestUS))
	_ = h.RecordValue(min(us, longestUS))
}

func (r *Result) merge(o *Result) {
	r.Add(&o.Counts)
	r.Retried += o.Retried
	r.Opened, r.OpenFailed, r.Resent, r.Unread = r.Opened+o.Opened, r.OpenFailed+o.OpenFailed, r.Resent+o.Resent, r.Unread+o.Unread
	r.servedInTime += o.servedInTime
	r.seen.merge(&o.seen)
	r.gained += o.gained
	r.askedFor += o.askedFor
	r.served.Merge(o.served)
	r.late.Merge(o.late)
	for i := range o.byClass {
		r.byClass[i].Add(&o.byClass[i])
		r.classes[i].Merge(o.classes[i])
	}
	for i := range o.Steps {
		s, h := r.at(time.Duration(i) * r.step)
		s.Add(&o.Steps[i].Counts)
		s.Answered += o.Steps[i].Answered
		h.Merge(o.steps[i])
	}
}

// finish works out what is reported of a plan that lasted so long.
func (r *Result) finish(length time.Duration) error {
	r.Classes, r.ClassTimes = map[string]Counts{}, map[string]Times{}
	for i, c := range r.kinds {
		r.Classes[c.Name] = r.byClass[i]
		r.ClassTimes[c.Name] = times(r.classes[i])
	}
	for i := range r.Steps {
		r.Steps[i].Times = times(r.steps[i])
	}
	r.StepS = r.step.Seconds()
	if r.askedFor > 0 {
		r.Worth = r.gained / r.askedFor
	}
	r.Times = times(r.served)
	r.OwnLateP99 = float64(r.late.ValueAtQuantile(99)) / 1000
	r.ForS = length.Seconds()
	r.ServedPS = float64(r.servedInTime) / r.ForS
	raw, err := r.served.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	r.Histogram = string(raw)
	return err
}

func times(h *hdrhistogram.Histogram) Times {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Times{at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1000}
}

// Print writes the result as lines for people; with steps also one line for each step.
func (r *Result) Print(w io.Writer, steps bool) {
	fmt.Fprintf(w, "offered %d, served %d (%.2f %%, %.0f/s), refused %d (%.2f %%), failed %d, broken %d, unanswered %d, unsent %d\n",
		r.Offered, r.Served, 100*r.Share(Served), r.ServedPS, r.Refused, 100*r.Share(Refused),
		r.Failed, r.Broken, r.Unanswered, r.Unsent)
	fmt.Fprintf(w, "time to an answer of what was served, ms: p50 %.2f, p90 %.2f, p99 %.2f, p99.9 %.2f, max %.2f\n",
		r.P50, r.P90, r.P99, r.P999, r.Max)
	fmt.Fprintf(w, "connections opened %d, dials failed %d, tried again %d, sent once more %d, sent late by this client itself: p99 %.2f ms\n",
		r.Opened, r.OpenFailed, r.Retried, r.Resent, r.OwnLateP99)
	if r.Unread > 0 {
		fmt.Fprintf(w, "%d answers had a form that this client does not read\n", r.Unread)
	}
	r.printFindings(w)
	if !steps {
		return
	}
	for i, s := range r.Steps {
		fmt.Fprintf(w, "%6.1f s: offered %6d, served %6d, refused %5d, failed %5d, other %5d, p50 %8.2f, p99 %8.2f, max %8.2f ms\n", float64(i)*r.StepS,
			s.Offered, s.Served, s.Refused, s.Failed, s.Broken+s.Unanswered+s.Unsent, s.P50, s.P99, s.Max)
	}
}
