package checker

// Kind says what an Event reports and which of its fields are set beside At. The numbers are part of printed results.
type Kind uint8

// Events that clients report. All set Sidecar, the one beside the client.
const (
	// RequestStarted: a client starts a request. Request; FirstRequest, the id of the operation's first request (its own
	// for a first one); Class; Deadline, when the client stops waiting; Uncounted.
	RequestStarted Kind = iota + 1
	// RequestSent: the request's last byte is written to a connection that the sidecar's machine has accepted. Request;
	// Connection; Deadline; Reused, where the connection has carried a request before.
	RequestSent
	// ResponseReceived: the last byte of an answer has arrived. Request, Connection, Status; Digest, that of its body.
	ResponseReceived
	// ResponseTruncated: part of an answer has arrived and no more will, or it can't be parsed; the client can tell.
	// Request, Connection.
	ResponseTruncated
	// ConnectionDropped: the sidecar's side closed the connection of a sent request before any byte of an answer.
	// Request, Connection, Reused; WasRead, where its process is known to have read the request before that.
	ConnectionDropped
	// RequestAbandoned: the client's deadline has passed, or the client has gone away; no answer is expected any more.
	// Request.
	RequestAbandoned
	// ConnectFailed: no connection to the sidecar was established, so nothing was sent. Request.
	ConnectFailed
	// UnsolicitedBytes: bytes have arrived on a connection without an outstanding request. Connection.
	UnsolicitedBytes
	// HostileConnected: a client that must not be served has connected. Connection; Deadline, when it must have received
	// an error or a close; Request, if it uses the id of another client's pending request.
	HostileConnected
	// HostileAnswered: a hostile client has received an answer. Connection, Status.
	HostileAnswered
	// HostileClosed: a hostile client's connection has ended. Connection.
	HostileClosed
	// RequestHalfClosed: the client has closed its direction of the connection and still reads. The other end can't tell
	// whether it waits for its answer, so none is required and none is forbidden. Request, Connection.
	RequestHalfClosed
)

// Events that servers report. All set Server.
const (
	// ServerStarted: a process has started, cold unless ServingSince is 0. Zone, Cell, Address; ServingSince, as
	// discovery will list it.
	ServerStarted Kind = iota + 32
	// ServerStopped: the process has died, or its machine has become unreachable.
	ServerStopped
	// ServerOverloaded: it was cold and has received more work than it can take.
	ServerOverloaded
	// AttemptReceived: a request's last byte has arrived. Sidecar, whose connection it is; Request; Connection; Class, -1
	// where the server knows none such; FirstSent and Sent, when the first and the last byte were sent; Work that counts
	// against a cold server, in seconds of its own time when warm.
	AttemptReceived
	// ResponseSent: the server has written its answer. Request, Connection, Status, Digest; NotStarted, where the answer
	// says so; Malformed, where no client can parse it completely.
	ResponseSent
	// ConnectionOpened: a connection is established. Sidecar, Connection; Work that it costs.
	ConnectionOpened
	// ConnectionClosed: a connection has ended, by the sidecar at Sent or by the server (ByServer). Sidecar, Connection.
	ConnectionClosed
	// HealthCheckReceived: a health check has arrived. Sidecar, Work.
	HealthCheckReceived
)

// Events that discovery reports.
const (
	// ListChanged: the endpoint list has a change. Server, Status (one of the list's), ServingSince, Address.
	ListChanged Kind = iota + 64
	// EntryDelivered: discovery has written an entry to a sidecar, or the sidecar's configuration had it at its start.
	// Sidecar, Server, Status, ServingSince, Address; ListIndex of the list that it was written from, 0: not known.
	EntryDelivered
	// DiscoveryCalled: a sidecar has requested the list, or a watch, from discovery. Sidecar.
	DiscoveryCalled
	// DiscoveryCallFailed: such a call ended without the list. Sidecar.
	DiscoveryCallFailed
	// WatchOpened and WatchClosed bound a watch. Sidecar, Connection.
	WatchOpened
	WatchClosed
	// WatchStalled: nothing is written to an open watch any more. Sidecar, Connection.
	WatchStalled
	// DiscoveryQueueFormed and DiscoveryQueueDrained bound the time in which calls queue behind the one that discovery
	// works on. A call that arrives then may be rejected for having waited.
	DiscoveryQueueFormed
	DiscoveryQueueDrained
	// DiscoveryDown and DiscoveryUp bound the time in which discovery answers nothing.
	DiscoveryDown
	DiscoveryUp
	// EntryRelayed: peers have relayed an entry to a sidecar that discovery wrote to one of them. Fields as for
	// EntryDelivered, always with the ListIndex. An entry of an older list than the sidecar already has is without effect.
	EntryRelayed
)

// Events that the network and the processes report. All but PathFaultStarted and PathFaultEnded set Sidecar.
const (
	// SidecarStarted: a process has started; what it knows is what its configuration has.
	SidecarStarted Kind = iota + 96
	// SidecarKilled: it was killed, or its machine has become unreachable; what it had pending is excused.
	SidecarKilled
	// SidecarTerminating: it was told to shut down gracefully.
	SidecarTerminating
	// SidecarExited: the process has exited by itself. Status, its exit code.
	SidecarExited
	// SidecarPanicked: Text.
	SidecarPanicked
	// SidecarReloaded: it was told to read its configuration again.
	SidecarReloaded
	// DescriptorsCounted: it holds Count descriptors.
	DescriptorsCounted
	// LeftoversCounted: at the end of the day it still holds Count of what Text names.
	LeftoversCounted
	// PathFaultStarted and PathFaultEnded bound a fault on the path between Sidecar and Server; -1 stands for all,
	// PathToClients for the clients beside the sidecar. What is on such a path may be late or lost, and neither end can
	// tell.
	PathFaultStarted
	PathFaultEnded
	// ServerCordoned: the sidecar has confirmed to its operators that Server is out of use; ServerUncordoned ends that.
	ServerCordoned
	ServerUncordoned
	// SidecarSuspended and SidecarResumed bound the time in which a process doesn't run. It learns of nothing meanwhile.
	SidecarSuspended
	SidecarResumed
	// FleetInvariantBroken: a sidecar has had a wrong state of its fleet for longer than it may. Status, which of the
	// fleet's invariants; Text.
	FleetInvariantBroken
)

// The invariants of a FleetInvariantBroken event, in its Status.
const (
	ViewInvariant        int32 = iota + 1 // which members are alive, once there was time to learn of it
	DeathInvariant                        // a member is considered dead that is alive and reachable by most
	RankInvariant                         // two members have one rank, or a rank is beyond the count
	IncarnationInvariant                  // a member considered dead is alive again under the same incarnation
	QueueInvariant                        // more is queued for a peer than may be
	TokenInvariant                        // an effect of a former lease holder was accepted
	OccupiedInvariant                     // a server under maintenance has requests in flight, or has received one just before
	BudgetInvariant                       // more servers are down than the maintenance plan allows
	RepeatInvariant                       // a server is maintained twice for a plan, or under a token that has not grown
	RecordInvariant                       // what was done to a server differs from what is committed for it
)

// Values of an Event's Server that stand for an end of a path that is no server.
const (
	PathToDiscovery = -2
	PathToClients   = -3
)

// The statuses of a ListChanged, EntryDelivered or EntryRelayed event.
const (
	Serving int32 = iota + 1
	Draining
	Deleted
)

// Event is one thing that crossed the wire. Times are in seconds of one clock that all actors share. The JSON form is part
// of printed results and keeps its keys.
type Event struct {
	Kind    Kind  `json:"Kind"`
	Sidecar int32 `json:"Sidecar"` // -1: none
	Server  int32 `json:"Box"`     // -1: none
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
	Uncounted  bool `json:"Uncounted"` // of a RequestStarted: the service is not measured by it

	At           float64 `json:"At"`
	FirstSent    float64 `json:"FirstSent"` // when the peer sent the first byte, where the network can tell; else when it arrived
	Sent         float64 `json:"Sent"`      // when the peer sent the last byte, or closed the connection; likewise
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

// Observer receives events in the order of their time, from one goroutine. The actors of an environment report to one.
type Observer interface{ Observe(e Event) }

// Digest returns the FNV-1a digest of a body, by which an answer is recognized.
func Digest(body []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range body {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}
