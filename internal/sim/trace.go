package sim

import (
	"bytes"
	"fmt"
	"strings"

	"hazelwheel/internal/checker"
	"hazelwheel/internal/netio/virtual"
)

// traceNetwork passes the network's events to the trace, except alarms.
func (d *day) traceNetwork() {
	d.network.Trace = func(e virtual.Event) {
		if e.Kind == virtual.AlarmFired {
			return
		}
		line := e.String()
		if len(e.Data) > 0 {
			line += "  " + summarize(e.Data)
		}
		d.trace(e.At-d.spec.Start, line)
	}
}

// summarize returns the start of written bytes, and the headers of interest, as one line.
func summarize(data []byte) string {
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

// tracingObserver passes events to the checker, and events and new violations to the trace.
type tracingObserver struct{ day *day }

// Observe implements checker.Observer.
func (t *tracingObserver) Observe(e checker.Event) {
	d := t.day
	at := d.network.Now() - d.spec.Start
	d.trace(at, "  judge: "+describe(&e))
	before := len(d.checker.Violations())
	d.checker.Observe(e)
	for _, f := range d.checker.Violations()[before:] {
		d.trace(at, fmt.Sprintf("  BROKEN %s: %s", f.Rule, f.Reason))
	}
}

// describe returns an event as one line of the trace. The form is pinned by stored_form_test.go.
func describe(e *checker.Event) string {
	s := kindNames[e.Kind]
	if e.Sidecar >= 0 {
		s += fmt.Sprintf(" sidecar %d", e.Sidecar)
	}
	if e.Server >= 0 {
		s += fmt.Sprintf(" box %d", e.Server)
	}
	if e.Request != 0 {
		s += fmt.Sprintf(" request %016x", e.Request)
	}
	if e.FirstRequest != 0 && e.FirstRequest != e.Request {
		s += fmt.Sprintf(" first %016x", e.FirstRequest)
	}
	if e.Status != 0 {
		s += fmt.Sprintf(" status %d", e.Status)
	}
	if e.Count != 0 {
		s += fmt.Sprintf(" n %d", e.Count)
	}
	if e.NotStarted {
		s += " not started"
	}
	if e.Malformed {
		s += " spoilt"
	}
	if e.Text != "" {
		s += " " + e.Text
	}
	return s
}

// kindNames are the kinds of events as traces show them.
var kindNames = map[checker.Kind]string{
	checker.RequestStarted: "asked", checker.RequestSent: "taken", checker.ResponseReceived: "answered", checker.ResponseTruncated: "broken", checker.ConnectionDropped: "dropped",
	checker.RequestAbandoned: "left", checker.ConnectFailed: "unreached", checker.UnsolicitedBytes: "stray", checker.HostileConnected: "hostile", checker.RequestHalfClosed: "half closed",
	checker.SidecarSuspended: "stands still", checker.SidecarResumed: "goes on", checker.FleetInvariantBroken: "fleet wrong",
	checker.HostileAnswered: "hostile answered", checker.HostileClosed: "hostile ended",
	checker.ServerStarted: "box started", checker.ServerStopped: "box ended", checker.ServerOverloaded: "box fell", checker.AttemptReceived: "execution",
	checker.ResponseSent: "replied", checker.ConnectionOpened: "link opened", checker.ConnectionClosed: "link closed", checker.HealthCheckReceived: "probed",
	checker.ListChanged: "listed", checker.EntryDelivered: "told", checker.EntryRelayed: "fed", checker.DiscoveryCalled: "called", checker.DiscoveryCallFailed: "call failed", checker.WatchOpened: "watch up",
	checker.WatchClosed: "watch ended", checker.WatchStalled: "watch silent", checker.DiscoveryQueueFormed: "line formed", checker.DiscoveryQueueDrained: "line gone", checker.DiscoveryDown: "discovery down", checker.DiscoveryUp: "discovery up",
	checker.SidecarStarted: "sidecar started", checker.SidecarKilled: "sidecar killed", checker.SidecarTerminating: "sidecar termed",
	checker.SidecarExited: "sidecar ended", checker.SidecarPanicked: "sidecar panicked", checker.SidecarReloaded: "reloaded",
	checker.ServerCordoned: "taken out", checker.ServerUncordoned: "given back",
	checker.DescriptorsCounted: "descriptors", checker.LeftoversCounted: "leftover", checker.PathFaultStarted: "path cut", checker.PathFaultEnded: "path mended",
}
