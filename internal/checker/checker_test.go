package checker

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The classes, sidecars and boxes of the tests.
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

// tale is a day told event by event, from one request's point of view. Boxes 0 and 1 are in zone 0, box 2 is in zone 1;
// sidecar 0 has been told of them, at 0 s.
type tale struct{ events []Event }

func newTale() *tale {
	s := &tale{}
	s.add(Event{Kind: SidecarStarted}, Event{Kind: WatchOpened}, Event{Kind: SidecarStarted, Sidecar: 1}, Event{Kind: WatchOpened, Sidecar: 1})
	for box := range int32(3) {
		address := string('a' + box)
		s.add(Event{Kind: ServerStarted, Sidecar: -1, Server: box, Zone: box / 2, Address: address},
			Event{Kind: ListChanged, Sidecar: -1, Server: box, Status: Serving, Address: address},
			Event{Kind: EntryDelivered, Server: box, Status: Serving, Address: address})
	}
	return s
}

func (s *tale) add(e ...Event) *tale { s.events = append(s.events, e...); return s }

// ask has a client ask at a time, with 3 s of patience.
func (s *tale) ask(at float64, id uint64, class int32) *tale {
	return s.add(Event{Kind: RequestStarted, At: at, Request: id, FirstRequest: id, Class: class, Deadline: at + 3, Server: -1},
		Event{Kind: RequestSent, At: at, Request: id, Connection: 100 + id, Deadline: at + 3, Server: -1})
}

// run has a request come to a box at a time, over a link.
func (s *tale) run(at float64, id uint64, box int32, link uint64) *tale {
	return s.add(Event{Kind: AttemptReceived, At: at, FirstSent: at, Sent: at, Request: id, Server: box, Connection: link})
}

func (s *tale) reply(at float64, id uint64, box int32, link uint64, status int32) *tale {
	return s.add(Event{Kind: ResponseSent, At: at, Request: id, Server: box, Connection: link, Status: status, Digest: id, NotStarted: status == 503})
}

// hangUp has a link closed by the sidecar at a time; the box sees it 1 ms later.
func (s *tale) hangUp(at float64, box int32, link uint64) *tale {
	return s.add(Event{Kind: ConnectionClosed, At: at + 0.001, Sent: at, Server: box, Connection: link})
}

func (s *tale) answer(at float64, id uint64, status int32) *tale {
	return s.add(Event{Kind: ResponseReceived, At: at, Request: id, Connection: 100 + id, Status: status, Digest: id, Server: -1})
}

func (s *tale) tell(at float64, box, status int32) *tale {
	address := string('a' + box)
	return s.add(Event{Kind: ListChanged, At: at, Sidecar: -1, Server: box, Status: status, Address: address},
		Event{Kind: EntryDelivered, At: at, Server: box, Status: status, Address: address})
}

// passed is what others pass on to sidecar 0 of box 0.
func passed(at float64, status int32, index uint64) Event {
	return Event{Kind: EntryRelayed, At: at, Status: status, Address: "a", ListIndex: index}
}

func (s *tale) drop(at float64, id uint64, reused bool) *tale {
	return s.add(Event{Kind: ConnectionDropped, At: at, Request: id, Connection: 100 + id, Reused: reused, Server: -1})
}

// cold has box 3 start cold at 1 s, known to both sidecars where told says so, and sidecar 0 and 1 bring it work.
func (s *tale) cold(told bool, first, second float64) *tale {
	s.add(Event{Kind: ServerStarted, At: 1, Sidecar: -1, Server: 3, ServingSince: 1, Address: "d"},
		Event{Kind: ListChanged, At: 1.5, Sidecar: -1, Server: 3, Status: Serving, ServingSince: 1, Address: "d"})
	if told {
		s.add(Event{Kind: EntryDelivered, At: 1.5, Server: 3, Status: Serving, ServingSince: 1, Address: "d"})
	}
	return s.add(Event{Kind: HealthCheckReceived, At: 2, Server: 3, Work: first}, Event{Kind: HealthCheckReceived, At: 2, Sidecar: 1, Server: 3, Work: second},
		Event{Kind: ServerOverloaded, At: 2, Sidecar: -1, Server: 3})
}

// Each rule has tales that break it, and beside each the nearest one that does not.
func TestRules(t *testing.T) {
	alive := func(kind Kind, at float64, n int32) Event {
		return Event{Kind: kind, At: at, Server: -1, Count: n, Status: n}
	}
	for _, c := range []struct {
		name   string
		rule   Rule
		breaks *tale
		keeps  *tale
	}{
		{"answered twice", OneAnswer,
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 200).answer(1.3, 9, 200).answer(1.4, 9, 200),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 200).answer(1.3, 9, 200)},
		{"bytes that nobody asked for", OneAnswer,
			newTale().add(alive(UnsolicitedBytes, 1, 0)), newTale()},
		{"closed without an answer, though sent on", OneAnswer,
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).drop(1.2, 9, true),
			newTale().ask(1, 9, safe).drop(1.2, 9, true)},
		{"read, and closed without an answer", OneAnswer,
			newTale().ask(1, 9, safe).add(Event{Kind: ConnectionDropped, At: 1.2, Request: 9, Reused: true, WasRead: true}),
			newTale().ask(1, 9, safe).add(Event{Kind: ConnectionDropped, At: 1.2, Request: 9, Reused: true})},
		{"closed twice", OneAnswer,
			newTale().ask(1, 9, safe).drop(1.2, 9, true).add(Event{Kind: RequestSent, At: 1.3, Request: 9, Deadline: 4}).drop(1.4, 9, false),
			newTale().ask(1, 9, safe).drop(1.2, 9, true).add(Event{Kind: RequestSent, At: 1.3, Request: 9, Deadline: 4}).answer(1.4, 9, 500)},
		{"closed, and sent on before", OneAnswer,
			newTale().ask(1, 9, safe).drop(1.2, 9, false).add(Event{Kind: AttemptReceived, At: 1.3, FirstSent: 1.1, Sent: 1.1, Request: 9}),
			newTale().ask(1, 9, safe).drop(1.2, 9, false)},
		{"closed while it runs; a kill is excused", OneAnswer,
			newTale().ask(1, 9, unsafe).run(1.1, 9, 0, 1).drop(1.2, 9, false),
			newTale().ask(1, 9, unsafe).run(1.1, 9, 0, 1).add(alive(SidecarKilled, 1.15, 0)).drop(1.2, 9, false)},
		{"taken late after an order to end", OneAnswer,
			newTale().add(alive(SidecarTerminating, 1, 0)).ask(2, 9, safe).add(alive(SidecarKilled, 4.8, 0)),
			newTale().add(alive(SidecarTerminating, 1, 0)).ask(1.6, 9, safe).add(alive(SidecarKilled, 4.5, 0))},
		{"sent on after its answer", OneAnswer,
			newTale().ask(1, 9, safe).answer(1.2, 9, 500).run(1.3, 9, 0, 1),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).hangUp(1.15, 0, 1).answer(1.2, 9, 500)},
		{"sent on after its client went", ClientGone,
			newTale().ask(1, 9, safe).add(Event{Kind: RequestAbandoned, At: 1.5, Request: 9}).run(1.6, 9, 0, 1),
			newTale().ask(1, 9, safe).add(Event{Kind: RequestAbandoned, At: 1.5, Request: 9}).run(1.54, 9, 0, 1)},
		{"sent on after its connection was closed", OneAnswer,
			newTale().ask(1, 9, safe).drop(1.5, 9, false).run(1.6, 9, 0, 1),
			newTale().ask(1, 9, safe).drop(1.5, 9, false).run(1.54, 9, 0, 1)},
		{"sent on again for a client that has gone", ClientGone,
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).add(Event{Kind: RequestAbandoned, At: 1.5, Request: 9}).hangUp(1.55, 0, 1).run(1.56, 9, 1, 2),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).add(Event{Kind: RequestAbandoned, At: 1.5, Request: 9}).hangUp(1.52, 0, 1).run(1.53, 9, 1, 2)},
		{"half a close is none; the whole one counts", ClientGone,
			newTale().ask(1, 9, safe).add(Event{Kind: RequestHalfClosed, At: 1.5, Request: 9}, Event{Kind: RequestAbandoned, At: 2, Request: 9}).run(2.2, 9, 0, 1),
			newTale().ask(1, 9, safe).add(Event{Kind: RequestHalfClosed, At: 1.5, Request: 9}).run(2.2, 9, 0, 1)},
		{"half a close owes no answer; two are too many", OneAnswer,
			newTale().ask(1, 9, unsafe).add(Event{Kind: RequestHalfClosed, At: 1.1, Request: 9}).answer(1.2, 9, 500).answer(1.3, 9, 500),
			newTale().ask(1, 9, unsafe).run(1.05, 9, 0, 1).add(Event{Kind: RequestHalfClosed, At: 1.1, Request: 9}).hangUp(1.1, 0, 1).drop(1.2, 9, false)},
		{"part of an answer that was whole", OneAnswer,
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 200).add(Event{Kind: ResponseTruncated, At: 1.3, Request: 9}),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).add(Event{Kind: ResponseSent, At: 1.2, Request: 9, Connection: 1, Malformed: true}, Event{Kind: ResponseTruncated, At: 1.3, Request: 9})},
		{"a hostile client served", OneAnswer,
			newTale().add(Event{Kind: HostileConnected, At: 1, Connection: 5, Deadline: 4}, Event{Kind: HostileAnswered, At: 1.1, Connection: 5, Status: 200}),
			newTale().add(Event{Kind: HostileConnected, At: 1, Connection: 5, Deadline: 4}, Event{Kind: HostileAnswered, At: 1.1, Connection: 5, Status: 400})},
		{"an answer that no box made", NoInvention,
			newTale().ask(1, 9, safe).answer(1.2, 9, 200),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).reply(1.15, 9, 0, 1, 200).answer(1.2, 9, 200)},
		{"the answer of another request", NoInvention,
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).add(Event{Kind: ResponseSent, At: 1.15, Request: 9, Connection: 1, Status: 200, Digest: 8}).answer(1.2, 9, 200),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).reply(1.15, 9, 0, 1, 200).answer(1.2, 9, 200)},
		{"an answer that was an error", NoInvention,
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).reply(1.15, 9, 0, 1, 500).answer(1.2, 9, 200),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).reply(1.15, 9, 0, 1, 500).answer(1.2, 9, 500)},
		{"a request that no client sent", NoInvention,
			newTale().run(1.1, 9, 0, 1), newTale().ask(1, 9, safe).run(1.1, 9, 0, 1)},
		{"unsafe again after an error", NoRepeat,
			newTale().ask(1, 9, unsafe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 500).run(1.3, 9, 1, 2),
			newTale().ask(1, 9, unsafe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 503).run(1.3, 9, 1, 2)},
		{"unsafe again after its link was closed", NoRepeat,
			newTale().ask(1, 9, unsafe).run(1.1, 9, 0, 1).hangUp(1.2, 0, 1).run(1.3, 9, 1, 2),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).hangUp(1.2, 0, 1).run(1.3, 9, 1, 2)},
		{"unsafe refused after it may have run", NoRepeat,
			newTale().ask(1, 9, unsafe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 500).answer(1.3, 9, 503),
			newTale().ask(1, 9, unsafe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 503).answer(1.3, 9, 503)},
		{"keyed of a zone refused after it may have run", NoRepeat,
			newTale().ask(1, 9, keyed).run(1.1, 9, 0, 1).hangUp(1.2, 0, 1).answer(1.3, 9, 429),
			newTale().ask(1, 9, keyed).run(1.1, 9, 0, 1).hangUp(1.2, 0, 1).answer(1.3, 9, 500)},
		{"keyed again in another zone", NoRepeat,
			newTale().ask(1, 9, keyed).run(1.1, 9, 0, 1).hangUp(1.2, 0, 1).run(1.3, 9, 2, 2),
			newTale().ask(1, 9, keyed).run(1.1, 9, 0, 1).hangUp(1.2, 0, 1).run(1.3, 9, 1, 2)},
		{"keyed again outside its window", NoRepeat,
			newTale().ask(1, 9, keyed).run(1.1, 9, 0, 1).hangUp(1.2, 0, 1).run(13.2, 9, 1, 2),
			newTale().ask(1, 9, keyed).run(1.1, 9, 0, 1).hangUp(1.2, 0, 1).run(13.1, 9, 1, 2)},
		{"one execution too many", NoRepeat,
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 503).run(1.3, 9, 1, 2).reply(1.4, 9, 1, 2, 503).
				run(1.5, 9, 0, 1).reply(1.6, 9, 0, 1, 503).run(1.7, 9, 1, 2),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 503).run(1.3, 9, 1, 2).reply(1.4, 9, 1, 2, 503).run(1.5, 9, 0, 1)},
		{"two copies", NoConcurrentAttempts,
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).run(1.3, 9, 1, 2).hangUp(1.4, 0, 1),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).run(1.3, 9, 1, 2).hangUp(1.3, 0, 1)},
		{"two copies for ever; a lost end is excused", NoConcurrentAttempts,
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).run(1.3, 9, 1, 2),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).add(Event{Kind: PathFaultStarted, At: 1.2}).run(1.3, 9, 1, 2)},
		{"sent to a box that drains", SafeDrain,
			newTale().tell(1, 0, Draining).ask(1.5, 9, safe).run(1.82, 9, 0, 1),
			newTale().tell(1, 0, Draining).ask(1.5, 9, safe).run(1.79, 9, 0, 1)},
		{"sent to a box whose end counts as told", SafeDrain,
			newTale().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}).ask(7.5, 9, safe).run(7.82, 9, 0, 1),
			newTale().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}).ask(7.5, 9, safe).run(7.78, 9, 0, 1)},
		{"told after a reload; while discovery is down nothing counts", SafeDrain,
			newTale().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, alive(SidecarReloaded, 6, 0)).ask(10, 9, safe).run(10.82, 9, 0, 1),
			newTale().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, alive(DiscoveryDown, 2, 0)).ask(10, 9, safe).run(10.82, 9, 0, 1)},
		{"who neither watches nor asks counts as told", SafeDrain,
			newTale().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, alive(DiscoveryDown, 2, 0)).
				ask(11.5, 9, safe).run(11.82, 9, 0, 1),
			newTale().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: DiscoveryCalled, At: 0.6}, Event{Kind: DiscoveryCallFailed, At: 0.7}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, alive(DiscoveryDown, 2, 0)).
				ask(11.5, 9, safe).run(11.82, 9, 0, 1)},
		{"who has called in vain counts as told once discovery could be reached", SafeDrain,
			newTale().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: DiscoveryCalled, At: 0.6}, Event{Kind: DiscoveryCallFailed, At: 0.7}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}).
				ask(7.5, 9, safe).run(7.82, 9, 0, 1).add(alive(WatchOpened, 20, 0)),
			newTale().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: DiscoveryCalled, At: 0.6}, Event{Kind: DiscoveryCallFailed, At: 0.7}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}).
				ask(7.5, 9, safe).run(7.78, 9, 0, 1).add(alive(WatchOpened, 20, 0))},
		{"not before discovery is back, whatever was asked meanwhile", SafeDrain,
			newTale().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, alive(DiscoveryDown, 1.1, 0), Event{Kind: WatchClosed, At: 1.1},
				Event{Kind: DiscoveryCalled, At: 5}, Event{Kind: DiscoveryCallFailed, At: 5}, alive(DiscoveryUp, 9, 0), Event{Kind: DiscoveryCalled, At: 15}).ask(15, 9, safe).run(15.82, 9, 0, 1).add(alive(WatchOpened, 20, 0)),
			newTale().add(Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"}, alive(DiscoveryDown, 1.1, 0), Event{Kind: WatchClosed, At: 1.1},
				Event{Kind: DiscoveryCalled, At: 5}, Event{Kind: DiscoveryCallFailed, At: 5}, alive(DiscoveryUp, 9, 0), Event{Kind: DiscoveryCalled, At: 15}).ask(15, 9, safe).run(15.78, 9, 0, 1).add(alive(WatchOpened, 20, 0))},
		{"a line at discovery excuses as long as a call of each sidecar takes", SafeDrain,
			newTale().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: DiscoveryCalled, At: 0.6}, Event{Kind: DiscoveryCallFailed, At: 0.7}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"},
				alive(DiscoveryQueueFormed, 2, 0), alive(DiscoveryQueueDrained, 5, 0)).ask(8.5, 9, safe).run(9.82, 9, 0, 1).add(alive(WatchOpened, 20, 0)),
			newTale().add(Event{Kind: WatchClosed, At: 0.5}, Event{Kind: DiscoveryCalled, At: 0.6}, Event{Kind: DiscoveryCallFailed, At: 0.7}, Event{Kind: ListChanged, At: 1, Status: Deleted, Address: "a"},
				alive(DiscoveryQueueFormed, 2, 0), alive(DiscoveryQueueDrained, 5, 0)).ask(8.5, 9, safe).run(9.78, 9, 0, 1).add(alive(WatchOpened, 20, 0))},
		{"what a silent watch misses counts as told 6 s after it fell silent", SafeDrain,
			newTale().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: ListChanged, At: 3, Status: Deleted, Address: "a"}).ask(7.5, 9, safe).run(7.82, 9, 0, 1).add(alive(WatchOpened, 20, 0)),
			newTale().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: ListChanged, At: 3, Status: Deleted, Address: "a"}).ask(7.5, 9, safe).run(7.78, 9, 0, 1).add(alive(WatchOpened, 20, 0))},
		{"and at once what is made later than that, also when its sidecar has ended it", SafeDrain,
			newTale().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: WatchClosed, At: 8}, Event{Kind: ListChanged, At: 9, Status: Deleted, Address: "a"}).ask(9, 9, safe).run(9.82, 9, 0, 1).add(alive(WatchOpened, 20, 0)),
			newTale().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: WatchClosed, At: 4}, Event{Kind: WatchOpened, At: 5, Connection: 2}, Event{Kind: ListChanged, At: 9, Status: Deleted, Address: "a"}).
				ask(9, 9, safe).run(9.82, 9, 0, 1).add(alive(WatchOpened, 20, 0))},
		{"what others pass on takes the place of a silent watch", SafeDrain,
			newTale().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: WatchClosed, At: 4}, Event{Kind: ListChanged, At: 9, Status: Deleted, Address: "a"}).
				ask(9, 9, safe).run(10, 9, 0, 1).add(alive(WatchOpened, 20, 0)),
			newTale().add(Event{Kind: WatchStalled, At: 1}, Event{Kind: WatchClosed, At: 4}, passed(5, Serving, 7), Event{Kind: ListChanged, At: 9, Status: Deleted, Address: "a"}).
				ask(9, 9, safe).run(10, 9, 0, 1).add(alive(WatchOpened, 20, 0))},
		{"the old address of a box that is gone; a new box there is told", SafeDrain,
			newTale().tell(1, 0, Deleted).add(Event{Kind: ServerStarted, At: 2, Sidecar: -1, Server: 5, Address: "a", ServingSince: 2}).ask(3, 9, safe).run(3.1, 9, 5, 1),
			newTale().tell(1, 0, Deleted).add(Event{Kind: ServerStarted, At: 2, Sidecar: -1, Server: 5, Address: "a", ServingSince: 2},
				Event{Kind: EntryDelivered, At: 2.5, Server: 5, Status: Serving, Address: "a", ServingSince: 2}).ask(3, 9, safe).run(3.1, 9, 5, 1)},
		{"what others pass on tells", SafeDrain,
			newTale().add(passed(1, Draining, 7)).ask(1.5, 9, safe).run(1.82, 9, 0, 1),
			newTale().add(passed(1, Draining, 7)).ask(1.5, 9, safe).run(1.79, 9, 0, 1)},
		{"an old list that is passed on excuses nobody", SafeDrain,
			newTale().add(passed(1, Draining, 7), passed(1.1, Serving, 6)).ask(1.5, 9, safe).run(1.82, 9, 0, 1),
			newTale().add(passed(1, Draining, 7), passed(1.1, Serving, 8)).ask(1.5, 9, safe).run(1.82, 9, 0, 1)},
		{"a cold box pushed over by who knew", ColdServer, newTale().cold(true, 2, 1), newTale().cold(true, 1.9, 1)},
		{"a cold box pushed over by who counts as told", ColdServer,
			newTale().cold(false, 3, 0).add(Event{Kind: HealthCheckReceived, At: 7.6, Server: 3, Work: 3}, Event{Kind: ServerOverloaded, At: 7.6, Sidecar: -1, Server: 3}),
			newTale().cold(false, 3, 0)},
		{"an unsafe failure held back", FailFast,
			newTale().ask(1, 9, unsafe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 500).answer(1.5, 9, 500),
			newTale().ask(1, 9, unsafe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 500).answer(1.4, 9, 500)},
		{"a last try held back; one with a try left may wait", FailFast,
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 503).run(1.3, 9, 1, 2).reply(1.4, 9, 1, 2, 503).
				run(1.5, 9, 0, 1).reply(1.6, 9, 0, 1, 503).answer(2, 9, 503),
			newTale().ask(1, 9, safe).run(1.1, 9, 0, 1).reply(1.2, 9, 0, 1, 503).run(1.3, 9, 1, 2).reply(1.4, 9, 1, 2, 503).answer(2, 9, 503)},
		{"descriptors", DescriptorLimit, newTale().add(alive(DescriptorsCounted, 1, 257)), newTale().add(alive(DescriptorsCounted, 1, 256))},
		{"left over", NoLeftovers, newTale().add(Event{Kind: LeftoversCounted, At: 9, Count: 1, Text: "timers"}), newTale().add(Event{Kind: LeftoversCounted, At: 9, Text: "timers"})},
		{"a list that is asked for no more", ListPolled,
			newTale().add(alive(WatchClosed, 985, 0)),
			newTale().add(alive(WatchClosed, 985, 0), alive(DiscoveryCalled, 992, 0))},
		{"a silent watch that is kept", ListPolled,
			newTale().add(Event{Kind: WatchStalled, At: 990}),
			newTale().add(Event{Kind: WatchStalled, At: 990}, Event{Kind: WatchOpened, At: 995, Connection: 2})},
		{"after a call that failed there is four times as long", ListPolled,
			newTale().add(alive(WatchClosed, 900, 0), alive(DiscoveryCalled, 920, 0), alive(DiscoveryCallFailed, 921, 0)),
			newTale().add(alive(WatchClosed, 900, 0), alive(DiscoveryCalled, 965, 0), alive(DiscoveryCallFailed, 966, 0))},
		{"an exit unasked", NoCrash, newTale().add(alive(SidecarExited, 2, 0)), newTale().add(alive(SidecarTerminating, 1, 0), alive(SidecarExited, 2, 0))},
		{"a panic", NoCrash, newTale().add(Event{Kind: SidecarPanicked, At: 1, Text: "index out of range"}), newTale()},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, []Rule{c.rule}, broken(c.breaks), "breaks")
			assert.Empty(t, broken(c.keeps), "keeps")
		})
	}
}

// broken returns the rules that a tale breaks, each once.
func broken(s *tale) []Rule {
	j := New(rules())
	for _, e := range s.events {
		j.Observe(e)
	}
	j.Finish(1000)
	var names []Rule
	seen := map[Rule]bool{}
	for _, f := range j.Violations() {
		if !seen[f.Rule] {
			names = append(names, f.Rule)
		}
		seen[f.Rule] = true
	}
	return names
}

// What a finding shows names the request's own events.
func TestFindingShowsItsEvents(t *testing.T) {
	j := New(rules())
	for _, e := range newTale().ask(1, 8, safe).ask(1, 9, safe).answer(1.2, 9, 200).events {
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

// Service is worth answered within the aim over worth asked; a client's later tries belong to its first.
func TestService(t *testing.T) {
	j := New(rules())
	s := newTale()
	s.ask(1, 1, safe).run(1.1, 1, 0, 1).reply(1.2, 1, 0, 1, 200).answer(1.3, 1, 200) // in time
	s.ask(1, 2, unsafe).answer(3.1, 2, 503)                                          // refused late, and no box was given it
	s.ask(1, 3, keyed).answer(1.1, 3, 503)                                           // refused, and served at its next try, late
	s.add(Event{Kind: RequestStarted, At: 2, Request: 4, FirstRequest: 3, Class: keyed, Deadline: 4},
		Event{Kind: RequestSent, At: 2, Request: 4, Connection: 104, Deadline: 4})
	s.run(2.1, 4, 2, 2).reply(2.2, 4, 2, 2, 200).answer(2.3, 4, 200)
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

// On days that are held to be calm what runs out of time is lost, too, and so is a first request that is hung up on.
func TestCalmDays(t *testing.T) {
	out := newTale().ask(1, 9, safe).add(Event{Kind: RequestAbandoned, At: 4, Request: 9})
	late := newTale().ask(1, 9, safe).add(Event{Kind: RequestAbandoned, At: 5.1, Request: 9})
	early := newTale().ask(1, 9, safe).add(Event{Kind: RequestAbandoned, At: 3.9, Request: 9})
	hungUp := newTale().ask(1, 9, safe).drop(1.2, 9, false)
	strict := rules()
	strict.RequiresAnswerInTime, strict.IsFaultFree = true, true
	for _, c := range []struct {
		tale  *tale
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

// Where clients alone tell, an answer that no box is known to have made stands; a second one doesn't.
func TestClientsAlone(t *testing.T) {
	once := newTale().ask(1, 9, safe).answer(1.1, 9, 200)
	twice := newTale().ask(1, 9, safe).answer(1.1, 9, 200).answer(1.2, 9, 200)
	alone := rules()
	alone.ObservesClientsOnly = true
	for _, c := range []struct {
		tale  *tale
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
