package sim

import (
	"bytes"
	"fmt"
	"strings"

	"hazelwheel/internal/judge"
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
func (t *teller) See(e judge.Event) {
	d := t.d
	at := d.net.Now() - d.spec.Start
	d.trace(at, "  judge: "+describe(&e))
	before := len(d.judge.Findings())
	d.judge.See(e)
	for _, f := range d.judge.Findings()[before:] {
		d.trace(at, fmt.Sprintf("  BROKEN %s: %s", f.Rule, f.Why))
	}
}

// describe returns an event as one line.
func describe(e *judge.Event) string {
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

var kindNames = map[judge.Kind]string{
	judge.Asked: "asked", judge.Taken: "taken", judge.Answered: "answered", judge.Broken: "broken", judge.Dropped: "dropped",
	judge.Left: "left", judge.Unreached: "unreached", judge.Stray: "stray", judge.Hostile: "hostile", judge.HalfClosed: "half closed",
	judge.SidecarFrozen: "stands still", judge.SidecarThawed: "goes on", judge.FleetWrong: "fleet wrong",
	judge.HostileAnswered: "hostile answered", judge.HostileEnded: "hostile ended",
	judge.BoxStarted: "box started", judge.BoxEnded: "box ended", judge.BoxFell: "box fell", judge.Execution: "execution",
	judge.Replied: "replied", judge.LinkOpened: "link opened", judge.LinkClosed: "link closed", judge.Probed: "probed",
	judge.Listed: "listed", judge.Told: "told", judge.Fed: "fed", judge.Called: "called", judge.CallFailed: "call failed", judge.WatchUp: "watch up",
	judge.WatchEnded: "watch ended", judge.WatchSilent: "watch silent", judge.LineFormed: "line formed", judge.LineGone: "line gone", judge.DiscoveryDown: "discovery down", judge.DiscoveryUp: "discovery up",
	judge.SidecarStarted: "sidecar started", judge.SidecarKilled: "sidecar killed", judge.SidecarTermed: "sidecar termed",
	judge.SidecarEnded: "sidecar ended", judge.SidecarPanicked: "sidecar panicked", judge.Reloaded: "reloaded",
	judge.TakenOut: "taken out", judge.GivenBack: "given back",
	judge.Descriptors: "descriptors", judge.Leftover: "leftover", judge.PathCut: "path cut", judge.PathMended: "path mended",
}
