package capture

import "hazelwheel/policy"

// The kinds of lines: what heads a segment or a dump, inputs of the decisions, and the decisions themselves.
const (
	kindDump     = "dump"  // a dump follows
	kindEnd      = "end"   // it is whole
	kindStart    = "start" // a segment begins with the first event of all
	kindState    = "state" // a segment begins with a checkpoint of the decisions
	kindNoState  = "nostate"
	kindLost     = "lost" // lines had no room; the segment ends here
	kindHosts    = "hosts"
	kindRequest  = "req"
	kindOutcome  = "out"
	kindProbe    = "probe"
	kindWake     = "wake"
	kindGone     = "gone"
	kindStalled  = "stalled"
	kindPlace    = "place"
	kindDecision = "dec"
)

// lineStart is how every line begins.
const lineStart = `{"t":`

// line is any line as it is read.
type line struct {
	T    int64  `json:"t"`
	Kind string `json:"k"`
	At   number `json:"at"`

	// of what heads a segment
	Segment  int              `json:"segment"`
	Seed     string           `json:"seed"`
	Settings *policy.Settings `json:"settings"`
	State    []byte           `json:"state"`
	Hosts    []namedHost      `json:"names"`
	Requests []namedRequest   `json:"open"`

	// of inputs
	List     uint8      `json:"list"`
	Members  []hostLine `json:"hosts"`
	ClassNo  int        `json:"class_no"`
	Tenant   int        `json:"tenant"`
	Key      uint64     `json:"key"`
	Deadline number     `json:"deadline"`
	Work     number     `json:"work"`
	HasWork  bool       `json:"has_work"`
	Repeat   bool       `json:"repeat"`
	Held     number     `json:"held"`
	Outcome  uint8      `json:"outcome"`
	Delay    number     `json:"delay"`
	Late     number     `json:"late"`
	Final    bool       `json:"final"`
	Report   []number   `json:"report"`
	Rank     int        `json:"rank"`
	Count    int        `json:"count"`

	Decision        // and of inputs, its names
	After    number `json:"after"`
}

type namedHost struct {
	Host uint32 `json:"host"`
	Name string `json:"to"`
}

type namedRequest struct {
	Request uint32 `json:"req"`
	ID      string `json:"id"`
	Class   string `json:"class"`
}

// hostLine is one host of a list.
type hostLine struct {
	ID    uint32 `json:"id"`
	Name  string `json:"name"`
	Zone  int    `json:"zone"`
	Kind  int    `json:"kind"`
	Cell  int    `json:"cell"`
	State uint8  `json:"state"`
	Size  number `json:"size"`
	Since number `json:"since"`
}

func (h *hostLine) info() policy.HostInfo {
	return policy.HostInfo{ID: h.ID, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, State: policy.HostState(h.State),
		Size: float64(h.Size), Started: float64(h.Since)}
}

func (l *line) result() policy.Result {
	r := policy.Result{ID: l.Request, Attempt: l.Attempt, Host: l.Host, Outcome: policy.Outcome(l.Outcome),
		DelaySeconds: float64(l.Delay), LateSeconds: float64(l.Late), Final: l.Final}
	r.Report.N = min(len(l.Report), len(r.Report.Values))
	for i := range r.Report.N {
		r.Report.Values[i] = float32(l.Report[i])
	}
	return r
}

func (l *line) request() policy.Request {
	return policy.Request{ID: l.Request, Class: l.ClassNo, Tenant: l.Tenant, Key: l.Key, Deadline: float64(l.Deadline),
		WorkSeconds: float64(l.Work), HasWork: l.HasWork, Repeat: l.Repeat, HeldBackSeconds: float64(l.Held)}
}
