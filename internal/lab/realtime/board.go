package realtime

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/environment"
	"hazelwheel/internal/lab/figures"
	"hazelwheel/internal/lab/load"
)

// stepS is how fine a board's series is.
const stepS = 0.1

// Board watches a world that is played and keeps what a viewer wants to see. It belongs to the play's loop.
type Board struct {
	day     *environment.Day
	asked   map[uint64]request // by the first try's id
	first   map[uint64]uint64  // of each try that is open
	steps   []load.Step        // by when a request came first
	classes [][]load.Counts    // by class, likewise
	times   [][]float64        // ms to the answer, by when it came
	boxes   []boxState
}

type request struct {
	at    float64
	class int32
	done  bool
}

type boxState struct {
	up, hangs     bool
	work, answers []int // executions and answers, by step
}

// NewBoard returns a board that has seen nothing of a day.
func NewBoard(d *environment.Day) *Board {
	return &Board{day: d, asked: map[uint64]request{}, first: map[uint64]uint64{}, boxes: make([]boxState, len(d.Servers)),
		classes: make([][]load.Counts, len(d.Classes))}
}

// step returns the number of a time's step.
func (b *Board) step(at float64) int { return max(int((at-b.day.Start)/stepS), 0) }

// grow returns the entry of a step.
func grow[T any](s *[]T, i int) *T {
	for len(*s) <= i {
		var zero T
		*s = append(*s, zero)
	}
	return &(*s)[i]
}

// Observe implements checker.Observer: it counts an event for the board.
func (b *Board) Observe(e checker.Event) {
	switch e.Kind {
	case checker.RequestStarted:
		b.first[e.Request] = e.FirstRequest
		if _, known := b.asked[e.FirstRequest]; !known {
			b.asked[e.FirstRequest] = request{at: e.At, class: e.Class}
			b.count(request{at: e.At, class: e.Class}, func(c *load.Counts) { c.Offered++ })
		}
	case checker.ResponseReceived:
		b.answered(e)
	case checker.RequestAbandoned, checker.ConnectFailed, checker.ConnectionDropped, checker.ResponseTruncated:
		delete(b.first, e.Request)
	case checker.ServerStarted:
		b.boxes[e.Server].up = true
	case checker.ServerStopped:
		b.boxes[e.Server].up = false
	case checker.AttemptReceived:
		*grow(&b.boxes[e.Server].work, b.step(e.At))++
	case checker.ResponseSent:
		*grow(&b.boxes[e.Server].answers, b.step(e.At))++
	}
}

func (b *Board) answered(e checker.Event) {
	first := b.first[e.Request]
	delete(b.first, e.Request)
	r, known := b.asked[first]
	if !known || r.done {
		return
	}
	switch e.Status {
	case http.StatusOK:
		r.done = true
		b.asked[first] = r
		*grow(&b.times, b.step(e.At)) = append(*grow(&b.times, b.step(e.At)), (e.At-r.at)*1000)
		b.count(r, func(c *load.Counts) { c.Served++ })
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		b.count(r, func(c *load.Counts) { c.Refused++ })
	default:
		b.count(r, func(c *load.Counts) { c.Failed++ })
	}
}

// count counts at the step in which a request came, and for its class.
func (b *Board) count(r request, f func(*load.Counts)) {
	i := b.step(r.at)
	f(&grow(&b.steps, i).Counts)
	if r.class >= 0 && int(r.class) < len(b.classes) {
		f(grow(&b.classes[r.class], i))
	}
}

// Hangs notes that boxes hang, or no longer do.
func (b *Board) Hangs(boxes []string, on bool) {
	for i := range b.day.Servers {
		if slices.Contains(boxes, b.day.Servers[i].Name) {
			b.boxes[i].hangs = on
		}
	}
}

// Back returns how long after a time service was as it was before, in seconds.
func (b *Board) Back(at float64) float64 {
	return figures.Back(b.steps, stepS, b.day.LengthSeconds, at-b.day.Start)
}

// second adds up the steps of a second from so many steps back.
func second[T any](s []T, from, to int, add func(*T)) {
	for i := max(from, 0); i < min(to, len(s)); i++ {
		add(&s[i])
	}
}

// view is what there is to see of a second.
type view struct {
	at      float64
	all     load.Counts
	classes []load.Counts
	times   []float64
	rates   []int // requests to each box
	states  []byte
}

// Of a box: it answers, it has nothing to answer, it hangs, it is down, it has never been there.
const (
	answers = '#'
	rests   = '.'
	hangs   = 'h'
	down    = 'x'
	unborn  = ' '
)

// settleS is how long before the present what is shown ends: later requests are still out, and would seem unserved.
const settleS = 0.5

// look returns what there is to see of the second that is over by a time.
func (b *Board) look(now float64) view {
	to := b.step(now - settleS)
	from := to - int(1/stepS)
	v := view{at: now - b.day.Start, classes: make([]load.Counts, len(b.classes))}
	second(b.steps, from, to, func(s *load.Step) { v.all.Add(&s.Counts) })
	for i := range b.classes {
		second(b.classes[i], from, to, func(c *load.Counts) { v.classes[i].Add(c) })
	}
	second(b.times, from, to, func(t *[]float64) { v.times = append(v.times, *t...) })
	slices.Sort(v.times)
	for i := range b.boxes {
		x := &b.boxes[i]
		work, done := 0, 0
		second(x.work, from, to, func(n *int) { work += *n })
		second(x.answers, from, to, func(n *int) { done += *n })
		state := byte(rests)
		switch {
		case i >= b.day.InitialServers && !x.up:
			state = unborn
		case !x.up:
			state = down
		case x.hangs:
			state = hangs
		case done > 0:
			state = answers
		}
		v.rates, v.states = append(v.rates, work), append(v.states, state)
	}
	return v
}

func percentile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}

func share(n, of int64) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f %%", 100*float64(n)/float64(of))
}

// Line writes what there is to see as one line.
func (b *Board) Line(w io.Writer, now float64) {
	v := b.look(now)
	var classes []string
	for i, c := range v.classes {
		classes = append(classes, b.day.Classes[i].Name+" "+share(c.Served, c.Offered))
	}
	fmt.Fprintf(w, "%4.1f s  %3d/s  %s  refused %d  p50 %.0f ms, p99 %.0f ms  boxes %s\n", v.at, v.all.Offered,
		strings.Join(classes, ", "), v.all.Refused, percentile(v.times, 0.5), percentile(v.times, 0.99), strings.TrimRight(string(v.states), " "))
}

// Screen writes it over the whole terminal.
func (b *Board) Screen(w io.Writer, now float64, notes []string) {
	v := b.look(now)
	var s strings.Builder
	s.WriteString("\x1b[H\x1b[J") // home, and clear
	fmt.Fprintf(&s, "hazelwheel, %.1f of %.0f s: %d requests a second, %d refused, to an answer p50 %.0f ms, p99 %.0f ms\n\n",
		v.at, b.day.LengthSeconds, v.all.Offered, v.all.Refused, percentile(v.times, 0.5), percentile(v.times, 0.99))
	for i, c := range v.classes {
		fmt.Fprintf(&s, "%-16s %4d/s  served %s\n", b.day.Classes[i].Name, c.Offered, share(c.Served, c.Offered))
	}
	s.WriteString("\n")
	words := map[byte]string{answers: "answers", rests: "rests", hangs: "HANGS", down: "DOWN"}
	for i, state := range v.states {
		if state == unborn {
			continue
		}
		fmt.Fprintf(&s, "%s  %s  %-8s %3d/s %s\n", b.day.Servers[i].Name, b.day.Sites[b.day.Servers[i].Site], words[state], v.rates[i],
			strings.Repeat("=", min(v.rates[i], 60)))
	}
	s.WriteString("\n" + strings.Join(notes, "\n") + "\n")
	_, _ = io.WriteString(w, s.String())
}
