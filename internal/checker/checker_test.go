package checker

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The classes of the tests.
const (
	safe int32 = iota
	keyed
	unsafe
)

func rules() Rules {
	return Rules{
		Classes: []Class{{Name: "safe", LatencyTargetSeconds: 1, PriorityWeight: 1, LateFraction: 0.2},
			{Name: "keyed", Effect: Keyed, Group: GroupZone, DedupWindowSeconds: 12, LatencyTargetSeconds: 1, PriorityWeight: 10},
			{Name: "unsafe", Effect: Unsafe, LatencyTargetSeconds: 1, PriorityWeight: 5}},
		Sidecars: 2, SidecarZones: []int32{0, 1}, MaxDescriptors: 256, AnswerSlackSeconds: 0.02, SocketSlackSeconds: 0.05, TermGraceSeconds: 0.7, DrainGraceSeconds: 0.75,
		PollTimeoutSeconds: 10, UpdateTimeoutSeconds: 6, FleetCallsSeconds: 2, ReloadGraceSeconds: 4, OverloadWindowSeconds: 1, ColdLoadShare: 2.0 / 3, FailFastSeconds: 0.25, MaxAttempts: 3,
	}
}

// scenario is a sequence of events around one request. Servers 0 and 1 are in zone 0, server 2 is in zone 1;
// sidecar 0 has been notified of them, at 0 s.
type scenario struct{ events []Event }

func newScenario() *scenario {
	s := &scenario{}
	s.add(Event{Kind: SidecarStarted}, Event{Kind: WatchOpened}, Event{Kind: SidecarStarted, Sidecar: 1}, Event{Kind: WatchOpened, Sidecar: 1})
	for box := range int32(3) {
		address := string('a' + box)
		s.add(Event{Kind: ServerStarted, Sidecar: -1, Server: box, Zone: box / 2, Address: address},
			Event{Kind: ListChanged, Sidecar: -1, Server: box, Status: Serving, Address: address},
			Event{Kind: EntryDelivered, Server: box, Status: Serving, Address: address})
	}
	return s
}

func (s *scenario) add(e ...Event) *scenario { s.events = append(s.events, e...); return s }

// request has a client send a request at a time, with a deadline 3 s later.
func (s *scenario) request(at float64, id uint64, class int32) *scenario {
	return s.add(Event{Kind: RequestStarted, At: at, Request: id, FirstRequest: id, Class: class, Deadline: at + 3, Server: -1},
		Event{Kind: RequestSent, At: at, Request: id, Connection: 100 + id, Deadline: at + 3, Server: -1})
}

// attempt has a request arrive at a server at a time, on a connection.
func (s *scenario) attempt(at float64, id uint64, box int32, link uint64) *scenario {
	return s.add(Event{Kind: AttemptReceived, At: at, FirstSent: at, Sent: at, Request: id, Server: box, Connection: link})
}

func (s *scenario) respond(at float64, id uint64, box int32, link uint64, status int32) *scenario {
	return s.add(Event{Kind: ResponseSent, At: at, Request: id, Server: box, Connection: link, Status: status, Digest: id, NotStarted: status == 503})
}

// closeConnection has the sidecar close a connection at a time; the server observes it 1 ms later.
func (s *scenario) closeConnection(at float64, box int32, link uint64) *scenario {
	return s.add(Event{Kind: ConnectionClosed, At: at + 0.001, Sent: at, Server: box, Connection: link})
}

func (s *scenario) answer(at float64, id uint64, status int32) *scenario {
	return s.add(Event{Kind: ResponseReceived, At: at, Request: id, Connection: 100 + id, Status: status, Digest: id, Server: -1})
}

func (s *scenario) notify(at float64, box, status int32) *scenario {
	address := string('a' + box)
	return s.add(Event{Kind: ListChanged, At: at, Sidecar: -1, Server: box, Status: status, Address: address},
		Event{Kind: EntryDelivered, At: at, Server: box, Status: status, Address: address})
}

// relayed is an entry for server 0 that peers relay to sidecar 0.
func relayed(at float64, status int32, index uint64) Event {
	return Event{Kind: EntryRelayed, At: at, Status: status, Address: "a", ListIndex: index}
}

func (s *scenario) dropConnection(at float64, id uint64, reused bool) *scenario {
	return s.add(Event{Kind: ConnectionDropped, At: at, Request: id, Connection: 100 + id, Reused: reused, Server: -1})
}

// startCold has server 3 start cold at 1 s, known to sidecar 0 if notified, and sidecars 0 and 1 bring it work.
func (s *scenario) startCold(notified bool, first, second float64) *scenario {
	s.add(Event{Kind: ServerStarted, At: 1, Sidecar: -1, Server: 3, ServingSince: 1, Address: "d"},
		Event{Kind: ListChanged, At: 1.5, Sidecar: -1, Server: 3, Status: Serving, ServingSince: 1, Address: "d"})
	if notified {
		s.add(Event{Kind: EntryDelivered, At: 1.5, Server: 3, Status: Serving, ServingSince: 1, Address: "d"})
	}
	return s.add(Event{Kind: HealthCheckReceived, At: 2, Server: 3, Work: first}, Event{Kind: HealthCheckReceived, At: 2, Sidecar: 1, Server: 3, Work: second},
		Event{Kind: ServerOverloaded, At: 2, Sidecar: -1, Server: 3})
}

// TestEachRuleIsViolatedAndKept has scenarios that violate a rule, and beside each the nearest one that does not.
func TestEachRuleIsViolatedAndKept(t *testing.T) {
	sidecarEvent := func(kind Kind, at float64, n int32) Event {
		return Event{Kind: kind, At: at, Server: -1, Count: n, Status: n}
	}
	for _, c := range []struct {
		name   string
		rule   Rule
		breaks *scenario
		keeps  *scenario
	}{
		{"answered twice", OneAnswer,
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 200).answer(1.3, 9, 200).answer(1.4, 9, 200),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 200).answer(1.3, 9, 200)},
		{"unsolicited bytes", OneAnswer,
			newScenario().add(sidecarEvent(UnsolicitedBytes, 1, 0)), newScenario()},
		{"closed without an answer after an attempt", OneAnswer,
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).dropConnection(1.2, 9, true),
			newScenario().request(1, 9, safe).dropConnection(1.2, 9, true)},
		{"read, and closed without an answer", OneAnswer,
			newScenario().request(1, 9, safe).add(Event{Kind: ConnectionDropped, At: 1.2, Request: 9, Reused: true, WasRead: true}),
			newScenario().request(1, 9, safe).add(Event{Kind: ConnectionDropped, At: 1.2, Request: 9, Reused: true})},
		{"closed twice", OneAnswer,
			newScenario().request(1, 9, safe).dropConnection(1.2, 9, true).add(Event{Kind: RequestSent, At: 1.3, Request: 9, Deadline: 4}).dropConnection(1.4, 9, false),
			newScenario().request(1, 9, safe).dropConnection(1.2, 9, true).add(Event{Kind: RequestSent, At: 1.3, Request: 9, Deadline: 4}).answer(1.4, 9, 500)},
		{"closed without an answer after an attempt that arrives later", OneAnswer,
			newScenario().request(1, 9, safe).dropConnection(1.2, 9, false).add(Event{Kind: AttemptReceived, At: 1.3, FirstSent: 1.1, Sent: 1.1, Request: 9}),
			newScenario().request(1, 9, safe).dropConnection(1.2, 9, false)},
		{"closed during an attempt; a kill is excused", OneAnswer,
			newScenario().request(1, 9, unsafe).attempt(1.1, 9, 0, 1).dropConnection(1.2, 9, false),
			newScenario().request(1, 9, unsafe).attempt(1.1, 9, 0, 1).add(sidecarEvent(SidecarKilled, 1.15, 0)).dropConnection(1.2, 9, false)},
		{"accepted late during a graceful shutdown", OneAnswer,
			newScenario().add(sidecarEvent(SidecarTerminating, 1, 0)).request(2, 9, safe).add(sidecarEvent(SidecarKilled, 4.8, 0)),
			newScenario().add(sidecarEvent(SidecarTerminating, 1, 0)).request(1.6, 9, safe).add(sidecarEvent(SidecarKilled, 4.5, 0))},
		{"attempt after the answer", OneAnswer,
			newScenario().request(1, 9, safe).answer(1.2, 9, 500).attempt(1.3, 9, 0, 1),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).closeConnection(1.15, 0, 1).answer(1.2, 9, 500)},
		{"attempt after the client has gone", ClientGone,
			newScenario().request(1, 9, safe).add(Event{Kind: RequestAbandoned, At: 1.5, Request: 9}).attempt(1.6, 9, 0, 1),
			newScenario().request(1, 9, safe).add(Event{Kind: RequestAbandoned, At: 1.5, Request: 9}).attempt(1.54, 9, 0, 1)},
		{"attempt after the sidecar closed the connection", OneAnswer,
			newScenario().request(1, 9, safe).dropConnection(1.5, 9, false).attempt(1.6, 9, 0, 1),
			newScenario().request(1, 9, safe).dropConnection(1.5, 9, false).attempt(1.54, 9, 0, 1)},
		{"retry after the client has gone", ClientGone,
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).add(Event{Kind: RequestAbandoned, At: 1.5, Request: 9}).closeConnection(1.55, 0, 1).attempt(1.56, 9, 1, 2),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).add(Event{Kind: RequestAbandoned, At: 1.5, Request: 9}).closeConnection(1.52, 0, 1).attempt(1.53, 9, 1, 2)},
		{"a half-close does not stop attempts; a full close does", ClientGone,
			newScenario().request(1, 9, safe).add(Event{Kind: RequestHalfClosed, At: 1.5, Request: 9}, Event{Kind: RequestAbandoned, At: 2, Request: 9}).attempt(2.2, 9, 0, 1),
			newScenario().request(1, 9, safe).add(Event{Kind: RequestHalfClosed, At: 1.5, Request: 9}).attempt(2.2, 9, 0, 1)},
		{"a half-close requires no answer; two are too many", OneAnswer,
			newScenario().request(1, 9, unsafe).add(Event{Kind: RequestHalfClosed, At: 1.1, Request: 9}).answer(1.2, 9, 500).answer(1.3, 9, 500),
			newScenario().request(1, 9, unsafe).attempt(1.05, 9, 0, 1).add(Event{Kind: RequestHalfClosed, At: 1.1, Request: 9}).closeConnection(1.1, 0, 1).dropConnection(1.2, 9, false)},
		{"truncated answer of a complete response", OneAnswer,
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 200).add(Event{Kind: ResponseTruncated, At: 1.3, Request: 9}),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).add(Event{Kind: ResponseSent, At: 1.2, Request: 9, Connection: 1, Malformed: true}, Event{Kind: ResponseTruncated, At: 1.3, Request: 9})},
		{"hostile client served", OneAnswer,
			newScenario().add(Event{Kind: HostileConnected, At: 1, Connection: 5, Deadline: 4}, Event{Kind: HostileAnswered, At: 1.1, Connection: 5, Status: 200}),
			newScenario().add(Event{Kind: HostileConnected, At: 1, Connection: 5, Deadline: 4}, Event{Kind: HostileAnswered, At: 1.1, Connection: 5, Status: 400})},
		{"answer that no server made", NoInvention,
			newScenario().request(1, 9, safe).answer(1.2, 9, 200),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).respond(1.15, 9, 0, 1, 200).answer(1.2, 9, 200)},
		{"answer of another request", NoInvention,
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).add(Event{Kind: ResponseSent, At: 1.15, Request: 9, Connection: 1, Status: 200, Digest: 8}).answer(1.2, 9, 200),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).respond(1.15, 9, 0, 1, 200).answer(1.2, 9, 200)},
		{"success in place of a server's error", NoInvention,
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).respond(1.15, 9, 0, 1, 500).answer(1.2, 9, 200),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).respond(1.15, 9, 0, 1, 500).answer(1.2, 9, 500)},
		{"attempt without a client's request", NoInvention,
			newScenario().attempt(1.1, 9, 0, 1), newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1)},
		{"unsafe request retried after an error", NoRepeat,
			newScenario().request(1, 9, unsafe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 500).attempt(1.3, 9, 1, 2),
			newScenario().request(1, 9, unsafe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 503).attempt(1.3, 9, 1, 2)},
		{"unsafe request retried after its connection was closed", NoRepeat,
			newScenario().request(1, 9, unsafe).attempt(1.1, 9, 0, 1).closeConnection(1.2, 0, 1).attempt(1.3, 9, 1, 2),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).closeConnection(1.2, 0, 1).attempt(1.3, 9, 1, 2)},
		{"unsafe request rejected after it may have run", NoRepeat,
			newScenario().request(1, 9, unsafe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 500).answer(1.3, 9, 503),
			newScenario().request(1, 9, unsafe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 503).answer(1.3, 9, 503)},
		{"zone-keyed request rejected after it may have run", NoRepeat,
			newScenario().request(1, 9, keyed).attempt(1.1, 9, 0, 1).closeConnection(1.2, 0, 1).answer(1.3, 9, 429),
			newScenario().request(1, 9, keyed).attempt(1.1, 9, 0, 1).closeConnection(1.2, 0, 1).answer(1.3, 9, 500)},
		{"keyed request retried in another zone", NoRepeat,
			newScenario().request(1, 9, keyed).attempt(1.1, 9, 0, 1).closeConnection(1.2, 0, 1).attempt(1.3, 9, 2, 2),
			newScenario().request(1, 9, keyed).attempt(1.1, 9, 0, 1).closeConnection(1.2, 0, 1).attempt(1.3, 9, 1, 2)},
		{"keyed request retried outside its window", NoRepeat,
			newScenario().request(1, 9, keyed).attempt(1.1, 9, 0, 1).closeConnection(1.2, 0, 1).attempt(13.2, 9, 1, 2),
			newScenario().request(1, 9, keyed).attempt(1.1, 9, 0, 1).closeConnection(1.2, 0, 1).attempt(13.1, 9, 1, 2)},
		{"one attempt too many", NoRepeat,
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 503).attempt(1.3, 9, 1, 2).respond(1.4, 9, 1, 2, 503).
				attempt(1.5, 9, 0, 1).respond(1.6, 9, 0, 1, 503).attempt(1.7, 9, 1, 2),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 503).attempt(1.3, 9, 1, 2).respond(1.4, 9, 1, 2, 503).attempt(1.5, 9, 0, 1)},
		{"two attempts in flight", NoConcurrentAttempts,
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).attempt(1.3, 9, 1, 2).closeConnection(1.4, 0, 1),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).attempt(1.3, 9, 1, 2).closeConnection(1.3, 0, 1)},
		{"two attempts without an end; a lost close is excused", NoConcurrentAttempts,
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).attempt(1.3, 9, 1, 2),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).add(Event{Kind: PathFaultStarted, At: 1.2}).attempt(1.3, 9, 1, 2)},
		{"attempt to a draining server", SafeDrain,
			newScenario().notify(1, 0, Draining).request(1.5, 9, safe).attempt(1.82, 9, 0, 1),
			newScenario().notify(1, 0, Draining).request(1.5, 9, safe).attempt(1.79, 9, 0, 1)},
		{"attempt to a server whose removal counts as known", SafeDrain,
			newScenario().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}).request(7.5, 9, safe).attempt(7.82, 9, 0, 1),
			newScenario().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}).request(7.5, 9, safe).attempt(7.78, 9, 0, 1)},
		{"known after a reload; nothing counts as known while discovery is down", SafeDrain,
			newScenario().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, sidecarEvent(SidecarReloaded, 6, 0)).request(10, 9, safe).attempt(10.82, 9, 0, 1),
			newScenario().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, sidecarEvent(DiscoveryDown, 2, 0)).request(10, 9, safe).attempt(10.82, 9, 0, 1)},
		{"a sidecar without watch and poll counts as notified", SafeDrain,
			newScenario().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, sidecarEvent(DiscoveryDown, 2, 0)).
				request(11.5, 9, safe).attempt(11.82, 9, 0, 1),
			newScenario().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: DiscoveryCalled, At: 0.6}, Event{Kind: DiscoveryCallFailed, At: 0.7}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, sidecarEvent(DiscoveryDown, 2, 0)).
				request(11.5, 9, safe).attempt(11.82, 9, 0, 1)},
		{"after a failed poll a sidecar counts as notified once discovery was reachable", SafeDrain,
			newScenario().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: DiscoveryCalled, At: 0.6}, Event{Kind: DiscoveryCallFailed, At: 0.7}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}).
				request(7.5, 9, safe).attempt(7.82, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0)),
			newScenario().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: DiscoveryCalled, At: 0.6}, Event{Kind: DiscoveryCallFailed, At: 0.7}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}).
				request(7.5, 9, safe).attempt(7.78, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0))},
		{"an outage of discovery defers the notification, whatever was polled meanwhile", SafeDrain,
			newScenario().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, sidecarEvent(DiscoveryDown, 1.1, 0), Event{Kind: WatchClosed, At: 1.1},
				Event{Kind: DiscoveryCalled, At: 5}, Event{Kind: DiscoveryCallFailed, At: 5}, sidecarEvent(DiscoveryUp, 9, 0), Event{Kind: DiscoveryCalled, At: 15}).request(15, 9, safe).attempt(15.82, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0)),
			newScenario().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, sidecarEvent(DiscoveryDown, 1.1, 0), Event{Kind: WatchClosed, At: 1.1},
				Event{Kind: DiscoveryCalled, At: 5}, Event{Kind: DiscoveryCallFailed, At: 5}, sidecarEvent(DiscoveryUp, 9, 0), Event{Kind: DiscoveryCalled, At: 15}).request(15, 9, safe).attempt(15.78, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0))},
		{"a queue at discovery excuses for as long as a call of each sidecar takes", SafeDrain,
			newScenario().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: DiscoveryCalled, At: 0.6}, Event{Kind: DiscoveryCallFailed, At: 0.7}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"},
				sidecarEvent(DiscoveryQueueFormed, 2, 0), sidecarEvent(DiscoveryQueueDrained, 5, 0)).request(8.5, 9, safe).attempt(9.82, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0)),
			newScenario().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: DiscoveryCalled, At: 0.6}, Event{Kind: DiscoveryCallFailed, At: 0.7}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"},
				sidecarEvent(DiscoveryQueueFormed, 2, 0), sidecarEvent(DiscoveryQueueDrained, 5, 0)).request(8.5, 9, safe).attempt(9.78, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0))},
		{"what a stalled watch misses counts as known 6 s after the stall", SafeDrain,
			newScenario().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: ListChanged, At: 3, Status: Deleted, Address: "a"}).request(7.5, 9, safe).attempt(7.82, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0)),
			newScenario().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: ListChanged, At: 3, Status: Deleted, Address: "a"}).request(7.5, 9, safe).attempt(7.78, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0))},
		{"later changes count at once, also when the sidecar has closed the stalled watch", SafeDrain,
			newScenario().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: WatchClosed, At: 8}, Event{Kind: ListChanged, At: 9, Status: Deleted, Address: "a"}).request(9, 9, safe).attempt(9.82, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0)),
			newScenario().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: WatchClosed, At: 4}, Event{Kind: WatchOpened, At: 5, Connection: 2}, Event{Kind: ListChanged, At: 9, Status: Deleted, Address: "a"}).
				request(9, 9, safe).attempt(9.82, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0))},
		{"relayed entries replace a stalled watch", SafeDrain,
			newScenario().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: WatchClosed, At: 4}, Event{Kind: ListChanged, At: 9, Status: Deleted, Address: "a"}).
				request(9, 9, safe).attempt(10, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0)),
			newScenario().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: WatchClosed, At: 4}, relayed(5, Serving, 7), Event{Kind: ListChanged, At: 9, Status: Deleted, Address: "a"}).
				request(9, 9, safe).attempt(10, 9, 0, 1).add(sidecarEvent(WatchOpened, 20, 0))},
		{"attempt to the old address of a deleted server; a new server there is known", SafeDrain,
			newScenario().notify(1, 0, Deleted).add(Event{Kind: ServerStarted, At: 2, Sidecar: -1, Server: 5, Address: "a", ServingSince: 2}).request(3, 9, safe).attempt(3.1, 9, 5, 1),
			newScenario().notify(1, 0, Deleted).add(Event{Kind: ServerStarted, At: 2, Sidecar: -1, Server: 5, Address: "a", ServingSince: 2},
				Event{Kind: EntryDelivered, At: 2.5, Server: 5, Status: Serving, Address: "a", ServingSince: 2}).request(3, 9, safe).attempt(3.1, 9, 5, 1)},
		{"a relayed entry notifies", SafeDrain,
			newScenario().add(relayed(1, Draining, 7)).request(1.5, 9, safe).attempt(1.82, 9, 0, 1),
			newScenario().add(relayed(1, Draining, 7)).request(1.5, 9, safe).attempt(1.79, 9, 0, 1)},
		{"a relayed entry of an older list is ignored", SafeDrain,
			newScenario().add(relayed(1, Draining, 7), relayed(1.1, Serving, 6)).request(1.5, 9, safe).attempt(1.82, 9, 0, 1),
			newScenario().add(relayed(1, Draining, 7), relayed(1.1, Serving, 8)).request(1.5, 9, safe).attempt(1.82, 9, 0, 1)},
		{"cold server overloaded by notified sidecars", ColdServer, newScenario().startCold(true, 2, 1), newScenario().startCold(true, 1.9, 1)},
		{"cold server overloaded by sidecars that count as notified", ColdServer,
			newScenario().startCold(false, 3, 0).add(Event{Kind: HealthCheckReceived, At: 7.6, Server: 3, Work: 3}, Event{Kind: ServerOverloaded, At: 7.6, Sidecar: -1, Server: 3}),
			newScenario().startCold(false, 3, 0)},
		{"failure of an unsafe request delayed", FailFast,
			newScenario().request(1, 9, unsafe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 500).answer(1.5, 9, 500),
			newScenario().request(1, 9, unsafe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 500).answer(1.4, 9, 500)},
		{"failure of the last attempt delayed; one with an attempt left may wait", FailFast,
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 503).attempt(1.3, 9, 1, 2).respond(1.4, 9, 1, 2, 503).
				attempt(1.5, 9, 0, 1).respond(1.6, 9, 0, 1, 503).answer(2, 9, 503),
			newScenario().request(1, 9, safe).attempt(1.1, 9, 0, 1).respond(1.2, 9, 0, 1, 503).attempt(1.3, 9, 1, 2).respond(1.4, 9, 1, 2, 503).answer(2, 9, 503)},
		{"descriptors", DescriptorLimit, newScenario().add(sidecarEvent(DescriptorsCounted, 1, 257)), newScenario().add(sidecarEvent(DescriptorsCounted, 1, 256))},
		{"leftovers", NoLeftovers, newScenario().add(Event{Kind: LeftoversCounted, At: 9, Count: 1, Text: "timers"}), newScenario().add(Event{Kind: LeftoversCounted, At: 9, Text: "timers"})},
		{"no poll without a watch", ListPolled,
			newScenario().add(sidecarEvent(WatchClosed, 985, 0)),
			newScenario().add(sidecarEvent(WatchClosed, 985, 0), sidecarEvent(DiscoveryCalled, 992, 0))},
		{"stalled watch kept", ListPolled,
			newScenario().add(Event{Kind: WatchStalled, At: 990}),
			newScenario().add(Event{Kind: WatchStalled, At: 990}, Event{Kind: WatchOpened, At: 995, Connection: 2})},
		{"four times the poll time-out after a failed poll", ListPolled,
			newScenario().add(sidecarEvent(WatchClosed, 900, 0), sidecarEvent(DiscoveryCalled, 920, 0), sidecarEvent(DiscoveryCallFailed, 921, 0)),
			newScenario().add(sidecarEvent(WatchClosed, 900, 0), sidecarEvent(DiscoveryCalled, 965, 0), sidecarEvent(DiscoveryCallFailed, 966, 0))},
		{"unrequested exit", NoCrash, newScenario().add(sidecarEvent(SidecarExited, 2, 0)), newScenario().add(sidecarEvent(SidecarTerminating, 1, 0), sidecarEvent(SidecarExited, 2, 0))},
		{"panic", NoCrash, newScenario().add(Event{Kind: SidecarPanicked, At: 1, Text: "index out of range"}), newScenario()},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, []Rule{c.rule}, violatedRules(c.breaks), "breaks")
			assert.Empty(t, violatedRules(c.keeps), "keeps")
		})
	}
}

// violatedRules returns the rules that a scenario violates, each once.
func violatedRules(s *scenario) []Rule {
	checker := New(rules())
	for _, e := range s.events {
		checker.Observe(e)
	}
	checker.Finish(1000)
	var names []Rule
	seen := map[Rule]bool{}
	for _, f := range checker.Violations() {
		if !seen[f.Rule] {
			names = append(names, f.Rule)
		}
		seen[f.Rule] = true
	}
	return names
}

// The events of a violation are those of its request.
func TestViolationShowsTheEventsOfItsRequest(t *testing.T) {
	j := New(rules())
	for _, e := range newScenario().request(1, 8, safe).request(1, 9, safe).answer(1.2, 9, 200).events {
		j.Observe(e)
	}
	f := j.Violations()[0]
	assert.Equal(t, uint64(9), f.Request)
	assert.Equal(t, 1.2, f.At)
	var kinds []Kind
	for _, e := range f.Events {
		assert.Equal(t, uint64(9), e.Request)
		kinds = append(kinds, e.Kind)
	}
	assert.Equal(t, []Kind{RequestStarted, RequestSent, ResponseReceived}, kinds)
}

// Service is the weight served within the latency target over the weight requested; retries belong to the first request.
func TestServiceCountsOperationsWithinTheLatencyTarget(t *testing.T) {
	j := New(rules())
	s := newScenario()
	s.request(1, 1, safe).attempt(1.1, 1, 0, 1).respond(1.2, 1, 0, 1, 200).answer(1.3, 1, 200) // in time
	s.request(1, 2, unsafe).answer(3.1, 2, 503)                                                // refused late, and no box was given it
	s.request(1, 3, keyed).answer(1.1, 3, 503)                                                 // refused, and served at its next try, late
	s.add(Event{Kind: RequestStarted, At: 2, Request: 4, FirstRequest: 3, Class: keyed, Deadline: 4},
		Event{Kind: RequestSent, At: 2, Request: 4, Connection: 104, Deadline: 4})
	s.attempt(2.1, 4, 2, 2).respond(2.2, 4, 2, 2, 200).answer(2.3, 4, 200)
	for _, e := range s.events {
		j.Observe(e)
	}
	r := j.Report()
	assert.Equal(t, 1.0/16, r.Service)
	assert.Equal(t, []int{1, 0, 0}, []int{r.Classes[safe].InTarget, r.Classes[keyed].InTarget, r.Classes[unsafe].InTarget})
	assert.Equal(t, []int{0, 1, 0}, []int{r.Classes[safe].Late, r.Classes[keyed].Late, r.Classes[unsafe].Late})
	assert.Equal(t, 1, r.Classes[unsafe].Unserved)
	assert.Equal(t, Costs{Attempts: 2, CrossZoneAttempts: 1, SlowRejectionWeight: 0.3 * 5}, r.Costs)
	assert.Empty(t, j.Violations())
}

// On days without faults a request without an answer in time is lost, too, and so is a first request on a closed connection.
func TestFaultFreeDaysRequireEveryAnswer(t *testing.T) {
	out := newScenario().request(1, 9, safe).add(Event{Kind: RequestAbandoned, At: 4, Request: 9})
	late := newScenario().request(1, 9, safe).add(Event{Kind: RequestAbandoned, At: 5.1, Request: 9})
	early := newScenario().request(1, 9, safe).add(Event{Kind: RequestAbandoned, At: 3.9, Request: 9})
	hungUp := newScenario().request(1, 9, safe).dropConnection(1.2, 9, false)
	strict := rules()
	strict.RequiresAnswerInTime, strict.IsFaultFree = true, true
	for _, c := range []struct {
		tale  *scenario
		rules Rules
		want  int
	}{{out, rules(), 0}, {out, strict, 1}, {late, rules(), 1}, {early, strict, 0}, {hungUp, rules(), 0}, {hungUp, strict, 1}} {
		j := New(c.rules)
		for _, e := range c.tale.events {
			j.Observe(e)
		}
		assert.Len(t, j.Violations(), c.want)
		assert.Equal(t, c.want, j.ViolationCount())
	}
}

// Without server events an answer that no server is known to have made is accepted; a second one is not.
func TestUnknownAnswersAreAcceptedWithoutServerEvents(t *testing.T) {
	once := newScenario().request(1, 9, safe).answer(1.1, 9, 200)
	twice := newScenario().request(1, 9, safe).answer(1.1, 9, 200).answer(1.2, 9, 200)
	alone := rules()
	alone.ObservesClientsOnly = true
	for _, c := range []struct {
		tale  *scenario
		rules Rules
		want  []Rule
	}{{once, rules(), []Rule{NoInvention}}, {once, alone, nil}, {twice, alone, []Rule{OneAnswer}}} {
		j := New(c.rules)
		for _, e := range c.tale.events {
			j.Observe(e)
		}
		var found []Rule
		for _, f := range j.Violations() {
			found = append(found, f.Rule)
		}
		assert.Equal(t, c.want, found)
	}
}
