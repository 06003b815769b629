package sidecar

import (
	"hazelwheel/internal/decide/admission"
	"hazelwheel/internal/netio"
	"hazelwheel/policy"
)

// CountInvalid counts an invalid request, which is answered and not submitted to the policy.
func (c *ClientConn) CountInvalid(class int) {
	c.sidecar.counters.Requests++
	c.sidecar.counters.countRequestEnd(class, failed)
}

// CountMalformed counts a malformed message, which is answered and never forwarded.
func (c *ClientConn) CountMalformed() { c.sidecar.counters.Malformed++ }

// Admit reports whether there is capacity for a request of a class. If not, the request has been throttled.
func (c *ClientConn) Admit(class int) bool {
	switch {
	case c.isOverLimit && !c.sidecar.hasDescriptors(backendHeadroom), c.sidecar.clients.admission.IsOverBufferBudget(c.slot):
		c.rejectRequest(class, "no capacity")
		return false
	case c.sidecar.isOverloaded() && c.sidecar.clients.admission.ExceedsFairShare(c.slot):
		c.sidecar.clients.admission.RecordWasted(c.slot)
		c.rejectRequest(class, "client beyond its share under overload")
		return false
	}
	return true
}

// UnknownTenant is the tenant index of a request whose tenant is not in the settings.
const UnknownTenant = -1

// IncomingRequest is a request as a frontend submits it.
type IncomingRequest struct {
	ID             string
	Class          int     // index in the settings
	Tenant         int     // index in the settings, or UnknownTenant
	TimeoutSeconds float64 // the client's deadline, counted from when it sent the request
	IsRetry        bool    // the client has marked it as a retry
	AtMostOnce     bool    // servers can't detect duplicates, so it must not run twice, whatever its class
	IsOneWay       bool    // the client expects no response, so it continues if the client disconnects
	HeldBytes      int     // buffered for the request
	Call           Call
	Body           *Body // the body of Call if it is still arriving, nil if it is complete
}

// Submit submits a request that Admit has accepted to the policy, unless its group is over its quota. The response is written through the
// codec's Responder methods, exactly once.
func (c *ClientConn) Submit(in IncomingRequest) {
	charge, admitted := c.admitByQuota(&in)
	if !admitted {
		return
	}
	c.sidecar.clients.admission.SetState(c.sidecar.now(), c.slot, admission.StateActive)
	c.requestBytes = in.HeldBytes
	c.sidecar.clients.admission.SetBufferedBytes(c.slot, c.requestBytes+c.input.Len())
	waitedSeconds := max(c.sidecar.socketWait(c.conn), c.sidecar.now()-c.arrivals.arrivedAt(c.input.Len(), c.sidecar.now()))
	timeoutSeconds := min(in.TimeoutSeconds, maxRequestTimeoutSeconds)
	deadline := c.sidecar.now() - waitedSeconds + timeoutSeconds
	cutOffSeconds := max(deadline-c.sidecar.latestResponseAt(), 0)
	r := &request{
		clientID:       in.ID,
		className:      c.sidecar.cfg.Settings.Policy.Classes[in.Class].Name,
		classIndex:     in.Class,
		deadline:       deadline - cutOffSeconds,
		call:           in.Call,
		responder:      c.codec,
		client:         c,
		body:           in.Body,
		timeoutSeconds: timeoutSeconds,
		frontend:       c.frontend,
		isAtMostOnce:   in.AtMostOnce,
		isOneWay:       in.IsOneWay,
		quota:          charge,
	}
	c.request = r
	// The policy takes a request with a shorter deadline than usual for a late retry. HeldBackSeconds therefore includes the time that the
	// shutdown cuts off the deadline.
	q := policy.Request{Class: in.Class, Tenant: in.Tenant, HeldBackSeconds: waitedSeconds + cutOffSeconds, Repeat: in.IsRetry, Deadline: r.deadline}
	if r.isUploading() { // its deadline counts from its last byte; the policy is given the usual one
		r.deadline += maxUploadSeconds
		c.pauseReading(netio.ReportClose)
		c.setArrivalDeadline(c.sidecar.now() + arrivalTimeoutSeconds - float64(len(in.Body.Buffered))/minBytesPerSecond)
		c.arrivalTimer = c.sidecar.timers.schedule(c.sidecar.now()+arrivalTimeoutSeconds, c.checkArrival)
	}
	c.sidecar.registerRequest(r, q)
}

// rejectRequest throttles a request that is not submitted, since there is no capacity or its client is over its fair share.
func (c *ClientConn) rejectRequest(class int, reason string) {
	c.sidecar.counters.Requests++
	c.sidecar.counters.countRequestEnd(class, throttled)
	c.sidecar.counters.Rejected++
	c.sidecar.warnLimited("requests rejected: " + reason)
	c.sidecar.log.Debug("request rejected", "client", c.conn.RemoteAddr(), "reason", reason)
	c.keepAlive = false
	c.codec.Throttle(c.sidecar.cfg.Settings.Policy.MaxRetryAfterSeconds)
}
