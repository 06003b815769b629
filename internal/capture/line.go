// Package capture records what the decisions are told and what they decide, one JSON line each, and feeds a record
// through them again.
package capture

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"unicode/utf8"

	"hazelwheel/policy"
)

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

// mostLabel bounds what is kept of a name that comes from outside.
const mostLabel = 128

// What the decisions can do.
const (
	ActionSend      = "send"
	ActionCancel    = "cancel"
	ActionProbe     = "probe"
	ActionCloseIdle = "close_idle"
	ActionRefuse    = "refuse"
	ActionFail      = "fail"
	ActionWake      = "wake"
	ActionWatch     = "watch"
	ActionLog       = "log"
)

// Decision is one action that the decisions asked for. Two that are alike are equal. ID, Class and To are for people:
// the Request-Id, the class's and the server's name.
type Decision struct {
	ID           string  `json:"id"`
	Class        string  `json:"class"`
	HostName     string  `json:"to"`
	Action       string  `json:"do"`
	Request      uint32  `json:"req"`
	Host         uint32  `json:"host"`
	Attempt      int     `json:"attempt"`
	AfterSeconds float64 `json:"after"` // of a wake-up, or of a client's next try
	Text         string  `json:"text"`
}

// append writes the decision's line.
func (d *Decision) append(dst []byte, now float64) []byte {
	dst = appendHead(dst, now, kindDecision)
	if d.ID != "" {
		dst = appendString(append(dst, `,"id":`...), d.ID)
	}
	if d.Class != "" {
		dst = appendString(append(dst, `,"class":`...), d.Class)
	}
	if d.HostName != "" {
		dst = appendString(append(dst, `,"to":`...), d.HostName)
	}
	dst = appendString(append(dst, `,"do":`...), d.Action)
	switch d.Action {
	case ActionSend, ActionCancel, ActionRefuse, ActionFail:
		dst = appendInt(append(dst, `,"req":`...), int64(d.Request))
	}
	switch d.Action {
	case ActionSend, ActionProbe, ActionCloseIdle:
		dst = appendInt(append(dst, `,"host":`...), int64(d.Host))
	case ActionCancel:
		dst = appendInt(append(dst, `,"attempt":`...), int64(d.Attempt))
	case ActionRefuse, ActionWake:
		dst = appendFloat(append(dst, `,"after":`...), d.AfterSeconds)
	case ActionLog:
		dst = appendString(append(dst, `,"text":`...), d.Text)
	}
	return append(dst, "}\n"...)
}

// appendHead begins a line with its time in milliseconds.
func appendHead(dst []byte, now float64, kind string) []byte {
	dst = appendInt(append(dst, lineStart...), int64(now*1000))
	return append(append(append(dst, `,"k":"`...), kind...), '"')
}

// appendInput begins the line of an input, with the exact time that the decisions are told.
func appendInput(dst []byte, now float64, kind string) []byte {
	return appendFloat(append(appendHead(dst, now, kind), `,"at":`...), now)
}

func appendInt(dst []byte, v int64) []byte { return strconv.AppendInt(dst, v, 10) }

// appendFloat writes a number so that reading it gives the same bits. What JSON has no number for is a string.
func appendFloat(dst []byte, v float64) []byte {
	switch {
	case math.IsNaN(v):
		return append(dst, `"NaN"`...)
	case math.IsInf(v, 0):
		return append(strconv.AppendFloat(append(dst, '"'), v, 'g', -1, 64), '"')
	case math.Abs(v) < 1e-6 || math.Abs(v) >= 1e15:
		return strconv.AppendFloat(dst, v, 'g', -1, 64)
	}
	return strconv.AppendFloat(dst, v, 'f', -1, 64)
}

func appendBool(dst []byte, name string, v bool) []byte {
	if v {
		dst = append(append(append(dst, `,"`...), name...), `":true`...)
	}
	return dst
}

// label cuts what is kept of a name, at the end of a rune.
func label(s string) string {
	if len(s) <= mostLabel {
		return s
	}
	n := mostLabel
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n]
}

// appendString writes a string as JSON; bytes that are no text become U+FFFD.
func appendString(dst []byte, s string) []byte {
	dst = append(dst, '"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			dst = append(dst, '\\', byte(r))
		case r < ' ' || r == 0x7f:
			const hex = "0123456789abcdef"
			dst = append(dst, '\\', 'u', '0', '0', hex[r>>4], hex[r&15])
		default:
			dst = utf8.AppendRune(dst, r)
		}
	}
	return append(dst, '"')
}

// number is a float as appendFloat writes it.
type number float64

func (n *number) UnmarshalJSON(raw []byte) error {
	text := string(raw)
	if text[0] == '"' {
		if err := json.Unmarshal(raw, &text); err != nil {
			return err
		}
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	*n = number(v)
	return nil
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

func appendHost(dst []byte, h policy.HostInfo, name string) []byte {
	dst = appendInt(append(dst, `{"id":`...), int64(h.ID))
	dst = appendString(append(dst, `,"name":`...), label(name))
	dst = appendInt(append(dst, `,"zone":`...), int64(h.Zone))
	dst = appendInt(append(dst, `,"kind":`...), int64(h.Kind))
	dst = appendInt(append(dst, `,"cell":`...), int64(h.Cell))
	dst = appendInt(append(dst, `,"state":`...), int64(h.State))
	dst = appendFloat(append(dst, `,"size":`...), h.Size)
	return append(appendFloat(append(dst, `,"since":`...), h.Started), '}')
}

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
