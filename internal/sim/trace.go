package sim

import (
	"bytes"
	"fmt"
	"strings"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/netio/virtual"
)

// traceNetwork has what happens in the network told, one line a step.
func (d *day) traceNetwork() {
	d.net.Trace = func(e virtual.Event) {
		if e.Kind == virtual.Alarmed {
			return
		}
		line := e.String()
		if len(e.Data) > 0 {
			line += "  " + glance(e.Data)
		}
		d.trace(e.At-d.spec.Start, line)
	}
}

// glance returns the beginning of what was written, as one line.
func glance(data []byte) string {
	first, _, _ := bytes.Cut(data, []byte("\r\n"))
	if len(first) > 60 {
		first = first[:60]
	}
	text := fmt.Sprintf("%q", first)
	for _, field := range []string{"Request-Id: ", "Not-Started: ", "Connection: ", "Retry-After: "} {
		if _, rest, ok := bytes.Cut(data, []byte(field)); ok {
			value, _, _ := bytes.Cut(rest, []byte("\r\n"))
			text += " " + strings.TrimSuffix(field, ": ") + "=" + string(value)
		}
	}
	return text
}

// teller shows the trace what the judge is told, and what the judge makes of it.
type teller struct{ d *day }

// See passes an event on.
func (t *teller) Observe(e checker.Event) {
	d := t.d
	at := d.net.Now() - d.spec.Start
	d.trace(at, "  judge: "+describe(&e))
	before := len(d.judge.Violations())
	d.judge.Observe(e)
	for _, f := range d.judge.Violations()[before:] {
		d.trace(at, fmt.Sprintf("  BROKEN %s: %s", f.Rule, f.Reason))
	}
}

// describe returns an event as one line.
func describe(e *checker.Event) string {
	s := kindNames[e.Kind]
	if e.Sidecar >= 0 {
		s += fmt.Sprintf(" sidecar %d", e.Sidecar)
	}
	if e.Box >= 0 {
		s += fmt.Sprintf(" box %d", e.Box)
	}
	if e.Request != 0 {
		s += fmt.Sprintf(" request %016x", e.Request)
	}
	if e.First != 0 && e.First != e.Request {
		s += fmt.Sprintf(" first %016x", e.First)
	}
	if e.Status != 0 {
		s += fmt.Sprintf(" status %d", e.Status)
	}
	if e.N != 0 {
		s += fmt.Sprintf(" n %d", e.N)
	}
	if e.NotStarted {
		s += " not started"
	}
	if e.Spoilt {
		s += " spoilt"
	}
	if e.Text != "" {
		s += " " + e.Text
	}
	return s
}

var kindNames = map[checker.Kind]string{
	checker.Asked: "asked", checker.Taken: "taken", checker.Answered: "answered", checker.Broken: "broken", checker.Dropped: "dropped",
	checker.Left: "left", checker.Unreached: "unreached", checker.Stray: "stray", checker.Hostile: "hostile", checker.HalfClosed: "half closed",
	checker.SidecarFrozen: "stands still", checker.SidecarThawed: "goes on", checker.FleetWrong: "fleet wrong",
	checker.HostileAnswered: "hostile answered", checker.HostileEnded: "hostile ended",
	checker.BoxStarted: "box started", checker.BoxEnded: "box ended", checker.BoxFell: "box fell", checker.Execution: "execution",
	checker.Replied: "replied", checker.LinkOpened: "link opened", checker.LinkClosed: "link closed", checker.Probed: "probed",
	checker.Listed: "listed", checker.Told: "told", checker.Fed: "fed", checker.Called: "called", checker.CallFailed: "call failed", checker.WatchUp: "watch up",
	checker.WatchEnded: "watch ended", checker.WatchSilent: "watch silent", checker.LineFormed: "line formed", checker.LineGone: "line gone", checker.DiscoveryDown: "discovery down", checker.DiscoveryUp: "discovery up",
	checker.SidecarStarted: "sidecar started", checker.SidecarKilled: "sidecar killed", checker.SidecarTermed: "sidecar termed",
	checker.SidecarEnded: "sidecar ended", checker.SidecarPanicked: "sidecar panicked", checker.Reloaded: "reloaded",
	checker.TakenOut: "taken out", checker.GivenBack: "given back",
	checker.Descriptors: "descriptors", checker.Leftover: "leftover", checker.PathCut: "path cut", checker.PathMended: "path mended",
}
