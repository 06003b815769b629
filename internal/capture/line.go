package capture

import "hazelwheel/policy"

// lineKind is the kind of a line.
type lineKind string

// The kinds of lines.
const (
	// Frames of a dump.
	kindDump lineKind = "dump" // a dump follows
	kindEnd  lineKind = "end"  // the dump is complete

	// Heads of segments, and a premature end.
	kindStart   lineKind = "start"   // settings and seed: the segment starts with the first event
	kindState   lineKind = "state"   // settings and a checkpoint
	kindNoState lineKind = "nostate" // the head had no room: the segment can be replayed only after the one before it
	kindLost    lineKind = "lost"    // lines had no room: the segment ends here

	// Inputs.
	kindHosts     lineKind = "hosts"
	kindRequest   lineKind = "req"
	kindOutcome   lineKind = "out"
	kindProbe     lineKind = "probe"
	kindWake      lineKind = "wake"
	kindAbandoned lineKind = "gone"
	kindStall     lineKind = "stalled"
	kindReplica   lineKind = "place"

	kindDecision lineKind = "dec"
)

// linePrefix begins every line.
const linePrefix = `{"t":`

// line is a decoded line of any kind. Only the fields of its kind are set.
type line struct {
	Milliseconds int64    `json:"t"`
	Kind         lineKind `json:"k"`
	At           number   `json:"at"` // exact time of an input

	// Head of a segment.
	Segment      int              `json:"segment"`
	Seed         string           `json:"seed"`
	Settings     *policy.Settings `json:"settings"`
	State        []byte           `json:"state"`
	HostNames    []namedHost      `json:"names"`
	OpenRequests []namedRequest   `json:"open"`

	// Inputs.
	ListKind        uint8       `json:"list"`
	Hosts           []hostEntry `json:"hosts"`
	ClassIndex      int         `json:"class_no"`
	Tenant          int         `json:"tenant"`
	Key             uint64      `json:"key"`
	Deadline        number      `json:"deadline"`
	WorkSeconds     number      `json:"work"`
	HasWork         bool        `json:"has_work"`
	Repeat          bool        `json:"repeat"`
	HeldBackSeconds number      `json:"held"`
	Outcome         uint8       `json:"outcome"`
	DelaySeconds    number      `json:"delay"`
	LateSeconds     number      `json:"late"` // of a result, or the duration of a stall
	Final           bool        `json:"final"`
	Report          []number    `json:"report"`
	ReplicaIndex    int         `json:"rank"`
	Replicas        int         `json:"count"`

	Decision            // inputs use its ID, Class, HostName, Request, Host and Attempt, too
	AfterSeconds number `json:"after"` // shadows Decision.AfterSeconds, which can't decode an infinite value
}

// namedHost is the name of a host that the state refers to.
type namedHost struct {
	Host uint32 `json:"host"`
	Name string `json:"to"`
}

// namedRequest is the label of a request that the state refers to.
type namedRequest struct {
	Request uint32 `json:"req"`
	ID      string `json:"id"`
	Class   string `json:"class"`
}

// hostEntry is an entry of an endpoint list.
type hostEntry struct {
	ID      uint32 `json:"id"`
	Name    string `json:"name"`
	Zone    int    `json:"zone"`
	Kind    int    `json:"kind"`
	Cell    int    `json:"cell"`
	State   uint8  `json:"state"`
	Size    number `json:"size"`
	Started number `json:"since"`
}

// info converts the entry for policy.
func (h *hostEntry) info() policy.HostInfo {
	return policy.HostInfo{
		ID:      h.ID,
		Zone:    h.Zone,
		Kind:    h.Kind,
		Cell:    h.Cell,
		State:   policy.HostState(h.State),
		Size:    float64(h.Size),
		Started: float64(h.Started),
	}
}

// result returns the result of a kindOutcome or kindProbe line.
func (l *line) result() policy.Result {
	r := policy.Result{
		ID:           l.Request,
		Attempt:      l.Attempt,
		Host:         l.Host,
		Outcome:      policy.Outcome(l.Outcome),
		DelaySeconds: float64(l.DelaySeconds),
		LateSeconds:  float64(l.LateSeconds),
		Final:        l.Final,
	}
	r.Report.N = min(len(l.Report), len(r.Report.Values))
	for i := range r.Report.N {
		r.Report.Values[i] = float32(l.Report[i])
	}
	return r
}

// request returns the request of a kindRequest line.
func (l *line) request() policy.Request {
	return policy.Request{
		ID:              l.Request,
		Class:           l.ClassIndex,
		Tenant:          l.Tenant,
		Key:             l.Key,
		Deadline:        float64(l.Deadline),
		WorkSeconds:     float64(l.WorkSeconds),
		HasWork:         l.HasWork,
		Repeat:          l.Repeat,
		HeldBackSeconds: float64(l.HeldBackSeconds),
	}
}
