package policy

// HostState is the state of a host according to the endpoint list.
type HostState uint8

// The states of a host.
const (
	Gone HostState = iota
	Ready
	Draining
)

// HostInfo is an entry of the endpoint list.
type HostInfo struct {
	ID      uint32
	Zone    int
	Kind    int // machine type
	Cell    int // hosts of a cell share idempotency keys
	State   HostState
	Size    float64 // relative capacity
	Started float64 // time of the last start; 0 if long ago
}

// ListKind tells how the list given to UpdateHosts is to be read.
type ListKind uint8

// The kinds of lists.
const (
	ListFull   ListKind = iota // a host that is missing is gone
	ListDelta                  // changed entries only
	ListFailed                 // no list: a list request failed or the watch broke
	ListCached                 // the last known list, possibly stale
)

// Request is one try of a client's request.
type Request struct {
	ID              uint32 // unique among the requests without a final answer
	Class           int    // index in Settings.Classes
	Tenant          int    // index in Settings.Tenants; an index out of range means no tenant
	Key             uint64 // equal for all tries of a request
	Deadline        float64
	WorkSeconds     float64 // expected work on a standard core, if HasWork
	HasWork         bool
	Repeat          bool    // marked as a retry by the client
	HeldBackSeconds float64 // time that the request has already been queued in the host program; does not count as an earlier try
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes. NeverRan tells which of them prove that the host did not execute the request.
const (
	OK            Outcome = iota
	HostError             // the host returned an error
	Rejected              // the host rejected the request before execution
	TimedOut              // no answer by the deadline
	ConnectFailed         // no connection
	Reset                 // the connection broke
	Cancelled
	NotSent
)

// NeverRan returns whether the outcome proves that the attempt was never executed.
func (o Outcome) NeverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

// Report is a host's load report: the first N of Values, in the order of Settings.ReportFields.
type Report struct {
	N      int
	Values [4]float32
}

// Result is the end of an attempt or of a probe.
type Result struct {
	ID           uint32 // of the request; unused for a probe
	Attempt      int    // index of the attempt, from 0; unused for a probe
	Host         uint32
	Outcome      Outcome
	DelaySeconds float64 // from the send to the arrival of the answer
	LateSeconds  float64 // from the arrival of the answer to this event
	Final        bool    // the client has got its final answer
	Report       Report
}
