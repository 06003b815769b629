package http1

import (
	"hazelwheel/internal/http1"
	"hazelwheel/internal/sidecar"
	"hazelwheel/policy"
)

// submit validates a request to a class and submits it.
func (c *clientConn) submit(class int) {
	p, settings := &c.parser, &c.frontend.settings.Policy.Classes[class]
	method := "POST"
	if settings.Effect == policy.Safe {
		method = "GET"
	}
	id := p.Header.Get(fieldID)
	timeoutSeconds, ok := settings.TotalTimeoutSeconds, true
	if text := p.Header.Get(fieldTimeout); text != "" {
		timeoutSeconds, ok = parseTimeout(text)
	}
	switch {
	case p.Method != method:
		c.rejectInvalid(class, 405, "class "+settings.Name+" takes "+method, http1.Field{Name: "Allow", Value: method})
	case id == "":
		c.rejectInvalid(class, 400, fieldID+" is missing")
	case p.Header.IsRepeated(fieldID), p.Header.IsRepeated(fieldKey):
		c.rejectInvalid(class, 400, fieldID+" or "+fieldKey+" comes twice: which one counts is a guess")
	case c.Sidecar().IsRequestOpen(id):
		c.rejectInvalid(class, 409, fieldID+" is that of an open request")
	case settings.Effect == policy.Keyed && p.Header.Get(fieldKey) == "":
		c.rejectInvalid(class, 400, fieldKey+" is missing")
	case !ok:
		c.rejectInvalid(class, 400, fieldTimeout+" is not a number with m or u")
	case c.Admit(class):
		call := newCall(c.frontend, p, settings.Name, c.RemoteAddr())
		in := sidecar.IncomingRequest{
			ID:             id,
			Class:          class,
			Tenant:         c.frontend.tenantIndex(p.Header.Get(fieldTenant)),
			TimeoutSeconds: timeoutSeconds,
			IsRetry:        p.Header.Get(fieldRetry) == "1",
			HeldBytes:      len(p.Body),
			Call:           call,
		}
		if !p.IsComplete() {
			c.uploading, in.Body = call, &call.body
			p.Body = nil // owned by the call from now on
		}
		c.Submit(in)
	}
}
