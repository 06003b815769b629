package capture

import (
	"strconv"

	"hazelwheel/policy"
)

// Label identifies a request for people: the client's Request-Id and the name of the class.
type Label struct{ ID, Class string }

// RecordHosts records an endpoint list. Like the methods for other inputs, it is called before policy gets the input, with the same
// values, and not from within an action.
func (c *Recorder) RecordHosts(now float64, kind policy.ListKind, list []policy.HostInfo) {
	if c == nil {
		return
	}
	text := appendInt(append(c.inputLine(now, kindHosts), `,"list":`...), int64(kind))
	text = append(text, `,"hosts":[`...)
	for i, h := range list {
		if i > 0 {
			text = append(text, ',')
		}
		text = appendHost(text, h, c.source.HostName(h.ID))
	}
	c.writeInput(append(text, ']'))
}

// RecordRequest records a request from a client.
func (c *Recorder) RecordRequest(now float64, q policy.Request, l Label) {
	if c == nil {
		return
	}
	text := appendLabel(c.inputLine(now, kindRequest), l)
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
	c.writeInput(appendBool(text, "repeat", q.Repeat))
}

// RecordOutcome records the end of an attempt.
func (c *Recorder) RecordOutcome(now float64, r policy.Result, l Label) {
	if c == nil {
		return
	}
	text := appendLabel(c.inputLine(now, kindOutcome), l)
	text = appendInt(append(text, `,"req":`...), int64(r.ID))
	text = appendInt(append(text, `,"attempt":`...), int64(r.Attempt))
	c.writeInput(appendBool(c.appendResult(text, r), "final", r.Final))
}

// RecordProbe records the end of a probe.
func (c *Recorder) RecordProbe(now float64, r policy.Result) {
	if c != nil {
		c.writeInput(c.appendResult(c.inputLine(now, kindProbe), r))
	}
}

// RecordWake records a wake-up.
func (c *Recorder) RecordWake(now float64) {
	if c != nil {
		c.writeInput(c.inputLine(now, kindWake))
	}
}

// RecordStall records that the process did not run for some seconds.
func (c *Recorder) RecordStall(now, seconds float64) {
	if c != nil {
		c.writeInput(appendFloat(append(c.inputLine(now, kindStall), `,"late":`...), seconds))
	}
}

// RecordReplica records the sidecar's index among the replicas.
func (c *Recorder) RecordReplica(now float64, index, replicas int) {
	if c == nil {
		return
	}
	text := appendInt(append(c.inputLine(now, kindReplica), `,"rank":`...), int64(index))
	c.writeInput(appendInt(append(text, `,"count":`...), int64(replicas)))
}

// RecordAbandoned records that the client of a request has disconnected.
func (c *Recorder) RecordAbandoned(now float64, request uint32, l Label) {
	if c == nil {
		return
	}
	text := appendLabel(c.inputLine(now, kindAbandoned), l)
	c.writeInput(appendInt(append(text, `,"req":`...), int64(request)))
}

// RecordDecision records an action that policy asked for. It belongs to the input that was recorded last.
func (c *Recorder) RecordDecision(d Decision) {
	if c == nil {
		return
	}
	if d.Host != 0 {
		d.HostName = c.source.HostName(d.Host)
	}
	d.ID = truncateLabel(d.ID)
	d.Class = truncateLabel(d.Class)
	d.HostName = truncateLabel(d.HostName)
	d.Text = truncateLabel(d.Text)
	c.writeLine(d.append(c.lineBuffer[:0], c.now))
}

// appendResult appends what outcomes and probes have in common.
func (c *Recorder) appendResult(dst []byte, r policy.Result) []byte {
	dst = appendString(append(dst, `,"to":`...), truncateLabel(c.source.HostName(r.Host)))
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
