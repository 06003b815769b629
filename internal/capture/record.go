package capture

import (
	"strconv"

	"hazelwheel/policy"
)

// Label is how a request is called outside.
type Label struct{ ID, Class string }

// Hosts notes a list of hosts.
func (c *Recorder) RecordHosts(now float64, kind policy.ListKind, list []policy.HostInfo) {
	if c == nil {
		return
	}
	text := append(appendInt(append(c.begun(now, kindHosts), `,"list":`...), int64(kind)), `,"hosts":[`...)
	for i, h := range list {
		if i > 0 {
			text = append(text, ',')
		}
		text = appendHost(text, h, c.source.HostName(h.ID))
	}
	c.input(append(text, ']'))
}

// Request notes a request from a client.
func (c *Recorder) RecordRequest(now float64, q policy.Request, l Label) {
	if c == nil {
		return
	}
	text := appendLabel(c.begun(now, kindRequest), l)
	text = appendInt(append(text, `,"req":`...), int64(q.ID))
	text = appendInt(append(text, `,"class_no":`...), int64(q.Class))
	text = appendFloat(append(text, `,"deadline":`...), q.Deadline)
	if q.Tenant != 0 {
		text = appendInt(append(text, `,"tenant":`...), int64(q.Tenant))
	}
	if q.Key != 0 {
		text = strconv.AppendUint(append(text, `,"key":`...), q.Key, 10)
	}
	if q.HasWork {
		text = appendFloat(append(text, `,"has_work":true,"work":`...), q.WorkSeconds)
	}
	if q.HeldBackSeconds != 0 {
		text = appendFloat(append(text, `,"held":`...), q.HeldBackSeconds)
	}
	c.input(appendBool(text, "repeat", q.Repeat))
}

// Outcome notes the end of an attempt.
func (c *Recorder) RecordOutcome(now float64, r policy.Result, l Label) {
	if c == nil {
		return
	}
	text := appendInt(append(appendLabel(c.begun(now, kindOutcome), l), `,"req":`...), int64(r.ID))
	text = appendInt(append(text, `,"attempt":`...), int64(r.Attempt))
	c.input(appendBool(c.appendResult(text, r), "final", r.Final))
}

// Probe notes the end of a probe.
func (c *Recorder) RecordProbe(now float64, r policy.Result) {
	if c != nil {
		c.input(c.appendResult(c.begun(now, kindProbe), r))
	}
}

// Wake notes a wake-up.
func (c *Recorder) RecordWake(now float64) {
	if c != nil {
		c.input(c.begun(now, kindWake))
	}
}

// Stalled notes that the sidecar stood still.
func (c *Recorder) RecordStall(now, seconds float64) {
	if c != nil {
		c.input(appendFloat(append(c.begun(now, kindStalled), `,"late":`...), seconds))
	}
}

// Place notes the sidecar's place in its fleet.
func (c *Recorder) RecordReplica(now float64, rank, count int) {
	if c != nil {
		c.input(appendInt(append(appendInt(append(c.begun(now, kindPlace), `,"rank":`...), int64(rank)), `,"count":`...), int64(count)))
	}
}

// Gone notes the departure of a request's client.
func (c *Recorder) RecordAbandoned(now float64, request uint32, l Label) {
	if c != nil {
		c.input(appendInt(append(appendLabel(c.begun(now, kindGone), l), `,"req":`...), int64(request)))
	}
}

// Decide notes an action of the decisions. It belongs to the event that was noted last.
func (c *Recorder) RecordDecision(d Decision) {
	if c == nil {
		return
	}
	if d.Host != 0 {
		d.HostName = c.source.HostName(d.Host)
	}
	d.ID, d.Class, d.HostName, d.Text = label(d.ID), label(d.Class), label(d.HostName), label(d.Text)
	c.put(d.append(c.room[:0], c.now))
}

func appendLabel(dst []byte, l Label) []byte {
	dst = appendString(append(dst, `,"id":`...), label(l.ID))
	return appendString(append(dst, `,"class":`...), label(l.Class))
}

// appendResult writes what executions and probes have in common.
func (c *Recorder) appendResult(dst []byte, r policy.Result) []byte {
	dst = appendString(append(dst, `,"to":`...), label(c.source.HostName(r.Host)))
	dst = appendInt(append(dst, `,"host":`...), int64(r.Host))
	dst = appendInt(append(dst, `,"outcome":`...), int64(r.Outcome))
	dst = appendFloat(append(dst, `,"delay":`...), r.DelaySeconds)
	if r.LateSeconds != 0 {
		dst = appendFloat(append(dst, `,"late":`...), r.LateSeconds)
	}
	if r.Report.N == 0 {
		return dst
	}
	dst = append(dst, `,"report":[`...)
	for i, v := range r.Report.Values[:r.Report.N] {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = appendFloat(dst, float64(v))
	}
	return append(dst, ']')
}
