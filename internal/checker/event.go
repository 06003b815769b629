// Package checker checks the standing rules of the deployment from what crossed the wire, and never from what a sidecar
// says of itself. The actors of a world (clients, boxes, discovery, the network) tell it events in the order of their
// time; it keeps findings, the service that the clients had, and its price. It is pure: no clock, no I/O, no goroutine,
// and the same events give the same findings.
package checker

// Kind says what an Event tells, and which of its fields count; At counts in all.
type Kind uint8

// What clients tell. All name Sidecar, the one beside them.
const (
	// Asked: a client begins a try. Request; First, the id of the first try of the same request (its own for a first
	// one); Class; Until, when this try's wait is over.
	RequestStarted Kind = iota + 1
	// Taken: the try's last byte is written to a connection that the sidecar's machine has accepted. Request; Link;
	// Until; Reused, where the connection has carried a request before.
	RequestSent
	// Answered: the last byte of an answer has come. Request, Link, Status; Digest, that of its body.
	ResponseReceived
	// Broken: part of an answer has come and no more will, or it can't be read; the client can tell. Request, Link.
	ResponseTruncated
	// Dropped: the sidecar's side ended the connection of a taken request with nothing of an answer on it. Request,
	// Link, Reused; Read, where its process is known to have read the request before that.
	ConnectionDropped
	// Left: the client's wait is over, or it has gone away; no answer is owed any more. Request.
	RequestAbandoned
	// Unreached: no connection to the sidecar came up, so nothing was taken. Request.
	ConnectFailed
	// Stray: bytes have come on a connection on which nothing was asked. Link.
	UnsolicitedBytes
	// Hostile: a client that may not be served has connected. Link; Until, when it is owed an error or an end; Request,
	// if it uses the id of another client's open request.
	HostileConnected
	// HostileAnswered: it has got an answer. Link, Status.
	HostileAnswered
	// HostileEnded: its connection has ended. Link.
	HostileClosed
	// HalfClosed: the client has ended its direction of the connection and still reads. Whether it waits for its answer nobody at the
	// other end can tell, so none is owed and none is forbidden. Request, Link.
	RequestHalfClosed
)

// What boxes tell. All name Box.
const (
	// BoxStarted: a process has begun, cold unless Since is 0. Zone, Cell, Address; Since, as discovery will have it.
	ServerStarted Kind = iota + 32
	// BoxEnded: the process has died, or its machine has gone silent.
	ServerStopped
	// BoxFell: it was cold and has got more work than it bears.
	ServerOverloaded
	// Execution: a request's last byte has come. Sidecar, whose connection it is; Request; Link; Class, -1 where the
	// box knows none such; FirstSent and Sent, when the first and the last byte were sent; Work that counts
	// against a cold box, in seconds of its own time when warm.
	AttemptReceived
	// Replied: the box has written its answer. Request, Link, Status, Digest; NotStarted, where the answer says so;
	// Spoilt, where nobody can take it for a whole answer.
	ResponseSent
	// LinkOpened: a connection has come up. Sidecar, Link; Work that it costs.
	ConnectionOpened
	// LinkClosed: a connection has ended, by the sidecar at Sent or by the box (ByBox). Sidecar, Link.
	ConnectionClosed
	// Probed: a probe has come. Sidecar, Work.
	HealthCheckReceived
)

// What discovery tells.
const (
	// Listed: the list has taken a change. Box, Status (one of the list's), Since, Address.
	ListChanged Kind = iota + 64
	// Told: discovery has written an entry to a sidecar, or the sidecar's configuration held it at its start. Sidecar,
	// Box, Status, Since, Address; Index of the list that it was written from, 0: not known.
	EntryDelivered
	// Called: a sidecar has asked discovery for its list, or for a watch. Sidecar.
	DiscoveryCalled
	// CallFailed: such a call ended without the list. Sidecar.
	DiscoveryCallFailed
	// WatchUp and WatchEnded bound a watch. Sidecar, Link.
	WatchOpened
	WatchClosed
	// WatchSilent: nothing is written to an open watch any more. Sidecar, Link.
	WatchStalled
	// LineFormed and LineGone bound the time in which calls wait behind the one that discovery works on. One that comes then may be
	// turned away for having waited.
	DiscoveryQueueFormed
	DiscoveryQueueDrained
	// DiscoveryDown and DiscoveryUp bound the time in which discovery tells nothing.
	DiscoveryDown
	DiscoveryUp
	// Fed: others have passed an entry on to a sidecar that discovery wrote to one of them. As Told, with the Index always. What
	// is from an older list than it was told of tells it nothing.
	EntryRelayed
)

// What the network and the processes tell. All but PathCut and PathMended name Sidecar.
const (
	// SidecarStarted: a process has begun; what it holds is what its configuration told it.
	SidecarStarted Kind = iota + 96
	// SidecarKilled: it was killed, or its machine has gone silent; what it had is excused.
	SidecarKilled
	// SidecarTermed: it was told to end in its own time.
	SidecarTerminating
	// SidecarEnded: it has ended by itself. Status, its exit code.
	SidecarExited
	// SidecarPanicked: Text.
	SidecarPanicked
	// Reloaded: it was told to read its configuration again.
	SidecarReloaded
	// Descriptors: it holds N descriptors.
	DescriptorsCounted
	// Leftover: at the end of the day it still holds N of what Text names.
	LeftoversCounted
	// PathCut and PathMended bound a trouble on the way between Sidecar and Box; -1 stands for all, ToClients for the
	// clients beside it. What is on such a way may be late or lost, and nobody at its end can tell.
	PathFaultStarted
	PathFaultEnded
	// TakenOut: the sidecar has said yes to its operators, who take Box out of use; GivenBack: they end that.
	ServerCordoned
	ServerUncordoned
	// SidecarFrozen and SidecarThawed bound the time in which a process stands still. It learns of nothing meanwhile.
	SidecarSuspended
	SidecarResumed
	// FleetWrong: a sidecar holds something of its fleet that is not so, for longer than it may. Status, which rule; Text.
	FleetInvariantBroken
)

// What a FleetWrong is about.
const (
	ViewInvariant        int32 = iota + 1 // who lives, when there has been time to know
	DeathInvariant                        // one that lives and can be reached by most is called dead
	RankInvariant                         // two have one rank, or a rank is beyond the count
	IncarnationInvariant                  // one that was held for gone lives again by the same incarnation
	QueueInvariant                        // more waits for a peer than may
	TokenInvariant                        // an old owner's effect was taken
	OccupiedInvariant                     // a box is worked on that has something out, or has got something just before
	BudgetInvariant                       // more boxes are out than a plan allows
	RepeatInvariant                       // a box is worked on twice for a plan, or under a token that has not grown
	RecordInvariant                       // what was done to a box is not what is agreed of it
)

// What stands in Box for who is no box.
const (
	PathToDiscovery = -2
	PathToClients   = -3
)

// The statuses of a Listed or Told entry.
const (
	Serving int32 = iota + 1
	Draining
	Deleted
)

// Event is one thing that crossed the wire. Times are in seconds of one clock that all share.
type Event struct {
	Kind    Kind  `json:"Kind"`
	Sidecar int32 `json:"Sidecar"`
	Server  int32 `json:"Box"`
	Class   int32 `json:"Class"`
	Status  int32 `json:"Status"`
	Zone    int32 `json:"Zone"`
	Cell    int32 `json:"Cell"`
	Count   int32 `json:"N"`

	Reused     bool `json:"Reused"`
	WasRead    bool `json:"Read"`
	NotStarted bool `json:"NotStarted"`
	Malformed  bool `json:"Spoilt"`
	ByServer   bool `json:"ByBox"`
	Uncounted  bool `json:"Uncounted"` // of an Asked one: the service is not measured by it

	At           float64 `json:"At"`
	FirstSent    float64 `json:"FirstSent"` // when the peer sent the first byte, where the network can tell; else when it came
	Sent         float64 `json:"Sent"`      // when the peer sent the last byte, or ended the connection; likewise
	Deadline     float64 `json:"Until"`
	ServingSince float64 `json:"Since"`
	Work         float64 `json:"Work"`

	Request      uint64 `json:"Request"`
	FirstRequest uint64 `json:"First"`
	Connection   uint64 `json:"Link"`
	Digest       uint64 `json:"Digest"`
	ListIndex    uint64 `json:"Index"`

	Address string `json:"Address"`
	Text    string `json:"Text"`
}

// Digest returns a body's digest, by which an answer is known again. It is FNV-1a.
func Digest(body []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range body {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// Witness is told events in the order of their time. The actors of a world hold one.
type Observer interface{ Observe(e Event) }
